"""Server connections."""

import asyncio
import math
from collections import deque
from collections.abc import Awaitable, Callable
from typing import NamedTuple, cast

import httptools

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.http1._connection_limit import connection_to_close
from fuchsiaroute.http1._connection_state import CloseReason, ConnectionState
from fuchsiaroute.http1._incoming_request import (
    REQUEST_MEMORY_BYTES,
    IncomingRequest,
    ServerLimits,
)
from fuchsiaroute.http1._memory_budget import MemoryBudget
from fuchsiaroute.http1._messages import Headers, InboundRequest
from fuchsiaroute.http1._responder import Responder
from fuchsiaroute.http1._unread_watch import UnreadWatch

#: Number of waiting pipelined requests at which no further input is parsed until the
#: next response is complete.
MAX_PIPELINED_REQUESTS = 4
#: Bytes of one connection that are parsed before other connections have their turn. The
#: requests in them are all held.
TURN_BYTES = 16 * 1024
#: Memory of a request up to which it is not counted apart from its connection, which
#: saves the work for most requests.
SMALL_REQUEST_BYTES = 12 * 1024
#: Memory of a connection: transport, parser, socket, buffers and a small request.
CONNECTION_MEMORY_BYTES = 6 * 1024 + SMALL_REQUEST_BYTES
#: Interval at which a connection's timeouts, which are seconds long, are checked.
TIMEOUT_CHECK_INTERVAL_SECONDS = 0.5
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_LINE_ENDS = b"\r\n"
MILLISECONDS_PER_SECOND = 1_000

Handler = Callable[[InboundRequest, Responder], Awaitable[None]]


class _Waiting(NamedTuple):
    """A request that has been read and whose handler has not started."""

    request: InboundRequest
    responder: Responder
    #: Memory of the request, in bytes.
    held: int


class ServerConnection(asyncio.Protocol):
    """
    Parses requests and runs the handler for one at a time.

    Ambiguous framing (two lengths, a length with chunked coding, an unknown transfer
    coding, an upgrade) is rejected and the connection closed, which prevents request
    smuggling. Input is parsed only while the caller reads its responses.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        handler: Handler,
        limits: Callable[[], ServerLimits],
        budget: MemoryBudget,
        open_connections: set["ServerConnection"],
        max_connections: Callable[[], float] = lambda: math.inf,
        is_draining: Callable[[], bool] = lambda: False,
        on_close: Callable[[CloseReason], None] = lambda reason: None,
    ) -> None:
        self._clock = clock
        self._on_close = on_close
        self._handler = handler
        self._limits = limits
        self._budget = budget
        self._open = open_connections
        self._max_connections = max_connections
        self._parser = httptools.HttpRequestParser(self)
        self._incoming = IncomingRequest()
        #: Limits during the present turn of parsing.
        self._turn_limits = limits()
        #: Bytes that have arrived and are not parsed yet.
        self._input = memoryview(b"")
        self._is_turn_due = False
        self._is_reading = True
        self._waiting: deque[_Waiting] = deque()
        self._active: Responder | None = None
        #: The latest response that has ended, until the connection has room again.
        self._undelivered: Responder | None = None
        self._active_held = 0
        self._task: asyncio.Task[None] | None = None
        self._ignores_input = False
        self._is_draining = is_draining
        self._last_activity = clock.now()
        self._started_at: Milliseconds | None = None
        self._timeout_check: asyncio.TimerHandle | None = None
        self._is_writable = True
        #: Bytes of the responses that have ended.
        self._written = 0
        self._unread = UnreadWatch(clock=clock)
        self._held_since = self._last_activity
        #: See ``MemoryHolder``.
        self.held = 0

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received or answered."""
        return self._active is None and self._started_at is None and not self._waiting

    @property
    def state(self) -> ConnectionState:
        """Return what the caller is owed."""
        if self._active is not None or self._waiting:
            return ConnectionState.ANSWERING
        if self._started_at is not None:
            return ConnectionState.RECEIVING
        return ConnectionState.SENDING if self.unsent_bytes else ConnectionState.IDLE

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of responses that the operating system has not taken."""
        return self._transport.get_write_buffer_size()

    @property
    def held_since(self) -> Milliseconds:
        """Return since when the connection has held more than an idle one."""
        return self._held_since

    @property
    def may_be_evicted(self) -> bool:
        """Return whether it can be closed without loss of a request that may run."""
        if self._transport.is_closing():
            return self.unsent_bytes > 0
        if self._active is None:
            return True
        return not self._is_writable or len(self._waiting) >= MAX_PIPELINED_REQUESTS

    @property
    def last_activity(self) -> Milliseconds:
        """Return when bytes last arrived or a response last ended."""
        return self._last_activity

    def evict(self) -> None:
        """Close the connection and release what it holds."""
        if self.state is ConnectionState.RECEIVING and not self.unsent_bytes:
            self._reject(503, CloseReason.MEMORY)
        else:
            self._abort(CloseReason.MEMORY)
        self._account()

    def reject_partial_request(self) -> None:
        """Reject a request that has arrived in part; no handler has seen it."""
        if self.state is ConnectionState.RECEIVING:
            self._reject(503)

    def close(self) -> None:
        """Close the connection; call it once no request is in progress."""
        self._transport.close()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to check the timeouts; close a connection if there are too many."""
        self._transport = cast(asyncio.Transport, transport)
        self._open.add(self)
        self._schedule_timeout_check()
        self._account()
        if len(self._open) > self._max_connections():
            connection_to_close(self, self._open).close_for_others()

    def close_for_others(self) -> None:
        """Close the connection in favour of others; a partial request is rejected."""
        # The next new connection must not choose it again.
        self._open.discard(self)
        if self.state is ConnectionState.RECEIVING:
            self._reject(503, CloseReason.CONNECTIONS)
        else:
            self._abort(CloseReason.CONNECTIONS)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress, as its caller has disconnected."""
        self._open.discard(self)
        if self._timeout_check is not None:
            self._timeout_check.cancel()
        self._ignores_input = True
        self._discard_input()
        self._waiting.clear()
        self._budget.remove(self)
        if self._active is not None:
            self._active.set_writable(True)
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Close the connection at the end of the input (no half-open connections)."""
        return False

    def pause_writing(self) -> None:
        """Pause the response while the write buffer is full."""
        self._is_writable = False
        if self._active is not None:
            self._active.set_writable(False)

    def resume_writing(self) -> None:
        """Resume the response, or answer the next request."""
        self._is_writable = True
        delivered, self._undelivered = self._undelivered, None
        if delivered is not None:
            delivered.set_writable(True)
        if self._active is not None:
            self._active.set_writable(True)
        else:
            self._answer_next()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, as far as it is their turn."""
        if self._ignores_input or not data:
            return
        if not self._input and len(data) <= TURN_BYTES and self._may_parse():
            self._turn_limits = self._limits()
            self._feed(data)
        else:
            self._input = memoryview(b"".join((self._input, data)))
            self._parse()
        self._set_reading()
        self._account()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Reset the state of the request being received."""
        self._incoming = IncomingRequest()
        self._started_at = self._clock.now()

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._check(self._incoming.add_target(url, self._turn_limits))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self._check(self._incoming.add_header(name, value, self._turn_limits))

    def on_headers_complete(self) -> None:
        """Check the header section."""
        if self._ignores_input:
            return
        incoming = self._incoming
        method = self._parser.get_method()
        now = self._clock.now()
        self._check(incoming.complete_head(method, now, self._turn_limits))
        if not self._ignores_input and incoming.expects_continue():
            self._transport.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body within the limits."""
        if not self._ignores_input:
            self._check(self._incoming.add_body(body, self._turn_limits))

    def on_message_complete(self) -> None:
        """Run the handler, or queue the request while another one is in progress."""
        self._started_at = None
        if self._ignores_input:
            return
        incoming = self._incoming
        self._incoming = IncomingRequest()
        responder = Responder(
            self._transport,
            keep_alive=self._parser.should_keep_alive(),
            is_head=incoming.method == b"HEAD",
            supports_chunked=self._parser.get_http_version() != "1.0",
            on_finished=self._response_finished,
            is_last=self._is_last,
        )
        held = incoming.held + REQUEST_MEMORY_BYTES
        self._waiting.append(_Waiting(incoming.complete(), responder, held))
        if self._active is None and self._is_writable:
            self._serve_next()

    # Private

    def _parse(self) -> None:
        """Parse what has arrived, for one turn at most."""
        if not self._input or not self._may_parse():
            return
        self._turn_limits = self._limits()
        part = self._input[:TURN_BYTES]
        self._input = self._input[TURN_BYTES:]
        self._feed(part)
        if self._input and not self._is_turn_due:
            self._is_turn_due = True
            asyncio.get_running_loop().call_soon(self._take_turn)

    def _take_turn(self) -> None:
        self._is_turn_due = False
        self._parse()
        self._set_reading()
        self._account()

    def _may_parse(self) -> bool:
        return (
            self._is_writable
            and not self._ignores_input
            and len(self._waiting) < MAX_PIPELINED_REQUESTS
        )

    def _set_reading(self) -> None:
        """Read further input only if all that has arrived could be parsed."""
        is_reading = not self._input and self._may_parse()
        if is_reading is self._is_reading or self._transport.is_closing():
            return
        self._is_reading = is_reading
        if is_reading:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def _feed(self, part: bytes | memoryview) -> None:
        now = self._clock.now()
        if self._started_at is None:
            if _is_blank(part):
                # Empty lines before a request are skipped, and neither begin one nor
                # keep the connection open.
                limits = self._turn_limits
                self._check(self._incoming.count_received(len(part), limits))
                return
            self._started_at = now
        self._last_activity = now
        incoming = self._incoming
        try:
            self._parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            self._reject(501)
        except httptools.HttpParserError:
            if not self._ignores_input:
                self._reject(400)
        if self._incoming is incoming:
            self._check(incoming.count_received(len(part), self._turn_limits))

    def _check(self, status: int | None) -> None:
        """Reject the request being received if there is a status to do so."""
        if status is not None and not self._ignores_input:
            self._reject(status)

    def _account(self) -> None:
        """Count what the connection holds; it is closed if there is no room."""
        if self._is_small and self.held == CONNECTION_MEMORY_BYTES:
            return
        if self._transport.is_closing() and not self.unsent_bytes:
            self._budget.remove(self)
            return
        held = CONNECTION_MEMORY_BYTES
        if self.held == held:
            # Nothing more than for a small request was held until now.
            self._held_since = self._clock.now()
        if not self._is_small:
            held += (
                (len(cast(bytes, self._input.obj)) if self._input else 0)
                + self._incoming.held
                + sum(item.held for item in self._waiting)
                + self._active_held
                + self.unsent_bytes
            )
        if not self._budget.resize(self, held) and self.may_be_evicted:
            self.evict()

    @property
    def _is_small(self) -> bool:
        """Return whether the connection holds no more than a small request."""
        return (
            not self._input
            and not self._waiting
            and self._started_at is None
            and self._active_held <= SMALL_REQUEST_BYTES
            and not self.unsent_bytes
        )

    def _serve_next(self) -> None:
        request, responder, self._active_held = self._waiting.popleft()
        self._active = responder
        self._task = asyncio.get_running_loop().create_task(
            self._run(request, responder)
        )

    async def _run(self, request: InboundRequest, responder: Responder) -> None:
        try:
            await self._handler(request, responder)
        finally:
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
        self._written += responder.written
        self._active = None
        self._active_held = 0
        self._task = None
        if not self._is_writable:
            self._undelivered = responder
        if not responder.keeps_connection:
            self._ignores_input = True
            self._discard_input()
            self._waiting.clear()
            self._account()
            return
        self._answer_next()

    def _answer_next(self) -> None:
        """Answer the next request and parse further ones, if the caller reads."""
        if not self._is_writable:
            # Responses that the caller does not read would fill the memory.
            self._account()
            return
        if self._waiting:
            self._serve_next()
        elif self._ignores_input:
            self._transport.close()
            self._account()
            return
        self._parse()
        self._set_reading()
        self._account()

    def _is_last(self) -> bool:
        """Return whether no request is served after those that have been read."""
        return (self._ignores_input or self._is_draining()) and not self._waiting

    def _reject(self, status: int, reason: CloseReason = CloseReason.REJECTED) -> None:
        """
        Send ``status`` and close.

        If responses to earlier requests are due, no status is sent, and the connection
        is closed after the last of them.
        """
        self._ignores_input = True
        self._on_close(reason)
        self._discard_input()
        headers: Headers = [(b"Retry-After", b"1")] if status in (408, 503) else []
        responder = Responder(
            self._transport,
            keep_alive=False,
            is_head=False,
            supports_chunked=True,
            on_finished=self._response_finished,
        )
        if self._active is None and not self._waiting:
            responder.send(status, headers, b"")

    def _abort(self, reason: CloseReason) -> None:
        self._ignores_input = True
        self._on_close(reason)
        self._discard_input()
        self._waiting.clear()
        self._transport.abort()

    def _discard_input(self) -> None:
        self._incoming = IncomingRequest(is_head_complete=True)
        self._input = memoryview(b"")

    def _schedule_timeout_check(self) -> None:
        self._timeout_check = asyncio.get_running_loop().call_later(
            TIMEOUT_CHECK_INTERVAL_SECONDS, self._check_timeouts
        )

    def _check_timeouts(self) -> None:
        now = self._clock.now()
        limits = self._limits()
        active = 0 if self._active is None else self._active.written
        if self._unread.is_stalled(
            written=self._written + active,
            unsent=self.unsent_bytes,
            idle_timeout=limits.idle_timeout,
        ):
            self._abort(CloseReason.UNREAD)
            return
        if self._transport.is_closing() and not self.unsent_bytes:
            return
        self._schedule_timeout_check()
        if self._transport.is_closing():
            return
        self._account()
        if self._started_at is not None and not self._incoming.is_head_complete:
            if now - self._started_at > limits.header_timeout:
                self._reject(408)
        elif self._started_at is not None:
            if now - self._last_activity > limits.idle_timeout:
                # The body has stalled; the handler has not seen the request.
                self._reject(408)
        elif self.is_idle and now - self._last_activity > limits.idle_timeout:
            self._on_close(CloseReason.IDLE)
            self._transport.close()


def _is_blank(part: bytes | memoryview) -> bool:
    return part[0] in _LINE_ENDS and not bytes(part).strip(_LINE_ENDS)
