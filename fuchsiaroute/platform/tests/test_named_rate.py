"""
Endpoints that name the requests a second that they take from all instances together.

Guards against instances that each send as many as they like, in whichever way a request
leaves, and against refusing what an endpoint could have taken.
"""

import asyncio
import itertools
from collections import Counter
from collections.abc import Sequence

import pytest

from fuchsiaroute.http1 import InboundRequest, Responder
from fuchsiaroute.platform.tests.node_harness import (
    Caller,
    NodeHarness,
    Reply,
    cluster,
)
from fuchsiaroute.platform.tests.standin import (
    Answer,
    Endpoint,
    complete,
    events,
    fail,
)

RATE = 2.0
#: The rule: half as much again as the rate and 5 requests in any span of this length,
#: from ``CONTACT_S`` after the rate was first named.
SPAN_S = 4.0
ALLOWED = 1.5 * SPAN_S * RATE + 5
CONTACT_S = 3.0
#: Share of the named rate that has to be used while callers ask for more.
USED_SHARE = 0.7


class RatedEndpoint(Endpoint):
    """Names a rate from its first answer on and records when requests arrive."""

    def __init__(self, answer: Answer = complete, **announced: object) -> None:
        super().__init__(answer, **announced)
        self.named_rate = str(RATE)
        self.arrivals: list[float] = []

    async def handle(self, request: InboundRequest, responder: Responder) -> None:
        self.arrivals.append(asyncio.get_running_loop().time())
        await super().handle(request, responder)

    def most_in_span(self) -> int:
        """Return the most requests within ``SPAN_S``, after the time to react."""
        counted = [at for at in self.arrivals if at >= self.arrivals[0] + CONTACT_S]
        return max(
            (sum(start <= at < start + SPAN_S for at in counted) for start in counted),
            default=0,
        )

    def rate_since(self, start: float) -> float:
        now = asyncio.get_running_loop().time()
        return sum(at >= start for at in self.arrivals) / (now - start)


class Load:
    """Callers that ask some instances in turn, whatever the answers are."""

    def __init__(
        self, harnesses: Sequence[NodeHarness], *, path: str = "/read/"
    ) -> None:
        self.harnesses = list(harnesses)
        self.replies: list[Reply] = []
        self.durations: list[float] = []
        self._path = path
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float, *, per_second: float = 20.0) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            number = next(self._numbers)
            harness = self.harnesses[number % len(self.harnesses)]
            task = asyncio.create_task(self._ask(harness, number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / per_second)
        await asyncio.gather(*self._tasks)

    def statuses(self) -> Counter[int]:
        return Counter(reply.status for reply in self.replies)

    async def _ask(self, harness: NodeHarness, number: int) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        caller = Caller(harness.frontend)
        try:
            reply = await caller.ask(
                self._path, request_id=f"q{number}", extra="X-Model: *\r\n"
            )
        finally:
            caller.close()
        self.replies.append(reply)
        self.durations.append(loop.time() - started_at)


async def rejecting(
    endpoint: Endpoint, request: InboundRequest, responder: Responder
) -> None:
    """Reject the request without running it, and name the rate."""
    headers = [*endpoint.headers(request), (b"X-Not-Executed", b"1")]
    responder.send(503, headers, b"")


async def test_rate_of_the_only_endpoint_is_kept_and_used() -> None:
    endpoint = RatedEndpoint()
    async with cluster(3, endpoint) as harnesses:
        load = Load(harnesses)
        await load.run(CONTACT_S)
        start = asyncio.get_running_loop().time()
        await load.run(SPAN_S + 2)
        assert endpoint.most_in_span() <= ALLOWED
        assert endpoint.rate_since(start) >= USED_SHARE * RATE
    assert set(load.statuses()) == {200, 503}
    refused = [reply for reply in load.replies if reply.status == 503]
    assert all(b"retry-after" in reply.headers for reply in refused)
    refusal_times = [
        took
        for reply, took in zip(load.replies, load.durations, strict=True)
        if reply.status == 503
    ]
    assert sum(refusal_times) / len(refusal_times) < 0.2


@pytest.mark.parametrize("number", [0, 1, 2])
async def test_rate_is_used_where_all_requests_arrive(number: int) -> None:
    endpoint = RatedEndpoint()
    async with cluster(3, endpoint) as harnesses:
        load = Load([harnesses[number]])
        await load.run(CONTACT_S)
        start = asyncio.get_running_loop().time()
        await load.run(SPAN_S)
        assert endpoint.most_in_span() <= ALLOWED
        assert endpoint.rate_since(start) >= USED_SHARE * RATE


@pytest.mark.parametrize(
    ("path", "answer"),
    [("/read/", complete), ("/stream/", events(3)), ("/once/", events(3))],
)
async def test_rates_of_all_endpoints_of_a_service_are_kept_and_used(
    path: str, answer: Answer
) -> None:
    endpoints = [RatedEndpoint(answer) for _ in range(3)]
    async with cluster(3, *endpoints) as harnesses:
        load = Load(harnesses, path=path)
        await load.run(CONTACT_S, per_second=60.0)
        start = asyncio.get_running_loop().time()
        load.replies.clear()
        await load.run(SPAN_S + 1, per_second=60.0)
        for endpoint in endpoints:
            assert endpoint.most_in_span() <= ALLOWED
        used = sum(endpoint.rate_since(start) for endpoint in endpoints)
        assert used >= USED_SHARE * RATE * len(endpoints)
    assert set(load.statuses()) == {200, 503}
    assert load.statuses()[200] >= USED_SHARE * RATE * len(endpoints) * SPAN_S


async def test_excess_goes_to_endpoints_without_a_rate() -> None:
    rated, other = RatedEndpoint(), Endpoint()
    async with cluster(3, rated, other) as harnesses:
        load = Load(harnesses)
        await load.run(CONTACT_S + SPAN_S + 1)
        assert rated.most_in_span() <= ALLOWED
    assert set(load.statuses()) == {200}


@pytest.mark.parametrize(
    ("path", "answer"),
    [
        ("/read/", fail),
        ("/read/", rejecting),
        ("/stream/", events(4, cut_after=1)),
        ("/sized/", events(2, confidence={b"small": 1, b"middle": 1, b"large": 90})),
    ],
    ids=["retry", "rejection", "resumption", "escalation"],
)
async def test_rate_holds_for_every_kind_of_send(path: str, answer: Answer) -> None:
    """Requests get more than one send each, of which the first may be within a rate."""
    endpoints = [RatedEndpoint(answer), RatedEndpoint(answer)]
    async with cluster(3, *endpoints) as harnesses:
        await Load(harnesses, path=path).run(CONTACT_S + SPAN_S + 1)
        for endpoint in endpoints:
            assert endpoint.most_in_span() <= ALLOWED


async def test_rate_holds_while_instances_come_and_go() -> None:
    """Whichever instance decides for the endpoint is among those that go."""
    endpoint = RatedEndpoint()
    async with cluster(3, endpoint) as harnesses:
        load = Load(harnesses)
        await load.run(CONTACT_S)
        for number in (1, 2):
            load.harnesses = [harnesses[0], harnesses[3 - number]]
            stopped = harnesses[number]
            await stopped.__aexit__(None, None, None)
            await load.run(2.0)
            stopped.store = type(stopped.store)(harnesses[0].store)
            await stopped.__aenter__()
            load.harnesses = list(harnesses)
            await load.run(1.5)
        start = asyncio.get_running_loop().time()
        await load.run(SPAN_S)
        assert endpoint.most_in_span() <= ALLOWED
        assert endpoint.rate_since(start) >= USED_SHARE * RATE


@pytest.mark.parametrize("is_named_lower", [False, True])
async def test_rate_ends_when_it_is_no_longer_named(is_named_lower: bool) -> None:
    """Also where the new value becomes known to one instance only at first."""
    endpoint = RatedEndpoint()
    endpoint.named_rate = "1.0" if is_named_lower else str(RATE)
    async with cluster(3, endpoint) as harnesses:
        await Load(harnesses).run(CONTACT_S)
        endpoint.named_rate = None
        await Load(harnesses).run(2.0)
        load = Load(harnesses)
        await load.run(1.0)
    assert set(load.statuses()) == {200}


async def test_endpoint_that_takes_nothing_is_asked_rarely_and_used_again() -> None:
    """At a rate of 0 no answer could tell that the rate has ended."""
    endpoint = RatedEndpoint()
    endpoint.named_rate = "0"
    async with cluster(3, endpoint) as harnesses:
        load = Load(harnesses)
        await load.run(CONTACT_S + SPAN_S)
        assert endpoint.most_in_span() <= 5
        endpoint.named_rate = None
        await load.run(6.0)
        load = Load(harnesses)
        await load.run(1.0)
    assert set(load.statuses()) == {200}
