"""
Runs the node program with an adjustable offset of its wall clock.

The first argument is the path of a file with the offset in milliseconds; the other
arguments are passed to ``fuchsiaroute``.
"""

import os
import sys
import time

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
