"""The platform's side of the soak: its names, and a store and endpoints that fail."""

import asyncio
import json
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from fuchsiaroute.clock import BootClock, Milliseconds
from fuchsiaroute.http1 import InboundRequest, Responder, find_header
from fuchsiaroute.platform.tests.standin import Endpoint, Store
from fuchsiaroute.platform.tests.world import HOST, Caller, Reply

BOUNDS = {
    "ContactMs": 3_000,
    "DrainMs": 2_000,
    "GraceS": 8,
    "ConfigApplyMs": 2_000,
    "EvacuateMs": 5_000,
    "RollbackMs": 5_000,
    "RecoveryS": 12,
    "BudgetRatio": 0.9,
    "BudgetWindowS": 10,
    "BudgetSlack": 56,
    "CanaryShare": 0.15,
    "CanarySlack": 30,
    "ColdOver": 1.5,
    "ColdSlack": 5,
    "SessionS": 5,
    "ttl_max_s": 5,
    "ReuseAfterS": 2,
}
CONTACT = Milliseconds(round(BOUNDS["ContactMs"]))
DRAIN = Milliseconds(round(BOUNDS["DrainMs"]))
GRACE = Milliseconds(round(BOUNDS["GraceS"] * 1_000))
APPLY = Milliseconds(round(BOUNDS["ConfigApplyMs"]))
EVACUATE = Milliseconds(round(BOUNDS["EvacuateMs"]))
RECOVERY = Milliseconds(round(BOUNDS["RecoveryS"] * 1_000))
RETRY_RATIO = BOUNDS["BudgetRatio"]
RETRY_WINDOW = Milliseconds(round(BOUNDS["BudgetWindowS"] * 1_000))
RETRY_SLACK = BOUNDS["BudgetSlack"]
CANARY_SHARE, CANARY_SLACK = BOUNDS["CanaryShare"], BOUNDS["CanarySlack"]
#: Requests a second that a cold endpoint stands, and what all instances may send it.
COLD_RATE = 10.0
COLD_BOUND = COLD_RATE * BOUNDS["ColdOver"] + BOUNDS["ColdSlack"]

KEY, REVOKED_KEY, ORGANISATION = "key", "leaked", "org"
APP, POOL = "app", "pool"
#: Time after which a request has its final answer, by any route here.
TIMEOUT = Milliseconds(3_000)


class Kind(Enum):
    """The routes that traffic uses."""

    READ = "read"
    WRITE = "write"
    #: A stream that may go on at another endpoint.
    STREAM = "stream"
    #: A stream that may not.
    ONCE = "once"

    @property
    def may_repeat(self) -> bool:
        return self in (Kind.READ, Kind.STREAM)

    @property
    def is_stream(self) -> bool:
        return self in (Kind.STREAM, Kind.ONCE)


MOST_ATTEMPTS = {Kind.READ: 3, Kind.WRITE: 2, Kind.STREAM: 3, Kind.ONCE: 2}
_WIRE_KIND = {
    Kind.READ: "idempotent",
    Kind.WRITE: "non_idempotent",
    Kind.STREAM: "streaming",
    Kind.ONCE: "streaming",
}


def path(kind: Kind, request_id: str, events: int) -> str:
    return f"/{kind.value}/{request_id}/{events}"


def added_route(number: int) -> str:
    """Return the name of a route that is declared later."""
    return f"added-{number}"


def _route(name: str, kind: Kind) -> dict[str, object]:
    return {
        "Host": HOST,
        "Name": name,
        "Prefix": f"/{name}/",
        "Kind": _WIRE_KIND[kind],
        "Service": POOL if kind.is_stream else APP,
        "MaxAttempts": MOST_ATTEMPTS[kind],
        "Resumable": kind is Kind.STREAM,
        "TimeoutMs": TIMEOUT,
        "TargetLatencyMs": 400,
        "GapTargetMs": 1_000,
    }


def configuration(
    version: int, *, added: int, has_second_key: bool
) -> dict[str, object]:
    """Return a declaration with ``added`` routes beyond those of ``Kind``."""
    routes = [_route(kind.value, kind) for kind in Kind]
    routes += [_route(added_route(number), Kind.READ) for number in range(added)]
    services = [
        {"Name": name, "MaxConnections": 200, "ColdStartS": 3, "ColdPerS": COLD_RATE}
        for name in (APP, POOL)
    ]
    keys = [KEY, REVOKED_KEY] if has_second_key else [KEY]
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Tenants": [{"Name": ORGANISATION, "ApiKeys": keys}],
    }


def settings_text(
    *,
    name: str,
    domain: str,
    ip: str,
    ports: Mapping[str, int],
    store: str,
    memory: int,
) -> str:
    fields = {
        "NodeName": name,
        "Zone": domain,
        "Region": "r",
        "Ip": ip,
        "Listen.Frontend": f"{ip}:{ports['callers']}",
        "Listen.Readiness": f"{ip}:{ports['control']}",
        "Listen.Directory": f"{ip}:{ports['control']}",
        "PortRange": f"{ports['peers']},{ports['peers']}",
        "Platform.Address": store,
        "Limits.MemoryMb": memory,
        "Limits.MaxFds": 900,
        "HeartbeatMs": 1_200,
        **{f"Bounds.{key}": value for key, value in BOUNDS.items()},
    }
    return "".join(f"{key}={value}\n" for key, value in fields.items())


async def list_addresses(port: int) -> list[str] | None:
    """Ask an instance for its directory; None if it has no answer."""
    reply = await _ask(port, "/api/resolve?Name=front.example&Region=r&Zone=z0")
    return json.loads(reply.body)["Addresses"] if reply.status == 200 else None


async def is_ready(port: int) -> bool:
    return (await _ask(port, "/api/ready")).status == 200


async def _ask(port: int, target: str) -> Reply:
    caller = Caller(port)
    try:
        async with asyncio.timeout(1.0):
            return await caller.ask(target, method="GET", body=b"", key=None)
    finally:
        caller.close()


class StoreMode(Enum):
    """What the store does with calls."""

    SOUND = "sound"
    DOWN = "down"
    SILENT = "silent"
    SLOW = "slow"
    #: Carries a change out and loses the answer.
    LOSES_ANSWERS = "loses-answers"
    #: Loses the answer and carries a change out seconds later, if it still may.
    LATE = "late"


_SLOW_S, _LATE_S = 0.7, 1.5


class FailingStore(Store):
    """The store, in one of several modes; may forget its history."""

    def __init__(self) -> None:
        super().__init__()
        self.mode = StoreMode.SOUND
        self._forgotten_before = 0
        self._late: set[asyncio.Task[None]] = set()

    def forget_history(self) -> None:
        self.counter += 1
        self._forgotten_before = self.counter

    async def handle(self, request: InboundRequest, responder: Responder) -> None:
        is_change = request.path.endswith(b"rows-tx")
        if self.mode is StoreMode.DOWN:
            responder.send(503, [], b"")
        elif self.mode is StoreMode.SILENT:
            await asyncio.Event().wait()
        elif self.mode is StoreMode.LOSES_ANSWERS:
            if is_change:
                await self._change({}, request.body)
            responder.abort()
        elif self.mode is StoreMode.LATE and is_change:
            late = asyncio.create_task(self._change_late(request.body))
            self._late.add(late)
            late.add_done_callback(self._late.discard)
            responder.abort()
        else:
            if self.mode is StoreMode.SLOW:
                await asyncio.sleep(_SLOW_S)
            await super().handle(request, responder)

    async def _change_late(self, body: bytes) -> None:
        await asyncio.sleep(_LATE_S)
        await self._change({}, body)

    async def _feed(
        self, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        if int(query["After"]) < self._forgotten_before:
            return 410, {}
        return await super()._feed(query, body)


@dataclass(kw_only=True)
class Run:
    """A request at an endpoint."""

    request_id: str
    endpoint: str
    service: str
    version: str
    received_at: Milliseconds
    #: None while the endpoint works on it.
    ended_at: Milliseconds | None = None
    #: Rejected before it ran.
    is_rejected: bool = False
    #: The last event that the caller has, by the request.
    resumed_after: int = 0
    #: What the request says that it should not.
    faults: tuple[str, ...] = ()


@dataclass(kw_only=True)
class Behaviour:
    """How a worker answers; strengths from 0 to 1."""

    failing: float = 0.0
    losing_answers: float = 0.0
    cutting: float = 0.0
    garbling: float = 0.0
    slowness: float = 1.0


class Worker(Endpoint):
    """An endpoint with places, service times, faults and a record of its runs."""

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
        self._random = random
        self._clock = BootClock()
        self._slots = slots
        self._active = 0

    async def _answer(
        self, endpoint: Endpoint, request: InboundRequest, responder: Responder
    ) -> None:
        run = self._record(request)
        if find_header(request.headers, b"x-expect-instance") != self.id.encode():
            run.is_rejected = True
            responder.send(421, [(b"X-Instance-Id", self.id.encode())], b"")
            return
        if self._active >= self._slots:
            run.is_rejected = True
            responder.send(503, [(b"X-Not-Executed", b"1")], b"")
            return
        self._active += 1
        try:
            await self._work(run, request, responder)
        finally:
            self._active -= 1
            run.ended_at = self._clock.now()

    def _record(self, request: InboundRequest) -> Run:
        def text(name: bytes) -> str:
            return (find_header(request.headers, name) or b"").decode()

        faults = []
        if find_header(request.headers, b"x-key") is not None:
            faults.append("the caller's key was passed on")
        if text(b"x-tenant") != ORGANISATION:
            faults.append(f"organisation {text(b'x-tenant')!r}")
        request_id = text(b"x-request-id")
        if request.body != body_of(request_id):
            faults.append(f"a body of {len(request.body)} bytes is not the caller's")
        if request_id not in request.path.decode():
            faults.append(f"path {request.path!r}")
        if not 0 < int(text(b"x-deadline-ms") or 0) <= TIMEOUT:
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
        await asyncio.sleep(behaviour.slowness * (0.01 + 0.03 * draw()))
        if draw() < behaviour.losing_answers:
            responder.abort()
        elif draw() < behaviour.failing:
            responder.send(500, self.headers(request), b"failed")
        elif self.service == POOL:
            await self._stream(run, request, responder)
        elif draw() < behaviour.garbling:
            # Bytes that belong to no request follow the whole response.
            responder.send(200, self.headers(request), answer_of(run.request_id))
            responder._transport.write(b"HTTP/1.1 200 OK\r\nX-Junk: 1\r\n\r\njunk")
        else:
            responder.send(200, self.headers(request), answer_of(run.request_id))

    async def _stream(
        self, run: Run, request: InboundRequest, responder: Responder
    ) -> None:
        last = int(request.path.rpartition(b"/")[2])
        kind = (b"Content-Type", b"text/event-stream")
        responder.start(200, [*self.headers(request), kind])
        for number in range(run.resumed_after + 1, last + 1):
            if self._random.random() < self.behaviour.cutting:
                # Breaks off in the middle of an event.
                responder.write(event_of(run.request_id, number)[:-4])
                await asyncio.sleep(0)
                responder.abort()
                return
            responder.write(event_of(run.request_id, number))
            await asyncio.sleep(self.behaviour.slowness * 0.03)
        responder.finish()


def session_fields(session: int | None, request_id: str) -> str:
    """Return the header lines of a prompt whose last shared part is a session's."""
    if session is None:
        return ""
    prompt = f"5e55{session:04x}:300,{request_id.encode().hex()}:40"
    return f"X-Token-Counts: 340,20\r\nX-Prompt-Prefix: {prompt}\r\n"


def body_of(request_id: str) -> bytes:
    """Return the body that a caller sends."""
    return f"body of {request_id}".encode()


def answer_of(request_id: str) -> bytes:
    """Return the body of a response that is no stream."""
    return f"answer to {request_id}".encode()


def event_of(request_id: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {request_id}:{number}\n\n".encode()
