"""
Endpoints that crash under one request, which comes again at any instance.

Guards against the request crashing one endpoint after the other, against one try of a
caller that ends a whole small service, and against refusing sound requests that share
two of its path, caller and body.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

import pytest

from fuchsiaroute.http1 import InboundRequest, Responder, find_header
from fuchsiaroute.platform.tests.node_harness import (
    CONFIGURATION,
    Caller,
    NodeHarness,
    Reply,
    cluster,
)
from fuchsiaroute.platform.tests.standin import (
    STREAM_PATHS,
    Endpoint,
    Store,
    StoreView,
    complete,
    events,
)

#: Crashes that the rule allows before the request must stay away, and sends of it that
#: may reach endpoints afterwards, from ``CONTACT_S`` after the last of these crashes.
ALLOWED_CRASHES, ALLOWED_LATER = 3, 3
CONTACT_S = 3.0
RESTART_S = 1.0
RUN_S = 0.04
ROUND_TRIP_S = 0.006
#: Share of the sound requests to be answered from then on.
SERVED_SHARE = 0.95
TENANTS = [
    {"Name": "org", "ApiKeys": ["key", "second"], "Priority": 1},
    {"Name": "other", "ApiKeys": ["other"], "Priority": 1},
]
TWO_CALLERS = {**CONFIGURATION, "Tenants": TENANTS}


@dataclass(frozen=True)
class Sent:
    """What identifies a request: path, caller and body."""

    path: str = "/read/a"
    key: str = "key"
    body: bytes = b"bad"


CRASHING = Sent()


def sound_beside(request: Sent) -> list[Sent]:
    """Return sound requests that each share two properties with ``request``."""
    return [
        Sent(request.path + "b", request.key, request.body),
        Sent(request.path, "other", request.body),
        Sent(request.path, request.key, b"good"),
    ]


class CrashingEndpoint(Endpoint):
    """Ends with all its connections while it runs the crashing request."""

    def __init__(self, crashing: Sent = CRASHING, *, events_before: int = 0) -> None:
        super().__init__(self._answer)
        self.crashed_at: list[float] = []
        #: Times at which the crashing request arrived.
        self.arrivals: list[float] = []
        self._crashing = crashing
        self._events_before = events_before
        self._restart: asyncio.Task[None] | None = None

    async def _answer(
        self, endpoint: Endpoint, request: InboundRequest, responder: Responder
    ) -> None:
        if not self._is_crashing(request):
            await asyncio.sleep(RUN_S)
            is_stream = request.path.startswith(STREAM_PATHS)
            await (events(3) if is_stream else complete)(endpoint, request, responder)
            return
        self.arrivals.append(asyncio.get_running_loop().time())
        if self._events_before:
            responder.start(200, self.headers(request))
            for number in range(self._events_before):
                responder.write(b"id: %d\ndata: x\n\n" % (number + 1))
        await asyncio.sleep(RUN_S)
        self.crash()
        await asyncio.Event().wait()

    def crash(self) -> None:
        self.crashed_at.append(asyncio.get_running_loop().time())
        self._restart = asyncio.create_task(self._crash())

    def _is_crashing(self, request: InboundRequest) -> bool:
        crashing = self._crashing
        organisation = "other" if crashing.key == "other" else "org"
        return (
            request.path.decode() == crashing.path
            and find_header(request.headers, b"x-tenant") == organisation.encode()
            and request.body == crashing.body
        )

    async def _crash(self) -> None:
        port = self.port
        self.close()
        await asyncio.sleep(RESTART_S)
        await self.listen(port)


def crash_times(endpoints: Sequence[CrashingEndpoint]) -> list[float]:
    return sorted(at for endpoint in endpoints for at in endpoint.crashed_at)


def arrivals_since(endpoints: Sequence[CrashingEndpoint], start: float) -> int:
    return sum(at >= start for endpoint in endpoints for at in endpoint.arrivals)


class Callers:
    """Callers of some instances in turn."""

    def __init__(self, harnesses: Sequence[NodeHarness]) -> None:
        self.harnesses = harnesses
        self._count = 0

    async def ask(self, sent: Sent) -> Reply:
        self._count += 1
        caller = Caller(self.harnesses[self._count % len(self.harnesses)].frontend)
        try:
            return await caller.ask(
                sent.path, key=sent.key, body=sent.body, request_id=f"q{self._count}"
            )
        finally:
            caller.close()

    async def ask_mixed(
        self, seconds: float, crashing: Sent = CRASHING
    ) -> tuple[list[Reply], list[Reply]]:
        """Repeat the crashing request with sound ones beside it."""
        repeated, sound = [], []
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            first, *others = await asyncio.gather(
                self.ask(crashing), *map(self.ask, sound_beside(crashing) * 2)
            )
            repeated.append(first)
            sound += others
            await asyncio.sleep(0.1)
        return repeated, sound


def served_share(replies: Sequence[Reply]) -> float:
    return sum(reply.status == 200 for reply in replies) / len(replies)


@pytest.mark.parametrize("count", [3, 5])
@pytest.mark.parametrize(
    ("crashing", "events_before"),
    [
        (Sent(), 0),
        (Sent("/write/a"), 0),
        (Sent("/stream/a"), 0),
        (Sent("/stream/a"), 2),
        (Sent("/read/a", body=b""), 0),
    ],
    ids=["read", "write", "stream", "stream-with-events", "empty-body"],
)
async def test_repeated_request_stops_reaching_endpoints(
    count: int, crashing: Sent, events_before: int
) -> None:
    endpoints = [
        CrashingEndpoint(crashing, events_before=events_before) for _ in range(count)
    ]
    async with cluster(3, *endpoints, configuration=TWO_CALLERS) as harnesses:
        callers = Callers(harnesses)
        loop = asyncio.get_running_loop()
        end = loop.time() + 10
        while len(crash_times(endpoints)) < ALLOWED_CRASHES and loop.time() < end:
            await callers.ask_mixed(0.1, crashing)
        third_at = crash_times(endpoints)[ALLOWED_CRASHES - 1]
        await callers.ask_mixed(third_at + CONTACT_S - loop.time(), crashing)
        start = loop.time()
        repeated, sound = await callers.ask_mixed(4, crashing)
        assert arrivals_since(endpoints, start) <= ALLOWED_LATER
        assert {reply.status for reply in repeated[ALLOWED_LATER:]} == {503}
        assert all(
            b"retry-after" in reply.headers for reply in repeated[ALLOWED_LATER:]
        )
        assert served_share(sound) >= SERVED_SHARE


@pytest.mark.parametrize("count", [2, 3, 4])
@pytest.mark.parametrize("path", ["/read/a", "/stream/a"])
async def test_one_try_ends_no_whole_service(count: int, path: str) -> None:
    crashing = Sent(path)
    endpoints = [CrashingEndpoint(crashing) for _ in range(count)]
    async with cluster(3, *endpoints, configuration=TWO_CALLERS) as harnesses:
        callers = Callers(harnesses)
        # The caller's second attempt follows at once, at another instance. It takes
        # a round trip, for which loopback has no time.
        for _ in range(2):
            await callers.ask(crashing)
            await asyncio.sleep(ROUND_TRIP_S)
        assert len(crash_times(endpoints)) < count
        sound = [await callers.ask(sent) for sent in sound_beside(crashing)]
        assert [reply.status for reply in sound] == [200] * 3


@pytest.mark.parametrize("path", ["/read/a", "/stream/a"])
@pytest.mark.parametrize("count", [2, 3])
async def test_only_endpoint_of_a_service_is_kept_from_the_request(
    path: str, count: int
) -> None:
    """Sound requests without an answer between the crashes are not refused for them."""
    crashing = Sent(path)
    endpoint = CrashingEndpoint(crashing)
    async with cluster(count, endpoint, configuration=TWO_CALLERS) as harnesses:
        callers = Callers(harnesses)
        await callers.ask_mixed(10, crashing)
        start = asyncio.get_running_loop().time()
        _, sound = await callers.ask_mixed(3, crashing)
        assert arrivals_since([endpoint], start) == 0
        assert served_share(sound) >= SERVED_SHARE


async def test_other_instances_and_new_processes_know_the_request() -> None:
    endpoints = [CrashingEndpoint() for _ in range(5)]
    store = Store()
    async with NodeHarness(
        *endpoints, store=store, configuration=TWO_CALLERS
    ) as harness:
        await Callers([harness]).ask_mixed(5)
        await asyncio.sleep(RESTART_S)
        before = crash_times(endpoints)
        async with NodeHarness(
            name="b", store=StoreView(store), configuration=TWO_CALLERS
        ) as second:
            await second.until(lambda: len(second.node._parts.pool) == len(endpoints))
            repeated, sound = await Callers([second]).ask_mixed(2)
    async with NodeHarness(
        *endpoints, store=store, configuration=TWO_CALLERS
    ) as harness:
        again, _ = await Callers([harness]).ask_mixed(1)
    assert crash_times(endpoints) == before
    assert {reply.status for reply in repeated + again} == {503}
    assert served_share(sound) >= SERVED_SHARE


async def test_request_is_found_and_kept_away_with_the_store_away() -> None:
    endpoints = [CrashingEndpoint() for _ in range(5)]
    async with NodeHarness(*endpoints, configuration=TWO_CALLERS) as harness:
        harness.store.is_silent = True
        callers = Callers([harness])
        await callers.ask_mixed(5)
        before = crash_times(endpoints)
        repeated, sound = await callers.ask_mixed(2)
        assert crash_times(endpoints) == before
        assert {reply.status for reply in repeated} == {503}
        assert served_share(sound) >= SERVED_SHARE
        harness.store.is_silent = False
        await harness.until(
            lambda: any(table == "quarantine" for table, _ in harness.store.rows)
        )


async def test_crashes_of_other_causes_refuse_no_repeated_request() -> None:
    """Endpoints are killed again and again under copies of a few sound requests."""
    endpoints = [CrashingEndpoint(Sent("/none/")) for _ in range(5)]
    async with cluster(2, *endpoints, configuration=TWO_CALLERS) as harnesses:
        callers = Callers(harnesses)

        async def kill() -> None:
            for number in range(8):
                await asyncio.sleep(0.4)
                endpoints[number % 5].crash()

        killing = asyncio.create_task(kill())
        replies = []
        while not killing.done():
            replies += await asyncio.gather(*map(callers.ask, [Sent()] * 8))
        await killing
        for harness in harnesses:
            assert b"quarantined" not in b"".join(harness.lines)
        assert served_share(replies) >= 0.9
