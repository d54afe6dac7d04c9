"""Waiting, order of starts and refusals of the request queue."""

import asyncio
from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.ids import (
    EndpointId,
    InstanceId,
    OrganisationId,
    ProductId,
    RequestClass,
    RequestId,
    VersionId,
)
from fuchsiaroute.lifecycle import Outcome
from fuchsiaroute.permits import NamedRates, PermitHolder
from fuchsiaroute.pool import (
    Demand,
    EndpointPool,
    NoChoice,
    QueueRefusal,
    RequestQueue,
    Reservation,
    SendGate,
)
from fuchsiaroute.pool.tests.test_pool import DEMAND, SERVICE, endpoint, service
from fuchsiaroute.request import Request

MAX_WAIT = Milliseconds(1_000)


def request(organisation: str = "o") -> Request:
    return Request(
        id=RequestId("q"),
        organisation=OrganisationId(organisation),
        product=ProductId("p"),
        request_class=RequestClass("c"),
        deadline=Milliseconds(0),
    )


class QueueHarness:
    """A queue in front of one endpoint with two slots."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.pool = EndpointPool(
            instance=InstanceId("me"), clock=self.clock, random=Random(1)
        )
        self.pool.update_services({SERVICE: service(is_engine=True)})
        self.pool.announce(endpoint("a", slots=2))
        self.queue = RequestQueue(self.pool, clock=self.clock, random=Random(1))
        self.order: list[str] = []

    async def enter(
        self,
        name: str = "",
        *,
        organisation: str = "o",
        priority: int = 5,
        deprioritise_after: Milliseconds = MAX_WAIT,
    ) -> Reservation | QueueRefusal:
        reservation_or_refusal = await self.queue.reserve(
            request(organisation),
            DEMAND,
            priority=priority,
            max_wait=MAX_WAIT,
            deprioritise_after=deprioritise_after,
        )
        self.order.append(name)
        return reservation_or_refusal

    async def fill(self, organisation: str = "o") -> list[Reservation]:
        reservations = [await self.enter(organisation=organisation) for _ in range(2)]
        self.order.clear()
        assert all(isinstance(reservation, Reservation) for reservation in reservations)
        return reservations  # type: ignore[return-value]


async def run_pending_tasks() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


async def test_urgent_requests_start_first() -> None:
    harness = QueueHarness()
    reservations = await harness.fill()
    tasks = [
        asyncio.create_task(harness.enter(name, priority=priority))
        for name, priority in (("late", 7), ("urgent", 0), ("normal", 5))
    ]
    await run_pending_tasks()
    reservations[0].finish(Outcome.ANSWERED)
    harness.queue.wake()
    await run_pending_tasks()
    assert harness.order == ["urgent"]
    reservations[1].finish(Outcome.ANSWERED)
    harness.queue.wake()
    await run_pending_tasks()
    assert harness.order == ["urgent", "normal"]
    for task in tasks:
        task.cancel()


async def test_flood_of_one_organisation_does_not_delay_another() -> None:
    """One organisation sends many times its usual number of requests."""
    harness = QueueHarness()
    reservations = await harness.fill("large")
    tasks = [
        asyncio.create_task(harness.enter(f"large-{n}", organisation="large"))
        for n in range(5)
    ]
    await run_pending_tasks()
    tasks.append(asyncio.create_task(harness.enter("small", organisation="small")))
    await run_pending_tasks()
    reservations[0].finish(Outcome.ANSWERED)
    harness.queue.wake()
    await run_pending_tasks()
    assert harness.order == ["small"]
    for task in tasks:
        task.cancel()


async def test_request_that_waits_too_long_is_refused_with_retry_after() -> None:
    harness = QueueHarness()
    await harness.fill()
    task = asyncio.create_task(harness.enter())
    await run_pending_tasks()
    harness.clock.tick(Milliseconds(MAX_WAIT + 1))
    harness.queue.wake()
    refusal = await task
    assert isinstance(refusal, QueueRefusal)
    assert refusal.reason is NoChoice.FULL
    assert refusal.retry_after > 0


async def test_request_to_a_service_without_endpoints_does_not_wait() -> None:
    harness = QueueHarness()
    harness.pool.withdraw(endpoint("a").id)
    refusal = await harness.enter()
    assert isinstance(refusal, QueueRefusal)
    assert refusal.reason is NoChoice.NONE


async def test_reservation_of_a_cancelled_waiter_is_released() -> None:
    harness = QueueHarness()
    reservations = await harness.fill()
    task = asyncio.create_task(harness.enter())
    await run_pending_tasks()
    reservations[0].finish(Outcome.ANSWERED)
    harness.queue.wake()
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert harness.queue.waiting == 0
    assert isinstance(await harness.enter(), Reservation)


async def test_released_capacity_goes_to_the_next_waiter_at_once() -> None:
    """All capacity is in use, and a request waits for the first reservation to end."""
    harness = QueueHarness()
    reservations = await harness.fill()
    task = asyncio.create_task(harness.enter("next"))
    await run_pending_tasks()
    reservations[0].finish(Outcome.ANSWERED)
    await run_pending_tasks()
    assert harness.order == ["next"]
    assert isinstance(await task, Reservation)


async def test_late_requests_start_after_those_that_can_be_in_time() -> None:
    """After a burst with endpoints lost, not all requests can be answered in time."""
    harness = QueueHarness()
    reservations = await harness.fill()
    tasks = [
        asyncio.create_task(
            harness.enter("late", priority=0, deprioritise_after=Milliseconds(100))
        ),
        asyncio.create_task(harness.enter("fresh", priority=5)),
    ]
    await run_pending_tasks()
    harness.clock.tick(Milliseconds(200))
    reservations[0].finish(Outcome.ANSWERED)
    harness.queue.wake()
    await run_pending_tasks()
    assert harness.order == ["fresh"]
    reservations[1].finish(Outcome.ANSWERED)
    harness.queue.wake()
    await run_pending_tasks()
    assert harness.order == ["fresh", "late"]
    for task in tasks:
        assert isinstance(await task, Reservation)


async def test_requests_for_a_full_version_do_not_block_another_version() -> None:
    """
    Requests for different versions wait in separate queues.

    In one queue, requests for a version whose endpoints are full would block those
    for a version with capacity.
    """
    harness = QueueHarness()
    await harness.fill()
    harness.pool.announce(endpoint("b", version=VersionId("v2"), slots=1))
    old = replace(DEMAND, versions=frozenset({VersionId("v1")}))
    new = replace(DEMAND, versions=frozenset({VersionId("v2")}))

    async def enter(demand: Demand) -> Reservation | QueueRefusal:
        return await harness.queue.reserve(
            request(),
            demand,
            priority=5,
            max_wait=MAX_WAIT,
            deprioritise_after=MAX_WAIT,
        )

    waiting = asyncio.create_task(enter(old))
    await run_pending_tasks()
    assert isinstance(await enter(new), Reservation)
    assert not waiting.done()
    waiting.cancel()


async def test_no_session_starves_beside_a_hot_session() -> None:
    """
    One of many sessions sends most requests while capacity is short.

    Three quarters of all requests belong to one session, whose prompt one endpoint
    has cached; half of all requests can be served.
    """
    harness = QueueHarness()
    harness.pool.announce(endpoint("b", slots=2))
    served: Counter[str] = Counter()
    sent: Counter[str] = Counter()
    random = Random(1)

    async def send(session: str) -> None:
        sent[session] += 1
        demand = replace(DEMAND, affinity=session)
        reservation_or_refusal = await harness.queue.reserve(
            request(),
            demand,
            priority=5,
            max_wait=MAX_WAIT,
            deprioritise_after=MAX_WAIT,
        )
        if isinstance(reservation_or_refusal, Reservation):
            served[session] += 1
            await harness.clock.sleep(Milliseconds(100))
            reservation_or_refusal.finish(Outcome.ANSWERED)

    tasks = []
    for _ in range(400):
        for _ in range(2):
            hot = random.random() < 0.75
            session = "hot" if hot else f"s{random.randrange(20)}"
            tasks.append(asyncio.create_task(send(session)))
        await harness.clock.advance(Milliseconds(25))
        harness.queue.wake()
    await harness.clock.advance(Milliseconds(2_000))
    harness.queue.wake()
    await run_pending_tasks()
    assert all(task.done() for task in tasks)
    overall = served.total() / sent.total()
    assert 0.3 < overall < 0.7
    shares = {session: served[session] / sent[session] for session in sent}
    assert min(shares.values()) > overall / 4, shares


async def test_request_is_refused_at_once_while_all_endpoints_are_paused() -> None:
    """Load pattern: every endpoint asks for a pause that no caller can wait for."""
    harness = QueueHarness()
    harness.pool.pause(EndpointId("a"), 1, Milliseconds(5_000))
    refusals = [await harness.enter() for _ in range(20)]
    delays = set()
    for refusal in refusals:
        assert isinstance(refusal, QueueRefusal)
        assert refusal.reason is NoChoice.PAUSED
        delays.add(refusal.retry_after)
    assert min(delays) >= 5_000
    assert max(delays) <= 7_500
    assert len(delays) > 10


async def test_request_waits_for_a_pause_that_ends_in_time() -> None:
    harness = QueueHarness()
    harness.pool.pause(EndpointId("a"), 1, Milliseconds(400))
    entering = asyncio.create_task(harness.enter())
    await run_pending_tasks()
    assert not entering.done()
    harness.clock.tick(Milliseconds(400))
    harness.queue.wake()
    assert isinstance(await entering, Reservation)


async def test_waiting_request_is_refused_as_soon_as_all_endpoints_are_paused() -> None:
    harness = QueueHarness()
    held = await harness.fill()
    waiting = asyncio.create_task(harness.enter())
    await run_pending_tasks()
    harness.pool.pause(EndpointId("a"), 1, Milliseconds(9_000))
    newcomer = await harness.enter()
    for reservation in held:
        reservation.finish(Outcome.ANSWERED)
    await run_pending_tasks()
    for refusal in (newcomer, await waiting):
        assert isinstance(refusal, QueueRefusal)
        assert refusal.reason is NoChoice.PAUSED
        assert refusal.retry_after >= 9_000


async def test_request_beyond_a_named_rate_is_refused_at_once() -> None:
    """Guards against requests that wait for a permit that comes too late for them."""
    harness = RatedQueueHarness()
    for wait, reason in ((400, None), (1_500, NoChoice.RATE_LIMITED)):
        harness.permits.expect(EndpointId("a"), Milliseconds(wait), sharers=3)
        task = asyncio.ensure_future(
            harness.queue.reserve(
                request(),
                DEMAND,
                priority=5,
                max_wait=MAX_WAIT,
                deprioritise_after=MAX_WAIT,
            )
        )
        await asyncio.sleep(0)
        assert task.done() is (reason is not None)
        if reason is not None:
            refusal = task.result()
            assert isinstance(refusal, QueueRefusal)
            assert (refusal.reason, refusal.retry_after >= wait) == (reason, True)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def test_permit_starts_one_waiting_request() -> None:
    harness = RatedQueueHarness()
    tasks = [
        asyncio.ensure_future(
            harness.queue.reserve(
                request(),
                DEMAND,
                priority=5,
                max_wait=MAX_WAIT,
                deprioritise_after=MAX_WAIT,
            )
        )
        for _ in range(2)
    ]
    await asyncio.sleep(0)
    harness.permits.receive(EndpointId("a"))
    harness.queue.wake()
    await asyncio.sleep(0)
    assert [task.done() for task in tasks] == [True, False]
    reservation = tasks[0].result()
    assert isinstance(reservation, Reservation)
    # It was not sent, so that the permit serves the next request.
    reservation.revoke()
    harness.queue.wake()
    await asyncio.sleep(0)
    assert tasks[1].done()


class RatedQueueHarness:
    """A queue in front of one endpoint that names a rate."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        rates = NamedRates(clock=self.clock)
        self.permits = PermitHolder(rates=rates, clock=self.clock)
        pool = EndpointPool(
            instance=InstanceId("me"),
            clock=self.clock,
            random=Random(1),
            gate=SendGate(clock=self.clock, permits=self.permits),
        )
        pool.update_services({SERVICE: service(is_engine=True)})
        pool.announce(endpoint("a", slots=8))
        rates.record(endpoint("a", slots=8), 2.0)
        self.queue = RequestQueue(pool, clock=self.clock, random=Random(1))
