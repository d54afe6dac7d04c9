"""Exit codes that all commands share."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Outcome of a command."""

    #: Done, valid or permitted.
    OK = 0
    #: Refused, or no usable answer: a conflict, a forbidden request, no connection.
    REFUSED = 1
    #: Arguments, settings or a declaration have faults; nothing was done.
    FAULTY_INPUT = 2
    #: A change may or may not be in force; repeat it with the same change id.
    UNKNOWN = 3
