"""HTTP connections with limits on head, silence and number."""

import asyncio
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.gateway import encode_refusal
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

MILLISECONDS_PER_SECOND = 1_000
HOST_HEADER = b"host"


@dataclass(frozen=True, kw_only=True)
class ConnectionLimits:
    """Limits on the connections of one server."""

    #: Largest request line and headers together, in bytes.
    max_head: int = 16_384
    #: Longest time from the first byte of a head, or from the connection, to its end.
    head_timeout: Milliseconds = Milliseconds(10_000)
    #: Longest time that the other side may take none of an answer.
    write_timeout: Milliseconds = Milliseconds(10_000)
    #: Longest time that a connection is kept between two requests.
    idle_timeout: Milliseconds = Milliseconds(30_000)
    max_connections: int = 2_048


class _Phase(Enum):
    """What a connection is doing when the next request turns out to be faulty."""

    #: No answer is under way; the faulty request is the next one.
    IDLE = "idle"
    #: The faulty request is being received and has no answer yet.
    RECEIVING = "receiving"
    #: The faulty request has its answer, although not all of it has arrived.
    ANSWERED_EARLY = "answered-early"
    #: Earlier requests wait for their answers, which must not be disturbed.
    BUSY = "busy"


class _HeadTooLargeError(Exception):
    """The head of a request exceeds its limit."""


class LimitedProtocol(HttpToolsProtocol):
    """
    HTTP/1.1 connection that answers its own refusals as typed errors.

    The server's library bounds the time between requests only: a head without end, or
    a caller that no longer reads, would hold a connection for good. It also writes its
    refusals at once, into the middle of an answer that is under way.
    """

    def __init__(self, *args: Any, limits: ConnectionLimits, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._limits = limits
        self._head_timer: asyncio.TimerHandle | None = None
        self._write_timer: asyncio.TimerHandle | None = None
        self._is_in_head = True
        self._head_size = 0
        #: Refusals that wait for the answers before them; nothing more is read.
        self._pending: list[tuple[int, Refusal]] = []

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the time limit of the first head."""
        super().connection_made(transport)
        if len(self.connections) > self._limits.max_connections:
            self._refuse(503, RefusalReason.OVERLOADED, "too many connections")
        else:
            self._start_head_timer()

    def data_received(self, data: bytes) -> None:
        """Take bytes; a head has to be complete within its limits."""
        if self._pending or self.transport.is_closing():
            return
        super().data_received(data)
        if self._is_in_head:
            self._head_size += len(data)
            if self._head_size > self._limits.max_head:
                self._refuse_large_head()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timers."""
        self._stop_head_timer()
        self._stop_write_timer()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Start the time limit of a caller that does not read."""
        super().pause_writing()
        delay = self._limits.write_timeout / MILLISECONDS_PER_SECOND
        self._write_timer = self.loop.call_later(delay, self.transport.abort)

    def resume_writing(self) -> None:
        """Stop the time limit of a caller that reads again."""
        self._stop_write_timer()
        super().resume_writing()

    def on_message_begin(self) -> None:
        """Start the time limit of a head."""
        super().on_message_begin()
        self._is_in_head = True
        self._head_size = 0
        if self._head_timer is None:
            self._start_head_timer()

    def on_headers_complete(self) -> None:
        """Check the head, then start its request."""
        self._is_in_head = False
        self._head_size = 0
        self._stop_head_timer()
        hosts = [name for name, _ in self.headers if name == HOST_HEADER]
        if len(hosts) > 1:
            # The parser takes an exception as a fault of the request.
            raise ValueError("the host is given twice")
        if _size(self.url, self.headers) > self._limits.max_head:
            raise _HeadTooLargeError
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        """Go on to the next request, or refuse it if it was found faulty."""
        if self._pending and not self.pipeline:
            for status, refusal in self._pending:
                self._write(status, refusal)
            self.transport.close()
        else:
            super().on_response_complete()

    def send_400_response(self, msg: str) -> None:
        """Answer a request that is not HTTP; no such request has run."""
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
        if self._pending:
            return
        refusal = Refusal(reason=reason, verdict=Verdict.NOT_RUN, message=message)
        phase = self._phase()
        if phase is _Phase.BUSY:
            self._pending.append((status, refusal))
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

    def _stop_write_timer(self) -> None:
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None


def _size(url: bytes, headers: list[tuple[bytes, bytes]]) -> int:
    return len(url) + sum(len(name) + len(value) for name, value in headers)
