"""Random histories of several controllers: pauses, lost answers and late orders."""

import asyncio
from random import Random

import pytest
from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from fuchsiaroute.clock import ManualClock
from fuchsiaroute.configuration import VersionState
from fuchsiaroute.ids import FencingNumber
from fuchsiaroute.placement import Lease, LoadRateLimiter, PlacementController, _lease
from fuchsiaroute.placement.tests.test_placement import (
    CHECKING,
    DOMAIN,
    IGNORING,
    UNLOAD_DELAY,
    configuration,
)
from fuchsiaroute.store import (
    MemoryEngine,
    MemoryEngineOrders,
    MemoryTableStore,
    OrderFault,
    StoreFault,
)

ENTRIES = 3
DURATIONS = (0, 500, 2_000, 5_000, 12_000, 20_000)
#: Turns after the last rule; all engines must then have the configured versions.
SETTLING_TURNS = UNLOAD_DELAY // 5_000 + 40
SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    stateful_step_count=30,
    suppress_health_check=list(HealthCheck),
)
MUTATION_SETTINGS = settings(
    SETTINGS, max_examples=400, phases=(Phase.generate,), report_multiple_bugs=False
)
entries = st.integers(0, ENTRIES - 1)


class PausableStore:
    """Store that can hold back the answers of its commits."""

    def __init__(self, store):
        self._store = store
        self.is_paused = False
        self.resumed = asyncio.Event()

    async def read(self, keys):
        return await self._store.read(keys)

    async def commit(self, transaction):
        answer = await self._store.commit(transaction)
        if self.is_paused:
            await self.resumed.wait()
        return answer


class CheckedOrders:
    """Orders of one entry; checks the fencing number and the leases at each order."""

    def __init__(self, machine, number):
        self._machine = machine
        self._number = number

    async def send(self, order):
        self._machine.check_order(self._number, order)
        return await self._machine.orders.send(order)

    async def loaded(self, endpoint):
        return await self._machine.orders.loaded(endpoint)


class Histories(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        self.store = MemoryTableStore(clock=self.clock)
        self.engines = {
            CHECKING: MemoryEngine(is_fencing_checked=True),
            IGNORING: MemoryEngine(is_fencing_checked=False),
        }
        self.orders = MemoryEngineOrders(self.engines)
        self.configuration = configuration()
        self.senders = {}
        self.stores = []
        self.steps = {}
        self.leases = []
        self.controllers = []
        for number in range(ENTRIES):
            self.add_entry(number)

    def add_entry(self, number):
        store = PausableStore(self.store)
        lease = Lease(
            DOMAIN,
            store=store,
            clock=self.clock,
            instance=f"entry-{number}",
            incarnation=1,
            random=Random(number),
        )
        controller = PlacementController(
            DOMAIN,
            lease=lease,
            orders=CheckedOrders(self, number),
            configuration=lambda: self.configuration,
            clock=self.clock,
            limit=LoadRateLimiter(clock=self.clock, loads_per_minute=6_000),
        )
        self.stores.append(store)
        self.leases.append(lease)
        self.controllers.append(controller)

    def check_order(self, number, order):
        sender = self.senders.setdefault(order.fencing, number)
        assert sender == number, "two holders share a fencing number"
        others = (lease for lease in self.leases if lease is not self.leases[number])
        assert not any(lease.is_held for lease in others), "sent under an expired lease"

    def run(self, work):
        return self.loop.run_until_complete(work)

    @rule(entry=entries)
    def renew(self, entry):
        """Step the lease, unless an earlier step has no answer yet."""
        if entry not in self.steps:
            self.run(self.leases[entry].step())

    @rule(entry=entries)
    def begin_renewal(self, entry):
        """Step the lease; hold back the answer once the write has taken effect."""
        if entry in self.steps:
            return

        async def begin():
            self.stores[entry].is_paused = True
            self.stores[entry].resumed.clear()
            self.steps[entry] = asyncio.ensure_future(self.leases[entry].step())
            await asyncio.sleep(0)

        self.run(begin())

    @rule(entry=entries)
    def end_renewal(self, entry):
        if entry not in self.steps:
            return

        async def end():
            self.stores[entry].is_paused = False
            self.stores[entry].resumed.set()
            await self.steps.pop(entry)

        self.run(end())

    @rule(entry=entries)
    def send_orders(self, entry):
        self.run(self.controllers[entry].reconcile())

    @rule(entry=entries)
    def release(self, entry):
        if entry not in self.steps:
            self.run(self.leases[entry].release())

    @rule(duration=st.sampled_from(DURATIONS))
    def advance(self, duration):
        self.clock.tick(duration)

    @rule(entry=entries, duration=st.sampled_from(DURATIONS))
    def work(self, entry, duration):
        """Renew and send orders at one entry, as when it is not paused."""
        self.renew(entry)
        self.send_orders(entry)
        self.advance(duration)

    @rule()
    def restart_engines(self):
        """Restart all engines; they have no version loaded afterwards."""
        for engine in self.engines.values():
            engine.loaded.clear()

    @rule(entry=entries, other=entries)
    def order_after_pause(self, entry, other):
        """Pause a holder before its orders until another entry has the lease."""
        self.renew(entry)
        self.take_over(other)
        self.restart_engines()
        self.send_orders(entry)

    @rule(entry=entries, other=entries)
    def order_after_pause_in_renewal(self, entry, other):
        """Pause a holder between its renewal and the store's answer."""
        self.renew(entry)
        self.advance(12_000)
        self.begin_renewal(entry)
        self.renew(other)
        self.advance(12_000)
        self.end_renewal(entry)
        self.advance(5_000)
        self.renew(other)
        self.restart_engines()
        self.send_orders(entry)

    @rule(entry=entries, other=entries)
    def deliver_after_take_over(self, entry, other):
        """Deliver orders of a holder after those of the next one."""
        self.restart_engines()
        self.orders.queued_faults.extend([OrderFault.DELAYED] * 2)
        self.send_orders(entry)
        self.take_over(other)
        self.work(other, 2_000)
        self.send_orders(other)
        self.orders.deliver_delayed()

    def take_over(self, entry):
        """Step the lease until that of another holder has expired and been acquired."""
        for _ in range(5):
            self.renew(entry)
            self.advance(5_000)

    @rule(fault=st.sampled_from([StoreFault.DOWN, StoreFault.NONE]))
    def switch_store(self, fault):
        self.store.fault = fault

    @rule(fault=st.sampled_from([StoreFault.ANSWER_LOST, StoreFault.LATE]))
    def lose_answer(self, fault):
        self.store.injector.queued_faults.extend([StoreFault.NONE, fault])

    @rule()
    def apply_late_writes(self):
        self.store.apply_late_writes()

    @rule(faults=st.lists(st.sampled_from(list(OrderFault)), max_size=4))
    def fail_orders(self, faults):
        self.orders.queued_faults.extend(faults)

    @rule()
    def deliver_delayed_orders(self):
        self.orders.deliver_delayed()

    @rule(target_state=st.sampled_from([VersionState.ACTIVE, VersionState.WITHDRAWN]))
    def change_configuration(self, target_state):
        self.configuration = configuration(target=target_state)

    def teardown(self):
        self.store.fault = StoreFault.NONE
        self.store.injector.queued_faults.clear()
        self.orders.queued_faults.clear()
        for entry in list(self.steps):
            self.end_renewal(entry)
        self.store.apply_late_writes()
        self.orders.deliver_delayed()
        for number in range(SETTLING_TURNS):
            self.work(number % ENTRIES, 5_000)
        self.loop.close()
        self.check()

    def check(self):
        fencing = [order.fencing for order in self.engines[CHECKING].applied]
        assert fencing == sorted(fencing), "an outdated order took effect"
        wanted = {
            version.id
            for version in self.configuration.models[0].versions
            if version.state is not VersionState.WITHDRAWN
        }
        for name, engine in self.engines.items():
            assert engine.loaded == wanted, f"not repaired: {name}"


def test_histories():
    run_state_machine_as_test(Histories, settings=SETTINGS)


def always_available(lease, current):
    return True


def hold_from_answer(lease, record, sent_at, version):
    REAL_HOLD(lease, record, lease._clock.now(), version)


def accept_any_order(engine, order):
    engine.is_fencing_checked = False
    return REAL_APPLY(engine, order)


REAL_HOLD = Lease._hold
REAL_APPLY = MemoryEngine.apply

MUTATIONS = {
    "another entry waits until a lease has expired": (
        Lease,
        "_is_available",
        always_available,
        "sent under an expired lease|not repaired",
    ),
    "a holder counts its lease from before it sent the renewal": (
        Lease,
        "_hold",
        hold_from_answer,
        "sent under an expired lease",
    ),
    "the lease is checked right before an order": (
        Lease,
        "is_held",
        property(lambda lease: lease._record is not None),
        "sent under an expired lease",
    ),
    "each holder has its own fencing number": (
        _lease,
        "FencingNumber",
        lambda number: FencingNumber(1),
        "two holders share a fencing number",
    ),
    "engines check the fencing number": (
        MemoryEngine,
        "apply",
        accept_any_order,
        "an outdated order took effect",
    ),
}


@pytest.mark.parametrize("safeguard", MUTATIONS)
def test_histories_fail_without(monkeypatch, safeguard):
    owner, name, replacement, failure = MUTATIONS[safeguard]
    monkeypatch.setattr(owner, name, replacement)
    with pytest.raises(AssertionError, match=failure):
        run_state_machine_as_test(Histories, settings=MUTATION_SETTINGS)
