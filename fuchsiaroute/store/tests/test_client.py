"""The store client: timeout, circuit breaker, backoff and budgets."""

import asyncio
from random import Random

import pytest
from returns.result import Success

from fuchsiaroute.clock import ManualClock
from fuchsiaroute.store import (
    BUDGETS,
    CircuitBreaker,
    CircuitState,
    MemoryTableStore,
    Put,
    StoreClient,
    StoreErrorKind,
    StoreFault,
    StoreFunction,
    Transaction,
)

WRITE = Transaction(puts=(Put(key="key", value=b"value"),))


class Deployment:
    def __init__(self, *, entry_count=1):
        self.clock = ManualClock()
        self.store = MemoryTableStore(clock=self.clock)
        self.client = StoreClient(
            self.store,
            clock=self.clock,
            random=Random(1),
            entry_count=lambda: entry_count,
        )

    async def finish(self, call, *, duration=0):
        task = asyncio.ensure_future(call)
        await self.clock.advance(duration)
        assert task.done(), "the call has not ended"
        return task.result()

    async def write(self, *, duration=0, function=StoreFunction.CLAIMS):
        view = self.client.view(function)
        return await self.finish(view.commit(WRITE), duration=duration)


async def test_slow_call_ends_at_the_timeout_with_an_unknown_outcome():
    deployment = Deployment()
    deployment.store.fault = StoreFault.SLOW
    answer = await deployment.write(duration=1_000)
    assert answer.failure().kind is StoreErrorKind.UNKNOWN


@pytest.mark.parametrize(
    ("fault", "duration"), [(StoreFault.DOWN, 20), (StoreFault.SLOW, 1_000)]
)
async def test_three_failed_calls_open_the_circuit(fault, duration):
    deployment = Deployment()
    deployment.store.fault = fault
    for _ in range(3):
        await deployment.write(duration=duration)
    assert deployment.client.circuit_state is CircuitState.OPEN
    writes = deployment.store.writes
    answer = await deployment.write()
    assert answer.failure().kind is StoreErrorKind.REFUSED
    assert deployment.store.writes == writes


async def test_the_circuit_is_shared_by_all_functions():
    deployment = Deployment()
    deployment.store.fault = StoreFault.DOWN
    for _ in range(3):
        await deployment.write(function=StoreFunction.LEDGER, duration=20)
    view = deployment.client.view(StoreFunction.CONFIGURATION)
    answer = await deployment.finish(view.read(["key"]))
    assert answer.failure().kind is StoreErrorKind.REFUSED
    assert deployment.store.reads == 0


async def test_only_one_probe_is_made_and_its_success_closes_the_circuit():
    deployment = Deployment()
    deployment.store.fault = StoreFault.DOWN
    for _ in range(3):
        await deployment.write(duration=1_000)
    deployment.store.fault = StoreFault.SLOW
    deployment.store.injector.delay = 200
    await deployment.clock.advance(deployment.client.retry_after())
    probe = asyncio.ensure_future(
        deployment.client.view(StoreFunction.LEDGER).commit(WRITE)
    )
    await deployment.clock.advance(0)
    assert deployment.client.circuit_state is CircuitState.PROBING
    other = await deployment.write()
    assert other.failure().kind is StoreErrorKind.REFUSED
    await deployment.clock.advance(200)
    assert isinstance(probe.result(), Success)
    assert deployment.client.circuit_state is CircuitState.CLOSED


async def test_cancelled_probe_is_replaced_by_another_call():
    deployment = Deployment()
    deployment.store.fault = StoreFault.DOWN
    for _ in range(3):
        await deployment.write(duration=1_000)
    deployment.store.fault = StoreFault.SLOW
    await deployment.clock.advance(deployment.client.retry_after())
    view = deployment.client.view(StoreFunction.LEDGER)
    probe = asyncio.ensure_future(view.commit(WRITE))
    await deployment.clock.advance(0)
    probe.cancel()
    await deployment.clock.advance(0)
    deployment.store.fault = StoreFault.NONE
    assert isinstance(await deployment.write(), Success)


def test_backoffs_grow_to_a_limit_and_differ_between_entries():
    def backoffs(seed):
        circuit = CircuitBreaker(random=Random(seed))
        now, durations = 0, []
        for _ in range(10):
            circuit.record_failure(now)
            durations.append(circuit.retry_after(now))
            now += durations[-1]
            circuit.allows(now)
        return [duration for duration in durations if duration]

    first, second = backoffs(1), backoffs(2)
    assert first != second
    assert all(250 <= duration <= 5_000 for duration in first)
    assert all(duration >= 2_500 for duration in first[4:])


@pytest.mark.parametrize(("entry_count", "minutes"), [(8, 1), (390, 5)])
async def test_all_entries_together_stay_within_the_write_budget(entry_count, minutes):
    deployment = Deployment(entry_count=entry_count)
    view = deployment.client.view(StoreFunction.CLAIMS)

    async def write_forever():
        while True:
            await view.commit(WRITE)

    task = asyncio.ensure_future(write_forever())
    await deployment.clock.advance(minutes * 60_000)
    task.cancel()
    budget = BUDGETS[StoreFunction.CLAIMS].writes_per_second * minutes * 60
    assert deployment.store.writes * entry_count <= budget * 1.05


async def test_waiting_for_the_write_budget_takes_no_token():
    deployment = Deployment(entry_count=390)
    view = deployment.client.view(StoreFunction.CLAIMS)
    for _ in range(2):
        await deployment.finish(view.commit(WRITE))
    ready = asyncio.ensure_future(view.wait_for_write_budget())
    await deployment.clock.advance(1_900)
    assert not ready.done()
    await deployment.clock.advance(100)
    assert ready.done()


def test_divided_budgets_stay_below_the_capacity_of_the_service():
    divided = [budget for budget in BUDGETS.values() if budget.is_divided]
    assert sum(budget.reads_per_second for budget in divided) <= 2_000
    assert sum(budget.writes_per_second for budget in divided) <= 400


async def test_recovered_store_receives_no_burst():
    deployment = Deployment(entry_count=390)
    deployment.store.fault = StoreFault.DOWN
    for _ in range(3):
        await deployment.write(function=StoreFunction.SPENDING, duration=20)
    await deployment.clock.advance(60_000)
    deployment.store.fault = StoreFault.NONE
    await deployment.write()
    writes = deployment.store.writes
    views = [deployment.client.view(function) for function in StoreFunction]
    tasks = [asyncio.ensure_future(view.commit(WRITE)) for view in views]
    await deployment.clock.advance(1_000)
    assert deployment.store.writes - writes <= 1
    for task in tasks:
        task.cancel()
