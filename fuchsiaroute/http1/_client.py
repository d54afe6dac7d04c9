"""Client connections."""

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import httptools

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.http1._connecting import connect_protocol
from fuchsiaroute.http1._exceptions import BrokenResponseError, ConnectError
from fuchsiaroute.http1._memory_budget import MemoryBudget
from fuchsiaroute.http1._messages import Headers, find_header
from fuchsiaroute.http1._response_memory import ResponseMemory
from fuchsiaroute.http1._socket_options import DeadPathDetection

#: Buffered bytes of a response above which reading from the socket is paused.
HIGH_WATER_BYTES = 256 * 1024
MILLISECONDS_PER_SECOND = 1_000
#: Bytes of a response that are not its body: interim responses, head, trailers.
MAX_OVERHEAD_BYTES = 64 * 1024
#: Further bytes for each byte of the body, for the framing of chunks: one of a single
#: byte has five.
OVERHEAD_PER_BODY_BYTE = 8
#: Body bytes that are skipped in responses to other requests.
MAX_SKIPPED_BYTES = 1024 * 1024
_FIRST_STATUS, _FIRST_FINAL_STATUS, _LAST_STATUS = 100, 200, 599
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d{1,9})")

#: Returns whether a response with this status and header section is the expected one.
ResponseMatcher = Callable[[int, Headers], bool]


@dataclass(frozen=True, kw_only=True)
class ResponseHead:
    """Status line and header section of an endpoint's response."""

    status: int
    headers: Headers
    #: ``Content-Length`` of the response; None without one.
    length: int | None

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of the field with the lower-case ``name``."""
        return find_header(self.headers, name)


@dataclass(frozen=True, kw_only=True)
class ResponseBody:
    """A complete response."""

    head: ResponseHead
    data: bytes


class ClientConnection(asyncio.Protocol):
    """
    Sends one request at a time and reads its response.

    A response that does not match the request is skipped. Bytes that arrive while no
    request is in progress close the connection. With a ``budget``, a response that
    takes the room of the others is broken off.
    """

    def __init__(self, *, clock: Clock, budget: MemoryBudget | None = None) -> None:
        self._clock = clock
        self._memory = ResponseMemory(budget, clock=clock, on_evicted=self._evict)
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._head: asyncio.Future[ResponseHead] | None = None
        self._matches: ResponseMatcher | None = None
        self._is_head = False
        self._is_skipping = False
        #: Unread bytes of the body. Chunks may be of a single byte, and an object for
        #: each would take many times the memory.
        self._unread = bytearray()
        #: Bytes of the present response: in all, of its body, and of skipped bodies.
        self._received = 0
        self._body_bytes = 0
        self._skipped_bytes = 0
        self._arrived = asyncio.Event()
        self._is_complete = False
        self._ends_with_connection = False
        self._error: str | None = None
        self._keeps_open = True
        self._is_writable = True
        self._keep_alive_timeout: Milliseconds | None = None
        #: Monotonic time at which the latest response ended.
        self.idle_since = clock.now()
        #: Number of requests sent on this connection.
        self.request_count = 0

    @property
    def is_open(self) -> bool:
        """Return whether the connection can carry another request."""
        return (
            self._error is None
            and self._keeps_open
            and self._head is None
            and not self._transport.is_closing()
        )

    def keep(self, size: int) -> None:
        """Count ``size`` bytes of the response that its reader needs until it ends."""
        self._memory.keep(size)

    def idle_timeout(self, default: Milliseconds) -> Milliseconds:
        """Return ``default``, or the endpoint's keep-alive timeout if it is shorter."""
        announced = self._keep_alive_timeout
        return default if announced is None else min(default, announced)

    def send(
        self, data: bytes, matches: ResponseMatcher, *, is_head: bool = False
    ) -> None:
        """
        Send a request; responses that ``matches`` rejects are skipped.

        ``is_head`` marks a HEAD request, whose response has no body even if it has a
        ``Content-Length``. Raises ``ConnectError`` if the connection is not open.
        """
        if not self.is_open:
            raise ConnectError("the connection is not open")
        self._head = asyncio.get_running_loop().create_future()
        self._matches = matches
        self._is_head = is_head
        self._is_skipping = False
        self._is_complete = False
        self._ends_with_connection = False
        self._unread.clear()
        self._received = self._body_bytes = self._skipped_bytes = 0
        self._memory.begin()
        self.request_count += 1
        self._dead_paths.limit_unacknowledged_time(len(data))
        self._transport.write(data)

    async def head(self) -> ResponseHead:
        """Return the head of the response; raises ``BrokenResponseError``."""
        if self._head is None:
            raise BrokenResponseError("no request is in progress")
        return await asyncio.shield(self._head)

    async def read(self) -> bytes:
        """
        Return the next bytes of the body; empty at its end.

        Raises ``BrokenResponseError``.
        """
        while not self._unread:
            if self._is_complete:
                self._finish_exchange()
                return b""
            if self._error is not None:
                raise BrokenResponseError(self._error)
            self._arrived.clear()
            await self._arrived.wait()
        data = bytes(self._unread)
        self._unread.clear()
        self._memory.hold(0, fields=len(self._headers))
        if not self._transport.is_closing():
            self._transport.resume_reading()
        return data

    async def wait_readable(self) -> bool:
        """Wait until ``read`` does not wait; return whether it will not raise."""
        while not (self._unread or self._is_complete or self._error is not None):
            self._arrived.clear()
            await self._arrived.wait()
        return bool(self._unread) or self._is_complete

    async def wait_whole(self) -> bool:
        """Wait until the response has ended; return whether it is whole."""
        while not (self._is_complete or self._error is not None):
            self._arrived.clear()
            await self._arrived.wait()
        return self._is_complete

    @property
    def ends_with_connection(self) -> bool:
        """Return whether the body of the response ends with the connection."""
        return self._ends_with_connection

    @property
    def received_bytes(self) -> int:
        """Return the number of bytes of the present response that have arrived."""
        return self._received

    @property
    def has_body_bytes(self) -> bool:
        """Return whether a part of the body has arrived."""
        return self._body_bytes > 0

    async def read_whole(
        self, *, limit: int, on_part: Callable[[], None] = lambda: None
    ) -> ResponseBody:
        """
        Return the complete response; ``on_part`` is called for each part of its body.

        Raises ``BrokenResponseError``, also for a body of more than ``limit`` bytes.
        """
        head = await self.head()
        parts: list[bytes] = []
        size = 0
        while data := await self.read():
            on_part()
            size += len(data)
            if size > limit:
                raise BrokenResponseError(f"response body larger than {limit} bytes")
            parts.append(data)
            # Its end needs a copy in one piece.
            self.keep(2 * size)
        return ResponseBody(head=head, data=b"".join(parts))

    def refuse_further_requests(self) -> None:
        """Close the connection as soon as no exchange is in progress."""
        self._keeps_open = False
        if self._head is None and not self._transport.is_closing():
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection, which cancels the request at the endpoint."""
        if self._error is None:
            self._error = "the exchange was aborted"
        self._memory.release()
        self._transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options."""
        self._transport = cast(asyncio.Transport, transport)
        self._dead_paths = DeadPathDetection(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._head is None:
            self._fail("received bytes while no request was in progress")
            return
        self._received += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._is_complete:
                self._keeps_open = False
                self._transport.close()
            else:
                # The parser wraps what its callbacks raise.
                self._fail(f"malformed response: {error.__context__ or error}")
        else:
            self._check_size()
            self._memory.hold(len(self._unread), fields=len(self._headers))

    def eof_received(self) -> bool:
        """Complete a response that ends with the connection; fail a truncated one."""
        if self._ends_with_connection and not self._is_skipping:
            self._complete()
            self._keeps_open = False
        elif not self._is_complete:
            self._fail("connection closed before the response was complete")
        self._keeps_open = False
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress, if any."""
        self._keeps_open = False
        if not self._is_complete:
            self._fail(f"connection lost: {exc or 'closed'}")

    def pause_writing(self) -> None:
        """Record that part of the request is still buffered."""
        self._is_writable = False

    def resume_writing(self) -> None:
        """Record that the request has been written to the socket."""
        self._is_writable = True

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a header section; an unsolicited response closes the connection."""
        self._headers = []
        if self._is_complete:
            self._keeps_open = False
            self._transport.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Deliver the head, or skip a response to another request."""
        status = self._parser.get_status_code()
        if self._is_complete:
            return
        if not _FIRST_STATUS <= status <= _LAST_STATUS:
            # The parser gives it a body, which would come before that of an answer.
            raise BrokenResponseError(f"status {status:03} is no status of HTTP")
        if status < _FIRST_FINAL_STATUS:
            return
        assert self._head is not None and self._matches is not None
        self._is_skipping = not self._matches(status, self._headers)
        length = find_header(self._headers, b"content-length")
        is_chunked = find_header(self._headers, b"transfer-encoding") is not None
        is_bodiless = status in (204, 304)
        self._ends_with_connection = (
            length is None and not is_chunked and not is_bodiless
        )
        if self._is_skipping:
            return
        if not self._parser.should_keep_alive():
            self._keeps_open = False
        self._read_keep_alive()
        if not self._head.done():
            self._head.set_result(
                ResponseHead(
                    status=status,
                    headers=self._headers,
                    length=int(length) if length is not None else None,
                )
            )
        if self._is_head:
            # The parser would wait for the number of bytes in Content-Length.
            self._keeps_open = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body."""
        if self._is_skipping:
            self._skipped_bytes += len(body)
            return
        if self._is_complete:
            return
        self._body_bytes += len(body)
        self._unread += body
        if len(self._unread) > HIGH_WATER_BYTES:
            self._transport.pause_reading()
        self._arrived.set()

    def on_message_complete(self) -> None:
        """Complete the response, or end the skipping of another one."""
        if self._parser.get_status_code() < _FIRST_FINAL_STATUS:
            return
        if self._is_skipping:
            self._is_skipping = False
        else:
            self._complete()

    # Private

    def _check_size(self) -> None:
        """Fail a response whose head, framing or skipped bytes do not end."""
        if self._is_complete:
            return
        overhead = self._received - self._body_bytes - self._skipped_bytes
        max_overhead = MAX_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * self._body_bytes
        if overhead > max_overhead:
            self._fail(f"{overhead} bytes of a response that are not its body")
        elif self._skipped_bytes > MAX_SKIPPED_BYTES:
            self._fail(f"{self._skipped_bytes} bytes of responses to other requests")

    def _evict(self, reason: str) -> None:
        # Its reader may not have its turn for a while.
        self._unread.clear()
        self._fail(reason)

    def _complete(self) -> None:
        if not self._is_writable:
            # The endpoint responded before it had read the whole request; the rest of
            # the request would precede the next one.
            self._keeps_open = False
        self._is_complete = True
        self._memory.complete()
        self._arrived.set()

    def _finish_exchange(self) -> None:
        """Make the connection ready for another request."""
        self._head = None
        self._memory.release()
        self.idle_since = self._clock.now()
        if not self._keeps_open and not self._transport.is_closing():
            self._transport.close()

    def _fail(self, reason: str) -> None:
        if self._error is None:
            self._error = reason
        if self._head is not None and not self._head.done():
            self._head.set_exception(BrokenResponseError(reason))
            # Marks the exception as retrieved, as head() may never be called.
            self._head.exception()
        self._memory.release()
        self._arrived.set()
        if not self._transport.is_closing():
            self._transport.abort()

    def _read_keep_alive(self) -> None:
        value = find_header(self._headers, b"keep-alive")
        found = _KEEP_ALIVE_TIMEOUT.search(value) if value is not None else None
        if found is not None:
            self._keep_alive_timeout = Milliseconds(
                int(found.group(1)) * MILLISECONDS_PER_SECOND
            )


async def connect(
    host: str,
    port: int,
    *,
    clock: Clock,
    within: Milliseconds,
    budget: MemoryBudget | None = None,
) -> ClientConnection:
    """
    Open a connection; ``within`` is the timeout, ``budget`` counts its responses.

    Raises ``ConnectError``, or its subclass ``NobodyListensError`` if the connection
    is refused.
    """
    return await connect_protocol(
        host, port, lambda: ClientConnection(clock=clock, budget=budget), within
    )
