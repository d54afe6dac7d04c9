"""Server connections."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from typing import cast

import httptools

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.http1._body_budget import BodyBudget
from fuchsiaroute.http1._messages import Headers, InboundRequest, find_header
from fuchsiaroute.http1._responder import Responder

#: Number of waiting pipelined requests at which reading from the socket is paused until
#: the next response is complete.
MAX_PIPELINED_REQUESTS = 4
#: Interval at which a connection's timeouts, which are seconds long, are checked.
TIMEOUT_CHECK_INTERVAL_SECONDS = 0.5
#: Bytes of a header field in addition to name and value: colon, space and line end.
_FIELD_OVERHEAD = 4
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
MILLISECONDS_PER_SECOND = 1_000

Handler = Callable[[InboundRequest, Responder], Awaitable[None]]


@dataclass(frozen=True, kw_only=True)
class ServerLimits:
    """Limits on the size of requests and timeouts for receiving them."""

    header_bytes: int
    body_bytes: int
    #: From the first byte of a request to the end of its header section.
    header_timeout: Milliseconds
    #: Maximum time without a request, or between two parts of a body.
    idle_timeout: Milliseconds


class ConnectionState(Enum):
    """What a caller's connection is owed, from nothing to a whole response."""

    #: Nothing: no request has arrived since the last response was sent.
    IDLE = "idle"
    #: Bytes of a response whose handler has ended are still unsent.
    SENDING = "sending"
    #: A request has arrived in part.
    RECEIVING = "receiving"
    #: A request has been read, and its handler runs or has not started yet.
    ANSWERING = "answering"


class CloseReason(Enum):
    """Why the server closed a caller's connection that the caller had kept open."""

    #: No request for longer than the idle timeout.
    IDLE = "idle"
    #: A request was rejected before it had arrived as a whole.
    REJECTED = "rejected"
    #: A response that had begun could not be completed.
    RESPONSE_ABORTED = "response-aborted"


@dataclass
class _Incoming:
    """A request while it is being received."""

    method: bytes = b""
    target: bytes = b""
    header_bytes: int = 0
    arrived_at: Milliseconds = Milliseconds(0)
    is_head_complete: bool = False


class ServerConnection(asyncio.Protocol):
    """
    Parses requests and runs the handler for one at a time.

    Ambiguous framing (two lengths, a length with chunked coding, an unknown transfer
    coding, an upgrade) is rejected and the connection closed, which prevents request
    smuggling.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        handler: Handler,
        limits: Callable[[], ServerLimits],
        budget: BodyBudget,
        open_connections: set["ServerConnection"],
        is_draining: Callable[[], bool] = lambda: False,
        on_close: Callable[[CloseReason], None] = lambda reason: None,
    ) -> None:
        self._clock = clock
        self._on_close = on_close
        self._handler = handler
        self._limits = limits
        self._budget = budget
        self._open = open_connections
        self._parser = httptools.HttpRequestParser(self)
        self._incoming = _Incoming()
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_size = 0
        self._has_body = False
        self._waiting: deque[tuple[InboundRequest, Responder]] = deque()
        self._active: Responder | None = None
        self._task: asyncio.Task[None] | None = None
        self._ignores_input = False
        self._is_draining = is_draining
        self._last_activity = clock.now()
        self._started_at: Milliseconds | None = None
        self._timeout_check: asyncio.TimerHandle | None = None

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received or answered."""
        return self._active is None and self._started_at is None

    @property
    def state(self) -> ConnectionState:
        """Return what the caller is owed."""
        if self._active is not None:
            return ConnectionState.ANSWERING
        if self._started_at is not None:
            return ConnectionState.RECEIVING
        return ConnectionState.SENDING if self.unsent_bytes else ConnectionState.IDLE

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of responses that the operating system has not taken."""
        return self._transport.get_write_buffer_size()

    def reject_partial_request(self) -> None:
        """Reject a request that has arrived in part; no handler has seen it."""
        if self.state is ConnectionState.RECEIVING:
            self._reject(503)

    def close(self) -> None:
        """Close the connection; call it once no request is in progress."""
        self._transport.close()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to check the timeouts."""
        self._transport = cast(asyncio.Transport, transport)
        self._open.add(self)
        self._schedule_timeout_check()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress, as its caller has disconnected."""
        self._open.discard(self)
        if self._timeout_check is not None:
            self._timeout_check.cancel()
        self._discard_body()
        for request, _ in self._waiting:
            self._budget.release(len(request.body))
        self._waiting.clear()
        if self._active is not None:
            self._active.set_writable(True)
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Close the connection at the end of the input (no half-open connections)."""
        return False

    def pause_writing(self) -> None:
        """Pause the response while the write buffer is full."""
        if self._active is not None:
            self._active.set_writable(False)

    def resume_writing(self) -> None:
        """Resume the response."""
        if self._active is not None:
            self._active.set_writable(True)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._ignores_input:
            return
        self._last_activity = self._clock.now()
        if self._started_at is None:
            self._started_at = self._last_activity
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(501)
        except httptools.HttpParserError:
            self._reject(400)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Reset the state of the request being received."""
        self._incoming = _Incoming()
        self._headers = []
        self._body = []
        self._body_size = 0
        self._has_body = False
        self._started_at = self._clock.now()

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._incoming.target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self._count_header_bytes(len(name) + len(value) + _FIELD_OVERHEAD)
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the header section."""
        incoming = self._incoming
        incoming.method = self._parser.get_method()
        incoming.arrived_at = self._clock.now()
        incoming.is_head_complete = True
        if self._ignores_input:
            return
        status = self._check_headers()
        if status is not None:
            self._reject(status)
        elif self._expects_continue():
            self._transport.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body within the limits."""
        if self._ignores_input:
            return
        if self._body_size + len(body) > self._limits().body_bytes:
            self._reject(413)
        elif not self._budget.reserve(len(body)):
            self._reject(503)
        else:
            self._body_size += len(body)
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Run the handler, or queue the request while another one is in progress."""
        self._started_at = None
        if self._ignores_input:
            return
        incoming = self._incoming
        request = InboundRequest(
            method=incoming.method,
            target=incoming.target,
            headers=self._headers,
            body=b"".join(self._body),
            arrived_at=incoming.arrived_at,
            has_body=self._has_body,
        )
        self._body = []
        self._body_size = 0
        responder = Responder(
            self._transport,
            keep_alive=self._parser.should_keep_alive(),
            is_head=incoming.method == b"HEAD",
            supports_chunked=self._parser.get_http_version() != "1.0",
            on_finished=self._response_finished,
            is_last=self._is_last,
        )
        self._waiting.append((request, responder))
        if self._active is None:
            self._serve_next()
        elif len(self._waiting) >= MAX_PIPELINED_REQUESTS:
            self._transport.pause_reading()

    # Private

    def _check_headers(self) -> int | None:
        """Return the status with which to reject the header section, or None."""
        hosts = 0
        for name, value in self._headers:
            field = name.lower()
            if field == b"host":
                hosts += 1
            elif field == b"transfer-encoding":
                self._has_body = True
                if value.strip().lower() != b"chunked":
                    return 501
            elif field == b"content-length":
                self._has_body = True
                if int(value) > self._limits().body_bytes:
                    return 413
        is_valid = hosts == 1 and self._incoming.target.startswith(b"/")
        return None if is_valid else 400

    def _expects_continue(self) -> bool:
        value = find_header(self._headers, b"expect")
        return value is not None and value.strip().lower() == b"100-continue"

    def _serve_next(self) -> None:
        request, responder = self._waiting.popleft()
        self._active = responder
        self._task = asyncio.get_running_loop().create_task(
            self._run(request, responder)
        )

    async def _run(self, request: InboundRequest, responder: Responder) -> None:
        try:
            await self._handler(request, responder)
        finally:
            self._budget.release(len(request.body))
            if not responder.is_finished:
                # The handler raised or was cancelled: the response is incomplete and
                # must not end as a complete one.
                responder.abort()

    def _response_finished(self, responder: Responder) -> None:
        self._last_activity = self._clock.now()
        if responder is not self._active:
            return
        if responder.is_aborted:
            self._on_close(CloseReason.RESPONSE_ABORTED)
        self._active = None
        self._task = None
        if not responder.keeps_connection:
            self._ignores_input = True
            return
        self._transport.resume_reading()
        if self._waiting:
            self._serve_next()
        elif self._ignores_input:
            self._transport.close()

    def _is_last(self) -> bool:
        """Return whether no request is served after those that have been read."""
        return (self._ignores_input or self._is_draining()) and not self._waiting

    def _count_header_bytes(self, size: int) -> None:
        self._incoming.header_bytes += size
        is_too_large = self._incoming.header_bytes > self._limits().header_bytes
        if is_too_large and not self._ignores_input:
            self._reject(431)

    def _reject(self, status: int) -> None:
        """
        Send ``status`` and close.

        If responses to earlier requests are due, no status is sent, and the connection
        is closed after the last of them.
        """
        self._ignores_input = True
        self._on_close(CloseReason.REJECTED)
        self._discard_body()
        headers: Headers = [(b"Retry-After", b"1")] if status in (408, 503) else []
        responder = Responder(
            self._transport,
            keep_alive=False,
            is_head=False,
            supports_chunked=True,
            on_finished=self._response_finished,
        )
        if self._active is None:
            responder.send(status, headers, b"")

    def _discard_body(self) -> None:
        self._budget.release(self._body_size)
        self._body = []
        self._body_size = 0

    def _schedule_timeout_check(self) -> None:
        self._timeout_check = asyncio.get_running_loop().call_later(
            TIMEOUT_CHECK_INTERVAL_SECONDS, self._check_timeouts
        )

    def _check_timeouts(self) -> None:
        if self._transport.is_closing():
            return
        now = self._clock.now()
        limits = self._limits()
        if self._started_at is not None and not self._incoming.is_head_complete:
            if now - self._started_at > limits.header_timeout:
                self._reject(408)
                return
        elif self._started_at is not None:
            if now - self._last_activity > limits.idle_timeout:
                # The body has stalled; the handler has not seen the request.
                self._reject(408)
                return
        elif self.is_idle and now - self._last_activity > limits.idle_timeout:
            self._on_close(CloseReason.IDLE)
            self._transport.close()
            return
        self._schedule_timeout_check()
