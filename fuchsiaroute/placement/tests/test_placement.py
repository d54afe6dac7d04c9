"""Leases, fencing and orders to engines, under faults."""

import asyncio
from dataclasses import replace
from random import Random

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
    MAX_ORDER_DELAY,
    RECONCILIATION_INTERVAL,
    RENEWAL_INTERVAL,
    UNLOAD_DELAY,
    Lease,
    LoadRateLimiter,
    PlacementController,
    PlacementSupervisor,
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
#: Long enough for a lease to expire and the next holder to send its first orders.
EXPIRY = 60_000


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
    """Controllers of several entries that share a store and two engines."""

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
            random=Random(instance),
        )
        limit = LoadRateLimiter(
            clock=self.clock, loads_per_minute=self.loads_per_minute
        )
        controller = PlacementController(
            DOMAIN,
            lease=lease,
            orders=self.orders,
            configuration=lambda: self.configuration,
            clock=self.clock,
            limit=limit,
        )
        return lease, controller

    async def work(self, lease, controller, duration):
        """Run the lease and the controller of one entry for ``duration``."""
        for elapsed in range(0, duration, RENEWAL_INTERVAL):
            await lease.step()
            if elapsed % RECONCILIATION_INTERVAL == 0:
                await controller.reconcile()
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
async def test_engines_load_the_configured_versions_despite_a_fault(fault, store_fault):
    deployment = Deployment()
    lease, controller = deployment.entry("entry-1")
    deployment.orders.queued_faults.extend([fault] * 2)
    # The first read succeeds; the fault applies to the first write.
    deployment.store.injector.queued_faults.extend([StoreFault.NONE, store_fault])
    await deployment.work(lease, controller, 240_000)
    assert deployment.loaded() == BOTH


async def test_target_of_a_rollout_is_loaded_before_other_versions():
    declared = configuration()
    assert wanted_versions(declared, declared.endpoints[0]) == (TARGET, BASE)


async def test_second_entry_waits_until_the_lease_has_expired():
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


async def test_released_lease_is_acquired_at_once():
    deployment = Deployment()
    first, _ = deployment.entry("entry-1")
    second, _ = deployment.entry("entry-2")
    await first.step()
    await first.release()
    await second.step()
    assert (first.is_held, second.is_held) == (False, True)


@pytest.mark.parametrize("fault", [StoreFault.ANSWER_LOST, StoreFault.LATE])
async def test_renewal_with_a_lost_answer_counts_only_if_it_was_stored(fault):
    deployment = Deployment()
    lease, _ = deployment.entry("entry-1")
    await lease.step()
    deployment.clock.tick(10_000)
    deployment.store.injector.queued_faults.append(fault)
    await lease.step()
    deployment.clock.tick(10_000)
    assert lease.is_held is (fault is StoreFault.ANSWER_LOST)


async def test_paused_holder_sends_no_order_after_its_lease():
    deployment = Deployment()
    lease, controller = deployment.entry("entry-1")
    await lease.step()
    deployment.clock.tick(EXPIRY)
    await controller.reconcile()
    assert deployment.loaded() == {CHECKING: set(), IGNORING: set()}


@pytest.mark.parametrize("endpoint", [CHECKING, IGNORING])
async def test_late_order_of_a_former_holder_is_refused_or_repaired(endpoint):
    """An engine that checks fencing refuses it; otherwise a later order repairs it."""
    deployment = Deployment()
    former, former_controller = deployment.entry("entry-1")
    later, later_controller = deployment.entry("entry-2")
    deployment.orders.queued_faults.extend([OrderFault.DELAYED] * 4)
    await deployment.work(former, former_controller, 2 * RECONCILIATION_INTERVAL)
    deployment.configuration = configuration(target=VersionState.WITHDRAWN)
    await deployment.work(later, later_controller, EXPIRY)
    deployment.orders.deliver_delayed()
    is_checked = deployment.engines[endpoint].is_fencing_checked
    assert (TARGET in deployment.engines[endpoint].loaded) is not is_checked
    await deployment.work(
        later, later_controller, UNLOAD_DELAY + 2 * RECONCILIATION_INTERVAL
    )
    assert deployment.engines[endpoint].loaded == {BASE}


async def test_engine_without_fencing_gets_no_order_until_former_ones_have_arrived():
    deployment = Deployment()
    lease, controller = deployment.entry("entry-1")
    await lease.step()
    await controller.reconcile()
    deployment.clock.tick(MAX_ORDER_DELAY - 1)
    await controller.reconcile()
    assert TARGET in deployment.engines[CHECKING].loaded
    assert not deployment.engines[IGNORING].applied
    deployment.clock.tick(1)
    await controller.reconcile()
    assert TARGET in deployment.engines[IGNORING].loaded


async def test_fenced_order_ends_the_lease():
    deployment = Deployment()
    lease, controller = deployment.entry("entry-1")
    deployment.engines[CHECKING].highest_fencing = 99
    await lease.step()
    await controller.reconcile()
    deployment.clock.tick(1_000)
    assert lease.is_held
    await controller.reconcile()
    assert not lease.is_held


async def test_next_holder_continues_an_interrupted_rollout():
    deployment = Deployment(loads_per_minute=3)
    first = deployment.entry("entry-1")
    await deployment.work(*first, 45_000)
    loads = sum(len(loaded) for loaded in deployment.loaded().values())
    assert 0 < loads < 4
    await deployment.work(*deployment.entry("entry-2"), 180_000)
    assert deployment.loaded() == BOTH
    applied = [item for e in deployment.engines.values() for item in e.applied]
    assert len(applied) == 4


async def test_loads_stay_within_the_rate_of_the_weight_store():
    deployment = Deployment(loads_per_minute=2)
    lease, controller = deployment.entry("entry-1")
    await deployment.work(lease, controller, 60_000)
    loads = sum(len(engine.applied) for engine in deployment.engines.values())
    assert loads <= 2


async def test_withdrawn_version_stays_loaded_for_the_unload_delay():
    deployment = Deployment()
    lease, controller = deployment.entry("entry-1")
    await deployment.work(lease, controller, 60_000)
    deployment.configuration = configuration(base=VersionState.WITHDRAWN)
    await deployment.work(lease, controller, UNLOAD_DELAY - RECONCILIATION_INTERVAL)
    assert deployment.loaded() == BOTH
    await deployment.work(lease, controller, 4 * RECONCILIATION_INTERVAL)
    assert deployment.loaded() == {CHECKING: {TARGET}, IGNORING: {TARGET}}


async def test_failure_domain_in_outage_gets_no_orders():
    deployment = Deployment()
    outages = (Outage(failure_domain=DOMAIN),)
    deployment.configuration = replace(deployment.configuration, outages=outages)
    lease, controller = deployment.entry("entry-1")
    await deployment.work(lease, controller, 60_000)
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


async def test_holder_keeps_the_lease_if_its_renewal_takes_effect_late():
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
    ("entry_count", "delay"), [(8, RENEWAL_INTERVAL), (390, 243_750)]
)
async def test_poll_interval_grows_with_the_number_of_entries(entry_count, delay):
    deployment = Deployment()
    holder, _ = deployment.entry("entry-1")
    other, _ = deployment.entry("entry-2")
    await holder.step()
    await other.step()
    assert other.next_delay(entry_count) == RENEWAL_INTERVAL
    await holder.step()
    await other.step()
    assert other.next_delay(entry_count) == delay
    assert holder.next_delay(entry_count) == RENEWAL_INTERVAL


async def test_renewal_takes_one_write_and_no_read():
    deployment = Deployment()
    lease, _ = deployment.entry("entry-1")
    await lease.step()
    reads = deployment.store.reads
    for _ in range(10):
        deployment.clock.tick(RENEWAL_INTERVAL)
        await lease.step()
    assert deployment.store.reads == reads
    assert lease.is_held


async def test_one_entry_controls_each_failure_domain_and_hands_over_at_its_stop():
    deployment = Deployment()
    supervisors = [
        PlacementSupervisor(
            store=deployment.store,
            orders=deployment.orders,
            configuration=lambda: deployment.configuration,
            clock=deployment.clock,
            instance=f"entry-{number}",
            incarnation=1,
            random=Random(number),
            entry_count=lambda: 2,
            loads_per_minute=600,
        )
        for number in range(2)
    ]
    tasks = [asyncio.create_task(supervisor.run()) for supervisor in supervisors]
    await deployment.clock.advance(60_000)
    first = next(item for item in supervisors if item.held_domains)
    assert [item.held_domains for item in supervisors].count((DOMAIN,)) == 1
    assert deployment.loaded() == BOTH
    tasks[supervisors.index(first)].cancel()
    await deployment.clock.advance(0)
    await first.release()
    await deployment.clock.advance(10_000)
    assert [item.held_domains for item in supervisors].count((DOMAIN,)) == 1
    assert not first.held_domains
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
