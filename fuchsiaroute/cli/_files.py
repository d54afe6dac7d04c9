"""Reads declarations from files."""

import sys
from pathlib import Path

from returns.result import Failure, Result

from fuchsiaroute.configuration import Configuration
from fuchsiaroute.declaration import Fault, parse

#: Path that stands for the standard input.
STANDARD_INPUT = Path("-")


def read_declaration(path: Path) -> Result[Configuration, tuple[Fault, ...]]:
    """Return the configuration in the file at ``path``, or every fault in it."""
    try:
        if path == STANDARD_INPUT:
            return parse(sys.stdin.buffer.read())
        return parse(path.read_bytes())
    except OSError as error:
        fault = Fault(place="", message=f"cannot read {path}: {error.strerror}")
        return Failure((fault,))
