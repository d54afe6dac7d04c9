"""Imports that a serving entry does without."""

import sys
from types import ModuleType

#: Command line of the HTTP client library, which loads three more libraries.
HTTP_CLIENT_COMMAND_LINE = "httpx._main"


def leave_out_unused_imports() -> None:
    """
    Keep the command line of the HTTP client library from being loaded.

    It takes 3 MB of the 64 MB that control may have on an instance, and nothing here
    calls it.
    """
    stub = ModuleType(HTTP_CLIENT_COMMAND_LINE)
    stub.main = _absent  # type: ignore[attr-defined]
    sys.modules.setdefault(HTTP_CLIENT_COMMAND_LINE, stub)


def _absent() -> None:
    raise NotImplementedError("the HTTP client's command line is left out")
