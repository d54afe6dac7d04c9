"""Exit codes, the same for every command."""

from enum import IntEnum


class ExitCode(IntEnum):
    """What the exit code of a command says."""

    #: Done, valid or permitted.
    OK = 0
    #: Understood and refused: a conflict, a forbidden request, no usable answer.
    REFUSED = 1
    #: Arguments, settings or a declaration have faults; nothing was done.
    FAULTY_INPUT = 2
    #: A change may or may not be in force; repeat it with the same change id.
    UNKNOWN = 3
