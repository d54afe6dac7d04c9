"""
Runs the node program with an adjustable offset of its wall clock.

The first argument is the path of a file with the offset in milliseconds; the other
arguments are passed to ``fuchsiaroute``.
"""

import _signal  # type: ignore[import-not-found]

# The default action of SIGHUP ends the process; the node handles it later. This comes
# before all imports, which take most of the start-up time, and uses the module that is
# part of the interpreter.
_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import os  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

_NANOSECONDS = 1_000_000


def step_wall_clock(path: str) -> None:
    """Add the offset in the file at ``path``, read on each call, to the wall clock."""
    file = os.open(path, os.O_RDONLY)
    true_time = time.time_ns

    def stepped() -> int:
        return true_time() + int(os.pread(file, 32, 0) or b"0") * _NANOSECONDS

    time.time_ns = stepped
    time.time = lambda: stepped() / 1e9


if __name__ == "__main__":
    step_wall_clock(sys.argv.pop(1))
    from fuchsiaroute.__main__ import main

    main()
