"""HTTP connections with limits on head, silence and number."""

import asyncio
from dataclasses import dataclass
from typing import Any

import h11
from uvicorn.protocols.http.h11_impl import H11Protocol

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.gateway import encode_refusal
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

MILLISECONDS_PER_SECOND = 1_000
#: States in which a response may still be started.
_OPEN_STATES = frozenset({h11.IDLE, h11.SEND_RESPONSE})


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


class LimitedProtocol(H11Protocol):
    """
    HTTP/1.1 connection that answers its own refusals as typed errors.

    The server's library bounds the time between requests only. A head that never
    ends, and a caller that no longer reads, would hold a connection for good.
    """

    def __init__(self, *args: Any, limits: ConnectionLimits, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._limits = limits
        self._head_timer: asyncio.TimerHandle | None = None
        self._write_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the time limit of the first head."""
        super().connection_made(transport)
        if len(self.connections) > self._limits.max_connections:
            self._refuse(503, RefusalReason.OVERLOADED, "too many connections")
            return
        self._start_head_timer()

    def data_received(self, data: bytes) -> None:
        """Take bytes; a head has to be complete within its time limit."""
        super().data_received(data)
        self._watch_head()

    def on_response_complete(self) -> None:
        """Go on to the next request, whose head may have begun to arrive."""
        super().on_response_complete()
        self._watch_head()

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

    def send_400_response(self, msg: str) -> None:
        """Answer a head or a body that is not HTTP; no such request has run."""
        self._refuse(400, RefusalReason.INVALID_REQUEST, msg)

    def _watch_head(self) -> None:
        pending, _ = self.conn.trailing_data
        if self.conn.their_state is not h11.IDLE or not pending:
            self._stop_head_timer()
        elif self._head_timer is None and not self.transport.is_closing():
            self._start_head_timer()

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

    def _refuse_slow_head(self) -> None:
        message = f"the head did not arrive within {self._limits.head_timeout} ms"
        self._refuse(408, RefusalReason.TOO_SLOW, message)

    def _refuse(self, status: int, reason: RefusalReason, message: str) -> None:
        self._stop_head_timer()
        if self.conn.our_state in _OPEN_STATES:
            refusal = Refusal(reason=reason, verdict=Verdict.NOT_RUN, message=message)
            body = encode_refusal(refusal)
            headers = [
                (b"content-type", b"application/json"),
                (b"content-length", str(len(body)).encode()),
                (b"connection", b"close"),
            ]
            for event in (
                h11.Response(status_code=status, headers=headers),
                h11.Data(data=body),
                h11.EndOfMessage(),
            ):
                self.transport.write(self.conn.send(event) or b"")
        self.transport.close()
