"""Transport whose close delivers what has been written, within a time limit."""

import asyncio
from typing import Any

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.serving._stall_timer import (
    MILLISECONDS_PER_SECOND,
    StallTimer,
    unsent_bytes,
)

#: Interval at which a closed connection is checked for being delivered.
CHECK_INTERVAL_SECONDS = 0.1


class DeliveringTransport(asyncio.Transport):
    """
    Transport of an accepted connection.

    The kernel resets a connection that is closed while received bytes are unread, which
    discards what it has not delivered. ``close`` therefore ends only the sending side,
    and received bytes are discarded until the peer closes its side, sends nothing for
    ``linger_timeout`` after it has got all bytes, or accepts none for
    ``write_timeout``.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        *,
        write_timeout: Milliseconds,
        linger_timeout: Milliseconds,
    ) -> None:
        super().__init__()
        self._transport = transport
        self._linger_seconds = linger_timeout / MILLISECONDS_PER_SECOND
        self._max_linger_seconds = write_timeout / MILLISECONDS_PER_SECOND
        self._stall_timer = StallTimer(transport, timeout=write_timeout)
        self._check_timer: asyncio.TimerHandle | None = None
        self._is_closing = False
        self._delivered_at = 0.0
        self._last_received_at = 0.0

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information about the transport."""
        return self._transport.get_extra_info(name, default)

    def is_closing(self) -> bool:
        """Return whether the transport is closing or closed."""
        return self._is_closing or self._transport.is_closing()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write ``data``, unless the transport is closing."""
        if not self.is_closing():
            self._transport.write(data)

    def pause_reading(self) -> None:
        """Pause reading, unless the transport is closing."""
        if not self.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading."""
        self._transport.resume_reading()

    def start_stall_timer(self) -> None:
        """Abort the connection if the peer accepts no bytes for ``write_timeout``."""
        self._stall_timer.start()

    def stop_stall_timer(self) -> None:
        """Stop the timer, unless the transport is closing."""
        if not self._is_closing:
            self._stall_timer.stop()

    def record_discarded(self) -> None:
        """Record that bytes were received from the peer of a closing transport."""
        self._last_received_at = asyncio.get_running_loop().time()

    def close(self) -> None:
        """Deliver all written bytes, then close."""
        if self.is_closing():
            return
        self._is_closing = True
        self._transport.resume_reading()
        try:
            self._transport.write_eof()
        except OSError:
            # The peer has reset the connection, which takes no bytes any more.
            self._transport.abort()
            return
        self._stall_timer.start()
        self._check_delivery()

    def abort(self) -> None:
        """Close at once; bytes that have not been sent are lost."""
        self._is_closing = True
        self._transport.abort()

    def stop_timers(self) -> None:
        """Stop all timers, as the connection has ended."""
        self._stall_timer.stop()
        if self._check_timer is not None:
            self._check_timer.cancel()

    def _check_delivery(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        if not self._delivered_at and unsent_bytes(self._transport) == 0:
            self._stall_timer.stop()
            self._delivered_at = self._last_received_at = now
        is_lingering = (
            now - self._last_received_at < self._linger_seconds
            and now - self._delivered_at < self._max_linger_seconds
        )
        if self._delivered_at and not is_lingering:
            self._transport.close()
            return
        self._check_timer = loop.call_later(
            CHECK_INTERVAL_SECONDS, self._check_delivery
        )
