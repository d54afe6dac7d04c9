"""Instances that are cut from all endpoints serve requests over their peers."""

import asyncio
import json
from collections import Counter
from dataclasses import dataclass

import pytest

from fuchsiaroute.http1 import InboundRequest, Responder, find_header
from fuchsiaroute.ids import ServiceId
from fuchsiaroute.platform.tests.cut_paths import CutKind, cut_paths
from fuchsiaroute.platform.tests.node_harness import (
    CONFIGURATION,
    ROUTES,
    Caller,
    NodeHarness,
    cluster,
)
from fuchsiaroute.platform.tests.standin import STREAM_PATHS, Endpoint, events

PATHS = ("/read/", "/write/", "/stream/", "/once/")
#: Routes whose requests run at most once.
ONCE_PATHS = ("/write/", "/once/")
#: The platform's ``ContactMs``: from then on requests must be served.
CONTACT_S = 3.0
CUT_S = 4.5
#: Time without requests in which connections become too old to be used again.
QUIET_S = 2.5
#: Time after the end of the cut within which the direct path is used again.
RESTORE_S = 1.0
PAUSE_S = 0.015
MIN_LATE = 100
#: Longer than a stopping instance without requests waits.
ANSWER_S = 4.0
SLOW_CONFIGURATION = {
    **CONFIGURATION,
    "Routes": [{**route, "TimeoutMs": 9_000} for route in ROUTES],
}
EVENTS = 3


@dataclass(frozen=True)
class Sent:
    """A request and what its caller got."""

    path: str
    request_id: str
    sent_at: float
    instance: int
    #: 0 without an answer.
    status: int
    is_whole: bool

    @property
    def says_not_run(self) -> bool:
        return self.status == 503

    @property
    def is_served(self) -> bool:
        return self.status == 200 and self.is_whole


class Recorder(Endpoint):
    """Records which requests it ran."""

    def __init__(self) -> None:
        super().__init__(self._run)
        self.ran: list[str] = []

    async def _run(
        self, endpoint: Endpoint, request: InboundRequest, responder: Responder
    ) -> None:
        name = find_header(request.headers, b"x-request-id") or b""
        self.ran.append(name.decode())
        await asyncio.sleep(0.02)
        if request.path.startswith(STREAM_PATHS):
            await events(EVENTS, pause_s=0.01)(endpoint, request, responder)
        else:
            responder.send(200, self.headers(request), b"done")


def _now() -> float:
    return asyncio.get_running_loop().time()


class Traffic:
    """Sends requests of all routes to all instances in turns."""

    def __init__(self, harnesses: list[NodeHarness]) -> None:
        self._harnesses = harnesses
        self._tasks: list[asyncio.Task[Sent]] = []

    async def run(self, seconds: float) -> None:
        # The number of requests does not depend on how busy the machine is.
        start = _now()
        for sent in range(round(seconds / PAUSE_S)):
            number = len(self._tasks)
            instance = number % len(self._harnesses)
            path = PATHS[number // len(self._harnesses) % len(PATHS)]
            task = asyncio.create_task(self._ask(instance, path, f"{number:06x}"))
            self._tasks.append(task)
            due = start + (sent + 1) * PAUSE_S
            await asyncio.sleep(max(due - _now(), 0))

    async def all_sent(self) -> list[Sent]:
        return await asyncio.gather(*self._tasks)

    async def _ask(self, instance: int, path: str, request_id: str) -> Sent:
        sent_at = _now()
        caller = Caller(self._harnesses[instance].frontend)
        status, is_whole = 0, False
        try:
            reply = await caller.ask(path + request_id, request_id=request_id)
        except (OSError, EOFError):
            pass
        else:
            status, is_whole = reply.status, reply.is_whole
            if status == 200 and path.encode() in STREAM_PATHS:
                is_whole = is_whole and reply.body.count(b"data:") == EVENTS
        finally:
            caller.close()
        return Sent(
            path=path,
            request_id=request_id,
            sent_at=sent_at,
            instance=instance,
            status=status,
            is_whole=is_whole,
        )


# Guards against an instance that refuses all requests while it alone, or together with
# others, has no path to any endpoint.
@pytest.mark.parametrize("cut_count", [1, 2])
@pytest.mark.parametrize(
    ("kind", "quiet_s"),
    [
        (CutKind.HANG, 0.0),
        (CutKind.REFUSED, 0.0),
        (CutKind.HANG, QUIET_S),
        (CutKind.KEPT, QUIET_S),
    ],
)
async def test_partitioned_instance_serves_requests_over_peers(
    kind: CutKind, quiet_s: float, cut_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    await _check_cut(kind, quiet_s, 3, cut_count, monkeypatch)


# The same, where most peers that an instance may ask are cut at the same moment.
@pytest.mark.parametrize("kind", [CutKind.HANG, CutKind.REFUSED])
async def test_most_instances_are_partitioned_at_once(
    kind: CutKind, monkeypatch: pytest.MonkeyPatch
) -> None:
    await _check_cut(kind, 0.0, 6, 4, monkeypatch)


async def _check_cut(
    kind: CutKind,
    quiet_s: float,
    count: int,
    cut_count: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    endpoints = [Recorder() for _ in range(3)]
    async with cluster(count, *endpoints) as harnesses:
        ports = {item.port for item in endpoints}
        with cut_paths(monkeypatch, ports) as paths:
            traffic = Traffic(harnesses)
            await traffic.run(1.0)
            names = [harness.name for harness in harnesses[:cut_count]]
            paths.cut(kind, *names)
            cut_at = _now()
            await traffic.run(CONTACT_S - quiet_s)
            await asyncio.sleep(quiet_s)
            await traffic.run(CUT_S - CONTACT_S)
            failed = dict(paths.failed)
            paths.end()
            ended_at = _now()
            await traffic.run(RESTORE_S)
            established = dict(paths.established)
            await traffic.run(0.5)
            sent = await traffic.all_sent()
    ran = Counter(name for endpoint in endpoints for name in endpoint.ran)
    late = [
        item
        for item in sent
        if cut_at + CONTACT_S <= item.sent_at < ended_at
        or item.sent_at >= ended_at + RESTORE_S
    ]
    assert len(late) >= MIN_LATE
    unserved = [item for item in late if not item.is_served]
    assert not unserved
    assert not [
        item for item in sent if item.path in ONCE_PATHS and ran[item.request_id] > 1
    ]
    # A refusal that promises that the request has not run is true.
    assert not [item for item in sent if item.says_not_run and ran[item.request_id]]
    # The cut is no evidence of crashes.
    for harness in harnesses:
        assert b"endpoint:crashed" not in b"".join(harness.lines)
    for harness in harnesses[cut_count:]:
        parts = harness.node._parts
        assert not [name for name, _ in parts.counters.counts if name == "tunnels"]
    for name in names:
        assert failed[name] > 0
        # The direct path is used again.
        assert established[name] > 0
        assert paths.established[name] >= established[name]


class Slow(Endpoint):
    """Answers after ``ANSWER_S``."""

    def __init__(self) -> None:
        super().__init__(self._answer)

    async def _answer(
        self, endpoint: Endpoint, request: InboundRequest, responder: Responder
    ) -> None:
        await asyncio.sleep(ANSWER_S)
        responder.send(200, self.headers(request), b"done")


@pytest.mark.parametrize("stopping", [0, 1])
async def test_instances_stop_after_requests_over_peers(
    stopping: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    endpoint = Slow()
    async with cluster(2, endpoint, configuration=SLOW_CONFIGURATION) as harnesses:
        with cut_paths(monkeypatch, {endpoint.port}) as paths:
            paths.cut(CutKind.HANG, harnesses[0].name)
            caller = harnesses[0].caller()
            await caller.send("/write/x", deadline=9_000)
            await harnesses[0].until(lambda: len(endpoint.requests) == 1)
            carried = harnesses[1].node._parts.tunnels
            assert carried.active == 1
            node = harnesses[stopping].node
            node._stop.set()
            reply = await caller.receive()
            assert (reply.status, reply.body) == (200, b"done")
            await harnesses[stopping].until(harnesses[stopping].node_task.done)
    stopped = [
        json.loads(line)
        for line in b"".join(harnesses[stopping].lines).splitlines()
        if b"process:stopped" in line
    ]
    assert [item["cut_off"] for item in stopped] == [0]


async def test_end_of_a_peer_is_no_failure_of_the_endpoint(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    endpoints = [Slow(), Slow()]
    async with cluster(3, *endpoints, configuration=SLOW_CONFIGURATION) as harnesses:
        ports = {endpoint.port for endpoint in endpoints}
        with cut_paths(monkeypatch, ports) as paths:
            paths.cut(CutKind.REFUSED, harnesses[0].name)
            callers = [harnesses[0].caller() for _ in range(6)]
            for number, caller in enumerate(callers):
                await caller.send(
                    f"/write/{number}", request_id=f"{number:x}", deadline=9_000
                )
            await harnesses[0].until(
                lambda: sum(len(item.requests) for item in endpoints) == len(callers)
            )
            for harness in harnesses[1:]:
                harness.node._parts.tunnels.close()
            replies = [await caller.receive() for caller in callers]
            assert {reply.status for reply in replies} == {502}
            pool = harnesses[0].node._parts.pool
            assert all(member.is_usable for member in pool.members(ServiceId("app")))
    assert sum(len(item.requests) for item in endpoints) == len(callers)
    assert b"endpoint:crashed" not in b"".join(harnesses[0].lines)


async def test_instances_without_a_port_for_tunnels_serve_and_refuse_as_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    endpoint = Recorder()
    async with cluster(2, endpoint, has_tunnel_port=False) as harnesses:
        first, second = harnesses
        assert b"tunnel:not-listening" in b"".join(first.lines)
        with cut_paths(monkeypatch, {endpoint.port}) as paths:
            paths.cut(CutKind.REFUSED, first.name)
            refused = await first.caller().ask("/write/x", request_id="a")
            served = await second.caller().ask("/write/x", request_id="b")
    assert (refused.status, served.status) == (503, 200)
    assert endpoint.ran == ["b"]
