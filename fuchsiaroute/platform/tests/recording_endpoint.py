"""Endpoints of the soak test, with slots, injected faults and a record of runs."""

import asyncio
from dataclasses import dataclass
from typing import Any

from fuchsiaroute.clock import BootClock, Milliseconds
from fuchsiaroute.http1 import InboundRequest, Responder, find_header
from fuchsiaroute.platform.tests.soak_platform import (
    LONG_STREAMS,
    ORGANISATION,
    POOL,
    RouteKind,
)
from fuchsiaroute.platform.tests.standin import Endpoint

#: Pauses between the events of short and long streams.
_EVENT_INTERVAL_S, _LONG_EVENT_INTERVAL_S = 0.03, 0.1
#: Events a second of a long stream.
LONG_EVENTS_PER_SECOND = 1 / _LONG_EVENT_INTERVAL_S


_FILLER = b"."
#: Bytes of a wrong large answer that are kept.
_MAX_KEPT_BYTES = 200


@dataclass(kw_only=True)
class Run:
    """A request received by an endpoint."""

    request_id: str
    endpoint: str
    service: str
    version: str
    received_at: Milliseconds
    #: None while the request is running.
    ended_at: Milliseconds | None = None
    #: Whether the endpoint rejected the request without running it.
    is_rejected: bool = False
    #: Whether the endpoint closed the connection without a complete answer.
    is_broken_off: bool = False
    #: ``Last-Event-Id`` of the request; 0 without one.
    resumed_after: int = 0
    #: Header fields or body content that the router should not have sent.
    faults: tuple[str, ...] = ()


@dataclass(kw_only=True)
class Behaviour:
    """Fault probabilities of an endpoint, from 0 to 1, and its slowness factor."""

    failing: float = 0.0
    losing_answers: float = 0.0
    cutting: float = 0.0
    garbling: float = 0.0
    slowness: float = 1.0
    #: Writes a refusal of an earlier request once more before an answer.
    repeating: float = 0.0
    #: Whether these refusals name the earlier request.
    names_requests: bool = False


class RecordingEndpoint(Endpoint):
    """An endpoint with slots, service times, faults and a record of its runs."""

    def __init__(
        self, *, service: str, domain: str, version: str, slots: int, random: Any
    ) -> None:
        super().__init__(
            self._answer,
            Service=service,
            Zone=domain,
            Version=version,
            Slots=slots,
        )
        self.service, self.domain, self.version = service, domain, version
        self.behaviour = Behaviour()
        self.runs: list[Run] = []
        #: Time of the first answer that said that the endpoint leaves.
        self.said_leaving_at: Milliseconds | None = None
        self._random = random
        self._clock = BootClock()
        self._slots = slots
        self._active = 0

    async def _answer(
        self, endpoint: Endpoint, request: InboundRequest, responder: Responder
    ) -> None:
        run = self._record(request)
        named = [
            (b"X-Request-Id", find_header(request.headers, b"x-request-id") or b"")
        ]
        if find_header(request.headers, b"x-expect-instance") != self.id.encode():
            run.is_rejected = True
            misdirected = [*named, (b"X-Instance-Id", self.id.encode())]
            responder.send(421, misdirected, b"")
            return
        if self._active >= self._slots:
            run.is_rejected = True
            responder.send(503, [*named, (b"X-Not-Executed", b"1")], b"")
            return
        self._active += 1
        try:
            await self._work(run, request, responder)
        finally:
            self._active -= 1
            run.ended_at = self._clock.now()

    def headers(self, request: InboundRequest) -> list[tuple[bytes, bytes]]:
        if self.is_leaving and self.said_leaving_at is None:
            self.said_leaving_at = self._clock.now()
        return super().headers(request)

    def _record(self, request: InboundRequest) -> Run:
        def text(name: bytes) -> str:
            return (find_header(request.headers, name) or b"").decode()

        faults = []
        if find_header(request.headers, b"x-key") is not None:
            faults.append("the caller's key was forwarded")
        if text(b"x-tenant") != ORGANISATION:
            faults.append(f"organisation {text(b'x-tenant')!r}")
        request_id = text(b"x-request-id")
        if request.body != body_of(request_id):
            faults.append(f"a body of {len(request.body)} bytes is not the caller's")
        if request_id not in request.path.decode():
            faults.append(f"path {request.path!r}")
        timeout = RouteKind.of_path(request.path.decode()).timeout
        if not 0 < int(text(b"x-deadline-ms") or 0) <= timeout:
            faults.append(f"time left {text(b'x-deadline-ms')!r}")
        run = Run(
            request_id=request_id,
            endpoint=self.id,
            service=self.service,
            version=self.version,
            received_at=self._clock.now(),
            resumed_after=int(text(b"last-event-id") or 0),
            faults=tuple(faults),
        )
        self.runs.append(run)
        return run

    async def _work(
        self, run: Run, request: InboundRequest, responder: Responder
    ) -> None:
        behaviour, draw = self.behaviour, self._random.random
        answer = answer_of(run.request_id) + _FILLER * _length_of(request)
        await asyncio.sleep(behaviour.slowness * (0.01 + 0.03 * draw()))
        # Not drawn without the fault, so that the answers of kept seeds stay the same.
        if behaviour.repeating and draw() < behaviour.repeating:
            responder._transport.write(_refusal(behaviour.names_requests))
        if draw() < behaviour.losing_answers:
            run.is_broken_off = True
            responder.abort()
        elif draw() < behaviour.failing:
            responder.send(500, self.headers(request), b"failed")
        elif self.service == POOL:
            await self._stream(run, request, responder)
        elif draw() < behaviour.garbling:
            # Unsolicited bytes follow the complete response.
            responder.send(200, self.headers(request), answer)
            responder._transport.write(b"HTTP/1.1 200 OK\r\nX-Junk: 1\r\n\r\njunk")
        else:
            responder.send(200, self.headers(request), answer)

    async def _stream(
        self, run: Run, request: InboundRequest, responder: Responder
    ) -> None:
        last = _length_of(request)
        is_long = RouteKind.of_path(request.path.decode()) in LONG_STREAMS
        interval_s = _LONG_EVENT_INTERVAL_S if is_long else _EVENT_INTERVAL_S
        kind = (b"Content-Type", b"text/event-stream")
        responder.start(200, [*self.headers(request), kind])
        for number in range(run.resumed_after + 1, last + 1):
            if self._random.random() < self.behaviour.cutting:
                # The connection ends in the middle of an event.
                responder.write(event_of(run.request_id, number)[:-4])
                await asyncio.sleep(0)
                run.is_broken_off = True
                responder.abort()
                return
            responder.write(event_of(run.request_id, number))
            await asyncio.sleep(self.behaviour.slowness * interval_s)
        responder.finish()


def _refusal(names_request: bool) -> bytes:
    """Return a refusal of a request that arrived earlier on another connection."""
    name = b"X-Request-Id: earlier\r\n" if names_request else b""
    head = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
    return head + name + b"Content-Length: 0\r\n\r\n"


def _length_of(request: InboundRequest) -> int:
    """Return the number of events, or of bytes of filler, that a request asks for."""
    return int(request.path.rpartition(b"/")[2])


def session_fields(session: int | None, request_id: str) -> str:
    """Return header lines of a prompt whose only shared part belongs to a session."""
    if session is None:
        return ""
    prompt = f"5e55{session:04x}:300,{request_id.encode().hex()}:40"
    return f"X-Token-Counts: 340,20\r\nX-Prompt-Prefix: {prompt}\r\n"


def body_of(request_id: str) -> bytes:
    """Return the body of a request."""
    return f"body of {request_id}".encode()


def answer_of(request_id: str) -> bytes:
    """Return the body of a response that is not a stream, without its filler."""
    return f"answer to {request_id}".encode()


def without_filler(body: bytes, filler: int) -> bytes:
    """Return a body without its filler; its beginning if the filler is not whole."""
    head = body.rstrip(_FILLER)
    return head if len(body) - len(head) == filler else body[:_MAX_KEPT_BYTES]


def event_of(request_id: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {request_id}:{number}\n\n".encode()
