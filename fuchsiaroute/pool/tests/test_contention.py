"""The request queue while requests wait at other instances."""

import asyncio
from dataclasses import replace
from random import Random

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.contention import FleetDemand, Flow, FlowDemand, Reason
from fuchsiaroute.ids import InstanceId, OrganisationId
from fuchsiaroute.lifecycle import Outcome
from fuchsiaroute.pool import (
    Demand,
    EndpointPool,
    QueueRefusal,
    RequestQueue,
    Reservation,
)
from fuchsiaroute.pool._request_queue import YIELDING_WAIT_SHARE
from fuchsiaroute.pool.tests.test_pool import DEMAND, SERVICE, endpoint, service
from fuchsiaroute.pool.tests.test_request_queue import request, run_pending_tasks

MAX_WAIT = Milliseconds(1_000)
LIMIT = 100.0
PEER = InstanceId("peer")
FIRST, SECOND = OrganisationId("first"), OrganisationId("second")


class Harness:
    """A queue in front of one engine, and the demand of another instance."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.fleet = FleetDemand()
        self.pool = EndpointPool(
            instance=InstanceId("me"), clock=self.clock, random=Random(1)
        )
        self.pool.update_services({SERVICE: service(is_engine=True)})
        self.pool.announce(endpoint("a", slots=64))
        self.queue = RequestQueue(
            self.pool, clock=self.clock, random=Random(1), fleet=self.fleet
        )

    def waits_elsewhere(
        self, priority: int, organisation: OrganisationId, *, running: int = 0
    ) -> None:
        flow = Flow(SERVICE, priority, organisation)
        self.fleet.update(PEER, [FlowDemand(flow, running, 1)])

    def enter(
        self,
        *,
        work: float,
        priority: int = 2,
        organisation: OrganisationId = FIRST,
        max_wait: Milliseconds = MAX_WAIT,
    ) -> "asyncio.Task[Reservation | QueueRefusal]":
        demand: Demand = replace(DEMAND, work=work, max_backlog=LIMIT)
        return asyncio.create_task(
            self.queue.reserve(
                request(organisation),
                demand,
                priority=priority,
                max_wait=max_wait,
                deprioritise_after=max_wait,
            )
        )


@pytest.mark.parametrize(
    ("backlog", "waits_above", "starts"),
    [
        # More than half of the room is used, and an urgent request waits elsewhere.
        (60.0, True, False),
        # An engine with little work takes any request: none stands idle.
        (40.0, True, True),
        (0.0, True, True),
        (60.0, False, True),
    ],
)
async def test_less_urgent_requests_leave_room_to_urgent_ones_elsewhere(
    backlog: float, waits_above: bool, starts: bool
) -> None:
    """Guards against a burst at some instances that takes the room of all engines."""
    harness = Harness()
    await harness.enter(work=backlog)
    if waits_above:
        harness.waits_elsewhere(0, SECOND)
    task = harness.enter(work=1.0)
    await run_pending_tasks()
    assert task.done() is starts
    harness.fleet.update(PEER, [])
    harness.queue.wake()
    await run_pending_tasks()
    assert isinstance(await task, Reservation)


async def test_less_urgent_requests_leave_room_for_a_part_of_their_wait_only() -> None:
    """Guards against less urgent requests that are refused while others start."""
    harness = Harness()
    await harness.enter(work=60.0)
    harness.waits_elsewhere(0, SECOND)
    task = harness.enter(work=1.0)
    await run_pending_tasks()
    harness.clock.tick(Milliseconds(round(MAX_WAIT * YIELDING_WAIT_SHARE) - 1))
    harness.queue.wake()
    await run_pending_tasks()
    assert not task.done()
    harness.clock.tick(Milliseconds(1))
    harness.queue.wake()
    assert isinstance(await task, Reservation)


async def test_organisation_over_its_share_leaves_room_to_one_elsewhere() -> None:
    harness = Harness()
    for _ in range(6):
        await harness.enter(work=10.0)
    harness.waits_elsewhere(2, SECOND, running=1)
    over = harness.enter(work=1.0, organisation=FIRST)
    under = harness.enter(work=1.0, organisation=SECOND)
    await run_pending_tasks()
    assert (over.done(), under.done()) == (False, True)
    assert harness.queue.yields[Reason.OVER_SHARE] > 0
    over.cancel()


async def test_running_requests_of_other_instances_count_for_the_order() -> None:
    """Guards against shares that an organisation gets at each instance anew."""
    harness = Harness()
    first = [await harness.enter(work=60.0) for _ in range(2)]
    harness.fleet.update(PEER, [FlowDemand(Flow(SERVICE, 2, SECOND), 9, 0)])
    tasks = {
        name: harness.enter(work=90.0, organisation=name) for name in (SECOND, FIRST)
    }
    await run_pending_tasks()
    for item in first:
        assert isinstance(item, Reservation)
        item.finish(Outcome.ANSWERED)
    harness.queue.wake()
    await run_pending_tasks()
    assert tasks[FIRST].done()
    for task in tasks.values():
        task.cancel()


async def test_summary_is_empty_while_nothing_waits() -> None:
    """Guards against gossip that grows in calm."""
    harness = Harness()
    await harness.enter(work=LIMIT + 1.0)
    assert harness.queue.summary() == []
    task = harness.enter(work=1.0)
    await run_pending_tasks()
    flow = Flow(SERVICE, 2, FIRST)
    assert harness.queue.summary() == [FlowDemand(flow, running=1, waiting=1)]
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert harness.queue.summary() == []


async def test_request_that_cannot_start_in_time_is_refused_at_once() -> None:
    """Guards against a forecast of 0 until waiting requests have started."""
    harness = Harness()
    await harness.enter(work=2_000.0)
    refusal = await harness.enter(work=1.0, max_wait=Milliseconds(500))
    assert isinstance(refusal, QueueRefusal)
    assert refusal.expected_wait == 2_000 - LIMIT
    assert refusal.retry_after >= refusal.expected_wait


async def test_refused_callers_do_not_all_return_at_once() -> None:
    harness = Harness()
    await harness.enter(work=2_000.0)
    times = set()
    for _ in range(20):
        refusal = await harness.enter(work=1.0, max_wait=Milliseconds(500))
        assert isinstance(refusal, QueueRefusal)
        times.add(refusal.retry_after)
    assert len(times) > 10
