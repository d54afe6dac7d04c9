"""Leases, fencing and orders under faults."""

import asyncio
import random
from dataclasses import replace

import pytest
from eliot import MemoryLogger

from fuchsiaroute.clock import ManualClock
from fuchsiaroute.configuration import (
    Configuration,
    Endpoint,
    FailureDomain,
    Model,
    Outage,
    Rollout,
    Version,
    VersionState,
)
from fuchsiaroute.ids import EndpointId, FailureDomainId, VersionId
from fuchsiaroute.logs import PlacementDecided
from fuchsiaroute.placement import (
    ORDER_FLIGHT,
    RENEWAL_INTERVAL,
    ROUND_INTERVAL,
    UNLOAD_DELAY,
    Lease,
    PlacementSupervisor,
    Placer,
    WeightStoreLimit,
    wanted_versions,
)
from fuchsiaroute.store import (
    MemoryEngine,
    MemoryEngineOrders,
    MemoryTableStore,
    OrderFault,
    OrderKind,
    StoreFault,
)

DOMAIN = FailureDomainId("lakes-a")
BASE, TARGET = VersionId("timber-4"), VersionId("timber-5")
CHECKING, IGNORING = EndpointId("engine-checking"), EndpointId("engine-ignoring")
#: Longer than a lease, the wait of others for its end and the next holder's first
#: orders.
LAPSE = 60_000


def version(name, state=VersionState.ACTIVE):
    return Version(id=name, cost_per_1000_tokens=1, prior_quality=0.9, state=state)


def configuration(*, base=VersionState.ACTIVE, target=VersionState.ACTIVE):
    endpoints = tuple(
        Endpoint(
            id=name,
            url="http://127.0.0.1:1",
            failure_domain=DOMAIN,
            versions=(BASE, TARGET),
            is_fencing_checked=name is CHECKING,
        )
        for name in (CHECKING, IGNORING)
    )
    return Configuration(
        deployment="test",
        failure_domains=(FailureDomain(id=DOMAIN, region="lakes"),),
        products=(),
        organisations=(),
        models=(
            Model(id="timber", versions=(version(BASE, base), version(TARGET, target))),
        ),
        endpoints=endpoints,
        rollouts=(
            Rollout(
                id="r", model="timber", base=BASE, target=TARGET, stages=(0.1, 1.0)
            ),
        ),
    )


class Deployment:
    """Placers of several entries over one store and two engines."""

    def __init__(self, *, loads_per_minute=6_000):
        self.clock = ManualClock()
        self.store = MemoryTableStore(clock=self.clock)
        self.engines = {
            CHECKING: MemoryEngine(is_fencing_checked=True),
            IGNORING: MemoryEngine(is_fencing_checked=False),
        }
        self.orders = MemoryEngineOrders(self.engines)
        self.configuration = configuration()
        self.loads_per_minute = loads_per_minute

    def entry(self, instance):
        lease = Lease(
            DOMAIN,
            store=self.store,
            clock=self.clock,
            instance=instance,
            incarnation=1,
            rng=random.Random(instance),
        )
        limit = WeightStoreLimit(
            clock=self.clock, loads_per_minute=self.loads_per_minute
        )
        placer = Placer(
            DOMAIN,
            lease=lease,
            orders=self.orders,
            configuration=lambda: self.configuration,
            clock=self.clock,
            limit=limit,
        )
        return lease, placer

    async def work(self, lease, placer, duration):
        """Run one entry for ``duration``, step by step."""
        for elapsed in range(0, duration, RENEWAL_INTERVAL):
            await lease.step()
            if elapsed % ROUND_INTERVAL == 0:
                await placer.run_round()
            self.clock.tick(RENEWAL_INTERVAL)

    def loaded(self):
        return {name: engine.loaded for name, engine in self.engines.items()}


BOTH = {CHECKING: {BASE, TARGET}, IGNORING: {BASE, TARGET}}


@pytest.mark.parametrize(
    "fault", [OrderFault.NONE, OrderFault.NOT_DELIVERED, OrderFault.ANSWER_LOST]
)
@pytest.mark.parametrize(
    "store_fault",
    [StoreFault.NONE, StoreFault.DOWN, StoreFault.ANSWER_LOST, StoreFault.LATE],
)
async def test_engines_get_what_the_configuration_asks_for(fault, store_fault):
    deployment = Deployment()
    lease, placer = deployment.entry("entry-1")
    deployment.orders.queued_faults.extend([fault] * 2)
    # The first read succeeds; the fault meets the first write.
    deployment.store.injector.queued_faults.extend([StoreFault.NONE, store_fault])
    await deployment.work(lease, placer, 240_000)
    assert deployment.loaded() == BOTH


async def test_the_target_of_a_rollout_is_loaded_before_other_versions():
    declared = configuration()
    assert wanted_versions(declared, declared.endpoints[0]) == (TARGET, BASE)


async def test_a_second_entry_waits_until_the_lease_has_lapsed():
    deployment = Deployment()
    first, _ = deployment.entry("entry-1")
    second, _ = deployment.entry("entry-2")
    await first.step()
    await second.step()
    assert (first.is_held, second.is_held) == (True, False)
    for _ in range(4):
        deployment.clock.tick(RENEWAL_INTERVAL)
        await second.step()
        assert not (first.is_held and second.is_held)
    assert (first.is_held, second.is_held) == (False, True)
    assert second.fencing == first.fencing + 1


async def test_a_released_lease_is_taken_at_once():
    deployment = Deployment()
    first, _ = deployment.entry("entry-1")
    second, _ = deployment.entry("entry-2")
    await first.step()
    await first.release()
    await second.step()
    assert (first.is_held, second.is_held) == (False, True)


@pytest.mark.parametrize("fault", [StoreFault.ANSWER_LOST, StoreFault.LATE])
async def test_a_lost_renewal_is_held_only_if_it_is_read_back(fault):
    deployment = Deployment()
    lease, _ = deployment.entry("entry-1")
    await lease.step()
    deployment.clock.tick(10_000)
    deployment.store.injector.queued_faults.append(fault)
    await lease.step()
    deployment.clock.tick(10_000)
    assert lease.is_held is (fault is StoreFault.ANSWER_LOST)


async def test_a_paused_holder_gives_no_order_after_its_lease():
    deployment = Deployment()
    lease, placer = deployment.entry("entry-1")
    await lease.step()
    deployment.clock.tick(LAPSE)
    await placer.run_round()
    assert deployment.loaded() == {CHECKING: set(), IGNORING: set()}


@pytest.mark.parametrize("endpoint", [CHECKING, IGNORING])
async def test_an_order_of_a_former_holder_that_arrives_late(endpoint):
    """A checking engine refuses it; at an ignoring one it is repaired."""
    deployment = Deployment()
    former, former_placer = deployment.entry("entry-1")
    later, later_placer = deployment.entry("entry-2")
    deployment.orders.queued_faults.extend([OrderFault.DELAYED] * 4)
    await deployment.work(former, former_placer, 2 * ROUND_INTERVAL)
    deployment.configuration = configuration(target=VersionState.WITHDRAWN)
    await deployment.work(later, later_placer, LAPSE)
    deployment.orders.deliver_delayed()
    is_checked = deployment.engines[endpoint].is_fencing_checked
    assert (TARGET in deployment.engines[endpoint].loaded) is not is_checked
    await deployment.work(later, later_placer, UNLOAD_DELAY + 2 * ROUND_INTERVAL)
    assert deployment.engines[endpoint].loaded == {BASE}


async def test_an_engine_that_ignores_fencing_waits_for_orders_in_flight():
    deployment = Deployment()
    lease, placer = deployment.entry("entry-1")
    await lease.step()
    await placer.run_round()
    deployment.clock.tick(ORDER_FLIGHT - 1)
    await placer.run_round()
    assert TARGET in deployment.engines[CHECKING].loaded
    assert not deployment.engines[IGNORING].applied
    deployment.clock.tick(1)
    await placer.run_round()
    assert TARGET in deployment.engines[IGNORING].loaded


async def test_a_fenced_order_ends_the_lease():
    deployment = Deployment()
    lease, placer = deployment.entry("entry-1")
    deployment.engines[CHECKING].highest_fencing = 99
    await lease.step()
    await placer.run_round()
    deployment.clock.tick(1_000)
    assert lease.is_held
    await placer.run_round()
    assert not lease.is_held


async def test_an_interrupted_rollout_goes_on_at_the_next_holder():
    deployment = Deployment(loads_per_minute=3)
    first = deployment.entry("entry-1")
    await deployment.work(*first, 45_000)
    loads = sum(len(loaded) for loaded in deployment.loaded().values())
    assert 0 < loads < 4
    await deployment.work(*deployment.entry("entry-2"), 180_000)
    assert deployment.loaded() == BOTH
    effective = [item for e in deployment.engines.values() for item in e.applied]
    assert len(effective) == 4


async def test_the_weight_store_is_asked_for_no_more_than_its_rate():
    deployment = Deployment(loads_per_minute=2)
    lease, placer = deployment.entry("entry-1")
    await deployment.work(lease, placer, 60_000)
    loads = sum(len(engine.applied) for engine in deployment.engines.values())
    assert loads <= 2


async def test_a_withdrawn_version_stays_loaded_until_streams_have_ended():
    deployment = Deployment()
    lease, placer = deployment.entry("entry-1")
    await deployment.work(lease, placer, 60_000)
    deployment.configuration = configuration(base=VersionState.WITHDRAWN)
    await deployment.work(lease, placer, UNLOAD_DELAY - ROUND_INTERVAL)
    assert deployment.loaded() == BOTH
    await deployment.work(lease, placer, 4 * ROUND_INTERVAL)
    assert deployment.loaded() == {CHECKING: {TARGET}, IGNORING: {TARGET}}


async def test_a_failure_domain_that_was_taken_out_gets_no_orders():
    deployment = Deployment()
    outages = (Outage(failure_domain=DOMAIN),)
    deployment.configuration = replace(deployment.configuration, outages=outages)
    lease, placer = deployment.entry("entry-1")
    await deployment.work(lease, placer, 60_000)
    assert deployment.loaded() == {CHECKING: set(), IGNORING: set()}


async def test_each_order_is_logged(monkeypatch):
    logger = MemoryLogger()
    monkeypatch.setattr("eliot._output._DEFAULT_LOGGER", logger)
    deployment = Deployment()
    await deployment.work(*deployment.entry("entry-1"), 60_000)
    lines = [
        line
        for line in logger.messages
        if line["message_type"] == PlacementDecided.message_type
    ]
    assert [line["outcome"] for line in lines] == ["confirmed"] * 4
    assert {line["order"] for line in lines} == {OrderKind.LOAD_VERSION}


async def test_a_late_renewal_of_its_own_does_not_cost_a_holder_the_lease():
    deployment = Deployment()
    lease, _ = deployment.entry("entry-1")
    await lease.step()
    deployment.store.injector.queued_faults.append(StoreFault.LATE)
    await lease.step()
    deployment.store.apply_late_writes()
    for _ in range(3):
        deployment.clock.tick(RENEWAL_INTERVAL)
        await lease.step()
    assert lease.is_held
    assert lease.fencing == 1


@pytest.mark.parametrize(
    ("entry_count", "pause"), [(8, RENEWAL_INTERVAL), (390, 243_750)]
)
async def test_entries_look_less_often_the_more_they_are(entry_count, pause):
    deployment = Deployment()
    holder, _ = deployment.entry("entry-1")
    other, _ = deployment.entry("entry-2")
    await holder.step()
    await other.step()
    assert other.pause(entry_count) == RENEWAL_INTERVAL
    await holder.step()
    await other.step()
    assert other.pause(entry_count) == pause
    assert holder.pause(entry_count) == RENEWAL_INTERVAL


async def test_a_holder_renews_with_one_write_and_no_read():
    deployment = Deployment()
    lease, _ = deployment.entry("entry-1")
    await lease.step()
    reads = deployment.store.reads
    for _ in range(10):
        deployment.clock.tick(RENEWAL_INTERVAL)
        await lease.step()
    assert deployment.store.reads == reads
    assert lease.is_held


async def test_one_entry_places_in_every_failure_domain_and_hands_over():
    deployment = Deployment()
    supervisors = [
        PlacementSupervisor(
            store=deployment.store,
            orders=deployment.orders,
            configuration=lambda: deployment.configuration,
            clock=deployment.clock,
            instance=f"entry-{number}",
            incarnation=1,
            rng=random.Random(number),
            entry_count=lambda: 2,
            loads_per_minute=600,
        )
        for number in range(2)
    ]
    tasks = [asyncio.create_task(supervisor.run()) for supervisor in supervisors]
    await deployment.clock.advance(60_000)
    first = next(item for item in supervisors if item.held)
    assert [item.held for item in supervisors].count((DOMAIN,)) == 1
    assert deployment.loaded() == BOTH
    tasks[supervisors.index(first)].cancel()
    await deployment.clock.advance(0)
    await first.release()
    await deployment.clock.advance(10_000)
    assert [item.held for item in supervisors].count((DOMAIN,)) == 1
    assert not first.held
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
