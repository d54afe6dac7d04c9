"""Who waits for a place, who goes first and who is refused."""

import asyncio
from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.ids import (
    InstanceId,
    OrganisationId,
    ProductId,
    RequestClass,
    RequestId,
    VersionId,
)
from fuchsiaroute.lifecycle import Outcome
from fuchsiaroute.pool import (
    Demand,
    EndpointPool,
    NoChoice,
    QueueRefusal,
    RequestQueue,
    Reservation,
)
from fuchsiaroute.pool.tests.test_pool import DEMAND, SERVICE, endpoint, service
from fuchsiaroute.request import Request

PATIENCE = Milliseconds(1_000)


def request(organisation: str = "o") -> Request:
    return Request(
        id=RequestId("q"),
        organisation=OrganisationId(organisation),
        product=ProductId("p"),
        request_class=RequestClass("c"),
        deadline=Milliseconds(0),
    )


class World:
    """One endpoint with two places, both taken."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.pool = EndpointPool(
            instance=InstanceId("me"), clock=self.clock, random=Random(1)
        )
        self.pool.update_services({SERVICE: service(is_engine=True)})
        self.pool.announce(endpoint("a", slots=2))
        self.gate = RequestQueue(self.pool, clock=self.clock)
        self.order: list[str] = []

    async def enter(
        self,
        name: str = "",
        *,
        organisation: str = "o",
        priority: int = 5,
        deprioritise_after: Milliseconds = PATIENCE,
    ) -> Reservation | QueueRefusal:
        found = await self.gate.reserve(
            request(organisation),
            DEMAND,
            priority=priority,
            max_wait=PATIENCE,
            deprioritise_after=deprioritise_after,
        )
        self.order.append(name)
        return found

    async def fill(self, organisation: str = "o") -> list[Reservation]:
        places = [await self.enter(organisation=organisation) for _ in range(2)]
        self.order.clear()
        assert all(isinstance(place, Reservation) for place in places)
        return places  # type: ignore[return-value]


async def settle() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


async def test_urgent_requests_go_first() -> None:
    world = World()
    places = await world.fill()
    tasks = [
        asyncio.create_task(world.enter(name, priority=priority))
        for name, priority in (("late", 7), ("urgent", 0), ("normal", 5))
    ]
    await settle()
    places[0].finish(Outcome.ANSWERED)
    world.gate.wake()
    await settle()
    assert world.order == ["urgent"]
    places[1].finish(Outcome.ANSWERED)
    world.gate.wake()
    await settle()
    assert world.order == ["urgent", "normal"]
    for task in tasks:
        task.cancel()


async def test_flood_of_one_organisation_does_not_hold_up_another() -> None:
    """Pattern: one organisation sends many times its usual."""
    world = World()
    places = await world.fill("large")
    tasks = [
        asyncio.create_task(world.enter(f"large-{n}", organisation="large"))
        for n in range(5)
    ]
    await settle()
    tasks.append(asyncio.create_task(world.enter("small", organisation="small")))
    await settle()
    places[0].finish(Outcome.ANSWERED)
    world.gate.wake()
    await settle()
    assert world.order == ["small"]
    for task in tasks:
        task.cancel()


async def test_request_that_waits_in_vain_is_refused_with_a_time_to_return() -> None:
    world = World()
    await world.fill()
    task = asyncio.create_task(world.enter())
    await settle()
    world.clock.tick(Milliseconds(PATIENCE + 1))
    world.gate.wake()
    refusal = await task
    assert isinstance(refusal, QueueRefusal)
    assert refusal.reason is NoChoice.FULL
    assert refusal.retry_after > 0


async def test_nothing_waits_for_a_service_without_endpoints() -> None:
    world = World()
    world.pool.withdraw(endpoint("a").id)
    refusal = await world.enter()
    assert isinstance(refusal, QueueRefusal)
    assert refusal.reason is NoChoice.NONE


async def test_place_given_to_a_caller_that_has_gone_is_given_back() -> None:
    world = World()
    places = await world.fill()
    task = asyncio.create_task(world.enter())
    await settle()
    places[0].finish(Outcome.ANSWERED)
    world.gate.wake()
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert world.gate.waiting == 0
    assert isinstance(await world.enter(), Reservation)


async def test_place_that_is_given_back_goes_to_the_next_at_once() -> None:
    """Pattern: every place is taken, and requests wait for the first to end."""
    world = World()
    places = await world.fill()
    task = asyncio.create_task(world.enter("next"))
    await settle()
    places[0].finish(Outcome.ANSWERED)
    await settle()
    assert world.order == ["next"]
    assert isinstance(await task, Reservation)


async def test_late_requests_give_way_to_those_that_can_be_in_time() -> None:
    """Pattern: a burst on top of lost endpoints, so that not all can be in time."""
    world = World()
    places = await world.fill()
    tasks = [
        asyncio.create_task(
            world.enter("late", priority=0, deprioritise_after=Milliseconds(100))
        ),
        asyncio.create_task(world.enter("fresh", priority=5)),
    ]
    await settle()
    world.clock.tick(Milliseconds(200))
    places[0].finish(Outcome.ANSWERED)
    world.gate.wake()
    await settle()
    assert world.order == ["fresh"]
    places[1].finish(Outcome.ANSWERED)
    world.gate.wake()
    await settle()
    assert world.order == ["fresh", "late"]
    for task in tasks:
        assert isinstance(await task, Reservation)


async def test_requests_for_one_version_do_not_hold_up_those_for_another() -> None:
    """Pattern: the few endpoints of a new version are full, the old ones are not."""
    world = World()
    await world.fill()
    world.pool.announce(endpoint("b", version=VersionId("v2"), slots=1))
    old = replace(DEMAND, versions=frozenset({VersionId("v1")}))
    new = replace(DEMAND, versions=frozenset({VersionId("v2")}))

    async def enter(demand: Demand) -> Reservation | QueueRefusal:
        return await world.gate.reserve(
            request(),
            demand,
            priority=5,
            max_wait=PATIENCE,
            deprioritise_after=PATIENCE,
        )

    waiting = asyncio.create_task(enter(old))
    await settle()
    assert isinstance(await enter(new), Reservation)
    assert not waiting.done()
    waiting.cancel()


async def test_no_session_starves_beside_one_that_sends_most() -> None:
    """
    Pattern: many sessions share too few places and one of them is hot.

    Three quarters of all requests belong to one session, whose prompt one endpoint
    has cached; half of what comes can be served.
    """
    world = World()
    world.pool.announce(endpoint("b", slots=2))
    served: Counter[str] = Counter()
    asked: Counter[str] = Counter()
    random = Random(1)

    async def ask(session: str) -> None:
        asked[session] += 1
        demand = replace(DEMAND, affinity=session)
        found = await world.gate.reserve(
            request(),
            demand,
            priority=5,
            max_wait=PATIENCE,
            deprioritise_after=PATIENCE,
        )
        if isinstance(found, Reservation):
            served[session] += 1
            await world.clock.sleep(Milliseconds(100))
            found.finish(Outcome.ANSWERED)

    tasks = []
    for _ in range(400):
        for _ in range(2):
            hot = random.random() < 0.75
            session = "hot" if hot else f"s{random.randrange(20)}"
            tasks.append(asyncio.create_task(ask(session)))
        await world.clock.advance(Milliseconds(25))
        world.gate.wake()
    await world.clock.advance(Milliseconds(2_000))
    world.gate.wake()
    await settle()
    assert all(task.done() for task in tasks)
    overall = served.total() / asked.total()
    assert 0.3 < overall < 0.7
    shares = {session: served[session] / asked[session] for session in asked}
    assert min(shares.values()) > overall / 4, shares
