"""Attempts to connect to an endpoint that are made beside each other."""

import asyncio

from fuchsiaroute.forwarding._peer_connector import PeerConnection
from fuchsiaroute.http1 import ClientConnection, NobodyListensError

_Attempt = asyncio.Future[ClientConnection] | asyncio.Future[PeerConnection]


def is_connected(direct: asyncio.Future[ClientConnection]) -> bool:
    """Return whether a direct connection is established."""
    return direct.done() and direct.exception() is None


def is_refused(direct: asyncio.Future[ClientConnection]) -> bool:
    """Return whether a direct connection was refused."""
    return direct.done() and isinstance(direct.exception(), NobodyListensError)


def abandon(attempt: _Attempt) -> None:
    """Cancel an attempt to connect, or close the connection that nobody takes."""
    if attempt.done():
        _close_unused(attempt)
    else:
        attempt.add_done_callback(_close_unused)
        attempt.cancel()


def _close_unused(attempt: _Attempt) -> None:
    if attempt.cancelled() or attempt.exception() is not None:
        return
    result = attempt.result()
    if isinstance(result, PeerConnection):
        result = result.connection
    result.abort()
