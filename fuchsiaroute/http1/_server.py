"""A caller's connection."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import cast

import httptools

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.http1._body_budget import BodyBudget
from fuchsiaroute.http1._messages import Headers, InboundRequest, find_header
from fuchsiaroute.http1._responder import Responder

#: Requests that may wait on one connection behind the one being answered; a caller
#: that pipelines more is not read until it has its responses.
MAX_PIPELINED_REQUESTS = 4
#: Pause between two checks of a connection's time limits; they are seconds long.
LIMIT_CHECK_INTERVAL_S = 0.5
#: Bytes of a header field beside its name and value: colon, space and line end.
_FIELD_OVERHEAD = 4
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_MS = 1_000

Handler = Callable[[InboundRequest, Responder], Awaitable[None]]


@dataclass(frozen=True, kw_only=True)
class ServerLimits:
    """What a caller may send, and how long it may take."""

    header_bytes: int
    body_bytes: int
    #: From the first byte of a request to the end of its header section.
    header_timeout: Milliseconds
    #: Time without a request on an open connection.
    idle_timeout: Milliseconds


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

    Input that could be read in two ways (two lengths, a length beside chunks, an
    unknown transfer coding, an upgrade) is refused and the connection closed.
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
    ) -> None:
        self._clock = clock
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
        self._is_refusing = False
        self._is_draining = is_draining
        self._last_activity = clock.now()
        self._started_at: Milliseconds | None = None
        self._limit_check: asyncio.TimerHandle | None = None

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received or answered."""
        return self._active is None and self._started_at is None

    def close_after_response(self) -> None:
        """Close the connection after the response in progress."""
        if self._active is not None:
            self._active.close_after_response()

    def close(self) -> None:
        """Close the connection; used once no request is in progress."""
        self._transport.close()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the time limits."""
        self._transport = cast(asyncio.Transport, transport)
        self._open.add(self)
        self._schedule_limit_check()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress: its caller has gone."""
        self._open.discard(self)
        if self._limit_check is not None:
            self._limit_check.cancel()
        self._drop_body()
        for request, _ in self._waiting:
            self._budget.release(len(request.body))
        self._waiting.clear()
        if self._active is not None:
            self._active.set_writable(True)
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Take the end of the caller's input for its leaving."""
        return False

    def pause_writing(self) -> None:
        """Hold the response back while the caller does not read."""
        if self._active is not None:
            self._active.set_writable(False)

    def resume_writing(self) -> None:
        """Go on with the response."""
        if self._active is not None:
            self._active.set_writable(True)

    def data_received(self, data: bytes) -> None:
        """Parse what has come in."""
        if self._is_refusing:
            return
        self._last_activity = self._clock.now()
        if self._started_at is None:
            self._started_at = self._last_activity
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(501)
        except httptools.HttpParserError:
            self._refuse(400)

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
        if self._is_refusing:
            return
        status = self._check_headers()
        if status is not None:
            self._refuse(status)
        elif self._expects_continue():
            self._transport.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body within the bounds."""
        if self._is_refusing:
            return
        if self._body_size + len(body) > self._limits().body_bytes:
            self._refuse(413)
        elif not self._budget.reserve(len(body)):
            self._refuse(503)
        else:
            self._body_size += len(body)
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Hand the request over, or queue it behind the one being answered."""
        self._started_at = None
        if self._is_refusing:
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
            done=self._response_done,
        )
        self._waiting.append((request, responder))
        if self._active is None:
            self._serve_next()
        elif len(self._waiting) >= MAX_PIPELINED_REQUESTS:
            self._transport.pause_reading()

    # Private

    def _check_headers(self) -> int | None:
        """Return the status with which to refuse the header section, if any."""
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
        if self._is_draining():
            responder.close_after_response()
        self._task = asyncio.get_running_loop().create_task(
            self._run(request, responder)
        )

    async def _run(self, request: InboundRequest, responder: Responder) -> None:
        try:
            await self._handler(request, responder)
        finally:
            self._budget.release(len(request.body))
            if not responder.is_finished:
                # The handler raised or the caller has gone: nothing may look whole.
                responder.abort()

    def _response_done(self, responder: Responder) -> None:
        self._last_activity = self._clock.now()
        if responder is not self._active:
            return
        self._active = None
        self._task = None
        if not responder.keeps_connection:
            self._is_refusing = True
            return
        self._transport.resume_reading()
        if self._waiting:
            self._serve_next()

    def _count_header_bytes(self, size: int) -> None:
        self._incoming.header_bytes += size
        is_too_large = self._incoming.header_bytes > self._limits().header_bytes
        if is_too_large and not self._is_refusing:
            self._refuse(431)

    def _refuse(self, status: int) -> None:
        """Answer input that is not taken, after the responses before it."""
        self._is_refusing = True
        self._drop_body()
        headers: Headers = [(b"Retry-After", b"1")] if status in (408, 503) else []
        responder = Responder(
            self._transport,
            keep_alive=False,
            is_head=False,
            supports_chunked=True,
            done=self._response_done,
        )
        if self._active is None:
            responder.send(status, headers, b"")
        else:
            # The caller learns of the fault from the close behind its response.
            self._active.close_after_response()

    def _drop_body(self) -> None:
        self._budget.release(self._body_size)
        self._body = []
        self._body_size = 0

    def _schedule_limit_check(self) -> None:
        self._limit_check = asyncio.get_running_loop().call_later(
            LIMIT_CHECK_INTERVAL_S, self._check_limits
        )

    def _check_limits(self) -> None:
        if self._transport.is_closing():
            return
        now = self._clock.now()
        limits = self._limits()
        if self._started_at is not None and not self._incoming.is_head_complete:
            if now - self._started_at > limits.header_timeout:
                self._refuse(408)
                return
        elif self._started_at is not None:
            if now - self._last_activity > limits.idle_timeout:
                # A body that has stopped coming; nothing of it has been passed on.
                self._refuse(408)
                return
        elif self.is_idle and now - self._last_activity > limits.idle_timeout:
            self._transport.close()
            return
        self._schedule_limit_check()
