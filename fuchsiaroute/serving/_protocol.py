"""HTTP/1.1 connections with limits on header size, timeouts and their number."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from typing import Any

from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.gateway import encode_refusal
from fuchsiaroute.serving._stall_timer import MILLISECONDS_PER_SECOND
from fuchsiaroute.serving._transport import DeliveringTransport
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

HOST_HEADER = b"host"


@dataclass(frozen=True, kw_only=True)
class ConnectionLimits:
    """Limits on the connections of one server."""

    #: Maximum size of request line and headers together, in bytes.
    max_head: int = 16_384
    #: Maximum time from the first byte of a request head, or for the first request from
    #: the connection, to the end of the head.
    head_timeout: Milliseconds = Milliseconds(10_000)
    #: Maximum time for which the client may accept no bytes of a response.
    write_timeout: Milliseconds = Milliseconds(10_000)
    #: Time without received bytes after which the server closes a connection whose
    #: sending side it has ended, even if the client has not closed its own side.
    linger_timeout: Milliseconds = Milliseconds(1_000)
    #: Maximum time for which a connection is kept open between two requests.
    idle_timeout: Milliseconds = Milliseconds(30_000)
    max_connections: int = 2_048


class _Phase(Enum):
    """State of a connection when a malformed request is detected."""

    #: No response is in progress, and the malformed request is the next one.
    IDLE = "idle"
    #: The malformed request is being received, and its response has not started.
    RECEIVING = "receiving"
    #: The malformed request was answered before all of it had arrived.
    ANSWERED_EARLY = "answered-early"
    #: Responses to earlier requests are pending and must be completed first.
    BUSY = "busy"


class _HeadTooLargeError(Exception):
    """The request line and headers exceed ``ConnectionLimits.max_head``."""


class LimitedProtocol(HttpToolsProtocol):
    """
    HTTP/1.1 connection with timeouts whose error responses have typed bodies.

    uvicorn limits only the time between requests, so a client that never completes a
    head or no longer reads would occupy a connection indefinitely. It also writes its
    error responses immediately, in the middle of a response that is in progress.
    """

    def __init__(
        self,
        *args: Any,
        limits: ConnectionLimits,
        is_draining: Callable[[], bool],
        **kwargs: Any,
    ) -> None:
        super().__init__(*args, **kwargs)
        self._limits = limits
        #: Whether each connection is to be closed after the latest request.
        self._is_draining = is_draining
        #: Exchange whose response is to announce the close of the connection.
        self._last_cycle: RequestResponseCycle | None = None
        self._head_timer: asyncio.TimerHandle | None = None
        self._is_in_head = True
        self._head_size = 0
        #: Refusals to write once earlier responses are complete. While there are any,
        #: received bytes are discarded.
        self._pending_refusals: list[tuple[int, Refusal]] = []

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the head timer, or refuse the connection if there are too many."""
        delivering = DeliveringTransport(
            transport,
            write_timeout=self._limits.write_timeout,
            linger_timeout=self._limits.linger_timeout,
        )
        self._delivering = delivering
        super().connection_made(delivering)
        if len(self.connections) > self._limits.max_connections:
            self._refuse(503, RefusalReason.OVERLOADED, "too many connections")
        else:
            self._start_head_timer()

    def data_received(self, data: bytes) -> None:
        """Parse ``data``; refuse a head that exceeds the size limit."""
        if self._pending_refusals or self.transport.is_closing():
            self._delivering.record_discarded()
            return
        super().data_received(data)
        if self._is_in_head:
            self._head_size += len(data)
            if self._head_size > self._limits.max_head:
                self._refuse_large_head()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timers."""
        self._stop_head_timer()
        self._delivering.stop_timers()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Start the timer that aborts the connection of a client that does not read."""
        super().pause_writing()
        self._delivering.start_stall_timer()

    def resume_writing(self) -> None:
        """Stop that timer."""
        self._delivering.stop_stall_timer()
        super().resume_writing()

    def on_message_begin(self) -> None:
        """Start the head timer unless it is running."""
        super().on_message_begin()
        self._is_in_head = True
        self._head_size = 0
        if self._head_timer is None:
            self._start_head_timer()

    def on_headers_complete(self) -> None:
        """Check the host header and the size of the head, then start the request."""
        self._is_in_head = False
        self._head_size = 0
        self._stop_head_timer()
        hosts = [name for name, _ in self.headers if name == HOST_HEADER]
        if len(hosts) > 1:
            # The parser turns an exception into a 400 response.
            raise ValueError("duplicate host header")
        if _size_of_head(self.url, self.headers) > self._limits.max_head:
            raise _HeadTooLargeError
        super().on_headers_complete()
        if self._is_draining():
            self.close_after_response()

    def close_after_response(self) -> None:
        """
        Announce the close of the connection in the response to the latest request.

        If that response has been started, the connection stays open for a further
        request, whose response announces it.
        """
        cycle = self.cycle
        if self._pending_refusals or cycle is None or cycle.response_started:
            return
        previous = self._last_cycle
        if previous is not None and not previous.response_started:
            previous.keep_alive = True
        # A request that itself asks for the close cannot be followed by another one.
        self._last_cycle = cycle if cycle.keep_alive else None
        cycle.keep_alive = False

    def shutdown(self) -> None:
        """Close the connection if it is idle, or soon after the latest response."""
        if self.cycle is None or self.cycle.response_complete:
            self.transport.close()
        linger_seconds = self._limits.linger_timeout / MILLISECONDS_PER_SECOND
        self.timeout_keep_alive = linger_seconds  # type: ignore[assignment]

    def on_response_complete(self) -> None:
        """Start the next request, or write the pending refusals and close."""
        if self._pending_refusals and not self.pipeline:
            for status, refusal in self._pending_refusals:
                self._write(status, refusal)
            self.transport.close()
        else:
            super().on_response_complete()

    def send_400_response(self, msg: str) -> None:
        """Refuse a malformed request, which has not run."""
        self._refuse(400, RefusalReason.INVALID_REQUEST, msg)

    def _phase(self) -> _Phase:
        cycle = self.cycle
        if cycle is None:
            return _Phase.IDLE
        if cycle.response_complete:
            is_arriving = cycle.more_body and not self._is_in_head
            return _Phase.ANSWERED_EARLY if is_arriving else _Phase.IDLE
        is_first = not self.pipeline and not cycle.response_started
        return _Phase.RECEIVING if is_first and cycle.more_body else _Phase.BUSY

    def _refuse(self, status: int, reason: RefusalReason, message: str) -> None:
        self._stop_head_timer()
        if self._pending_refusals:
            return
        refusal = Refusal(reason=reason, verdict=Verdict.NOT_RUN, message=message)
        phase = self._phase()
        if phase is _Phase.BUSY:
            self._pending_refusals.append((status, refusal))
            return
        if phase is not _Phase.ANSWERED_EARLY:
            self._write(status, refusal)
        self.transport.close()

    def _refuse_large_head(self) -> None:
        message = f"the head exceeds {self._limits.max_head} bytes"
        self._refuse(431, RefusalReason.TOO_LARGE, message)

    def _refuse_slow_head(self) -> None:
        message = f"the head did not arrive within {self._limits.head_timeout} ms"
        self._refuse(408, RefusalReason.TOO_SLOW, message)

    def _write(self, status: int, refusal: Refusal) -> None:
        body = encode_refusal(refusal)
        head = (
            f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\n"
            "content-type: application/json\r\n"
            f"content-length: {len(body)}\r\n"
            "connection: close\r\n\r\n"
        )
        self.transport.write(head.encode() + body)

    def _start_head_timer(self) -> None:
        delay = self._limits.head_timeout / MILLISECONDS_PER_SECOND
        self._head_timer = self.loop.call_later(delay, self._refuse_slow_head)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


def _size_of_head(url: bytes, headers: list[tuple[bytes, bytes]]) -> int:
    return len(url) + sum(len(name) + len(value) for name, value in headers)
