"""The response to one request of a caller."""

import asyncio
from collections.abc import Callable

from fuchsiaroute.http1._messages import Headers, encode_response_head

_CLOSE = (b"Connection", b"close")
_CHUNKED = (b"Transfer-Encoding", b"chunked")
_LAST_CHUNK = b"0\r\n\r\n"
#: Statuses without a body.
_BODILESS = frozenset({204, 304})


class Responder:
    """
    Writes one response.

    A response that cannot be completed is aborted, so that the caller never mistakes
    it for a complete one. ``is_last`` tells, when the head is written, whether the
    connection is to be closed after this response.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        *,
        keep_alive: bool,
        is_head: bool,
        supports_chunked: bool,
        on_finished: Callable[["Responder"], None],
        is_last: Callable[[], bool] = lambda: False,
    ) -> None:
        self._transport = transport
        self._keep_alive = keep_alive
        self._is_head = is_head
        self._is_chunked = supports_chunked
        self._on_finished = on_finished
        self._is_last = is_last
        self._writable = asyncio.Event()
        self._writable.set()
        self._on_delivered: Callable[[], None] | None = None
        #: Whether the first byte of the response has been written.
        self.is_started = False
        #: Whether the response has ended, complete or aborted.
        self.is_finished = False
        #: Whether the response ended before it was complete.
        self.is_aborted = False
        #: Status of the response; 0 before it has started.
        self.status = 0
        #: Bytes of the response that have been passed to the transport.
        self.written = 0

    @property
    def keeps_connection(self) -> bool:
        """Return whether the connection stays open after this response."""
        return self._keep_alive

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response."""
        if self.is_finished or self._transport.is_closing():
            return
        fields = list(headers)
        if status not in _BODILESS:
            fields.append((b"Content-Length", b"%d" % len(body)))
        self._keep_alive = self._keep_alive and not self._is_last()
        if not self._keep_alive:
            fields.append(_CLOSE)
        self.is_started = True
        self.status = status
        head = encode_response_head(status, fields)
        is_bodiless = self._is_head or status in _BODILESS
        self._write(head if is_bodiless else head + body)
        self._finish()

    def start(self, status: int, headers: Headers) -> None:
        """Write the head of a response whose length is not known yet."""
        if self.is_finished or self._transport.is_closing():
            return
        fields = list(headers)
        if self._is_chunked:
            fields.append(_CHUNKED)
        self._keep_alive = self._keep_alive and self._is_chunked and not self._is_last()
        if not self._keep_alive:
            fields.append(_CLOSE)
        self.is_started = True
        self.status = status
        self._write(encode_response_head(status, fields))

    def write(self, data: bytes) -> None:
        """Write a part of a started response."""
        if not data or self.is_finished or self._transport.is_closing():
            return
        if self._is_chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._write(data)

    async def drain(self) -> None:
        """Wait until the transport's write buffer has room."""
        await self._writable.wait()

    def when_delivered(self, callback: Callable[[], None]) -> None:
        """
        Call ``callback`` once the connection has room again, at once if it has.

        Most of the response has left this process then. It is not called if the
        connection ends before.
        """
        if self._writable.is_set():
            callback()
        else:
            self._on_delivered = callback

    def finish(self) -> None:
        """Complete a started response."""
        if self.is_finished or self._transport.is_closing():
            return
        if self._is_chunked:
            self._write(_LAST_CHUNK)
        self._finish()

    def abort(self) -> None:
        """Reset the connection, since the response cannot be completed."""
        if self.is_finished:
            return
        self._keep_alive = False
        self.is_finished = True
        self.is_aborted = True
        self._transport.abort()
        self._on_finished(self)

    def set_writable(self, is_writable: bool) -> None:
        """Set whether the transport's write buffer has room; ``drain`` waits for it."""
        if is_writable:
            self._writable.set()
            callback, self._on_delivered = self._on_delivered, None
            if callback is not None:
                callback()
        else:
            self._writable.clear()

    def _write(self, data: bytes) -> None:
        self.written += len(data)
        self._transport.write(data)

    def _finish(self) -> None:
        self.is_finished = True
        if not self._keep_alive:
            self._transport.close()
        self._on_finished(self)
