"""
Runs the node program with a wall clock that steps.

The first argument is a file that holds the step in milliseconds; the others are the
arguments of ``fuchsiaroute``.
"""

import os
import sys
import time

_NANOSECONDS = 1_000_000


def step_wall_clock(path: str) -> None:
    """Let the wall clock differ by what the file says, read anew each time."""
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
