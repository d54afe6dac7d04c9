"""Leaving the TLS library out of a process that speaks no TLS."""

import sys

_TLS = "ssl"


def block_tls_import() -> None:
    """
    Keep asyncio from loading the TLS library; call before asyncio is imported.

    It takes 4.5 MB of about 20, and asyncio works without it where it is missing.
    """
    if _TLS not in sys.modules:
        sys.modules[_TLS] = None  # type: ignore[assignment]


def allow_tls_import() -> None:
    """Let libraries load the TLS library that cannot be imported without it."""
    if sys.modules.get(_TLS, sys) is None:
        del sys.modules[_TLS]
