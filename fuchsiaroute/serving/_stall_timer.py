"""Detection of connections whose peer accepts no bytes."""

import array
import asyncio
import fcntl
import logging
import socket
import termios

from fuchsiaroute.clock import Milliseconds

MILLISECONDS_PER_SECOND = 1_000
_LOGGER = logging.getLogger(__name__)


class StallTimer:
    """Aborts a connection whose peer acknowledges no bytes for ``timeout``."""

    def __init__(self, transport: asyncio.Transport, *, timeout: Milliseconds) -> None:
        self._transport = transport
        self._timeout = timeout / MILLISECONDS_PER_SECOND
        self._unsent = 0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start to check; a running timer is left as it is."""
        if self._timer is None:
            self._schedule()

    def stop(self) -> None:
        """Stop to check."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self) -> None:
        self._unsent = unsent_bytes(self._transport)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._timeout, self._check)

    def _check(self) -> None:
        unsent = unsent_bytes(self._transport)
        if unsent < self._unsent:
            self._schedule()
            return
        _LOGGER.warning(
            "connection aborted: %s bytes not accepted by the peer within %s s",
            unsent,
            self._timeout,
        )
        self._transport.abort()


def unsent_bytes(transport: asyncio.Transport) -> int:
    """Return the written bytes that the peer has not acknowledged."""
    unsent = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.family in (socket.AF_INET, socket.AF_INET6):
        queued = array.array("i", [0])
        try:
            fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, queued)
        except OSError:
            # The socket has been closed, so the kernel holds no bytes of it.
            return unsent
        unsent += queued[0]
    return unsent
