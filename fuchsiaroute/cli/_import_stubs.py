"""Stubs for modules that a serving entry does not need."""

import sys
from types import ModuleType

#: httpx's command line, which imports three more libraries.
HTTPX_COMMAND_LINE = "httpx._main"


def leave_out_unused_imports() -> None:
    """
    Replace httpx's command line by a stub, so that httpx does not import it.

    It would take 3 MB of the 64 MB of memory that the router may use on an instance,
    and nothing in this project calls it.
    """
    stub = ModuleType(HTTPX_COMMAND_LINE)
    stub.main = _raise_not_implemented  # type: ignore[attr-defined]
    sys.modules.setdefault(HTTPX_COMMAND_LINE, stub)


def _raise_not_implemented() -> None:
    raise NotImplementedError("httpx's command line is replaced by a stub")
