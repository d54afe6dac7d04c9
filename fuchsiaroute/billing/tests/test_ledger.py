"""The ledger under faults of the store and crashes of entries."""

import asyncio
from random import Random

import pytest

from fuchsiaroute.billing import (
    AttemptCost,
    CopyHolder,
    Ledger,
    LedgerRecord,
    Origin,
    decode_record,
)
from fuchsiaroute.billing._ledger import COPY_TIMEOUT
from fuchsiaroute.clock import ManualClock
from fuchsiaroute.store import (
    MemoryTableStore,
    StoreClient,
    StoreFault,
    StoreFunction,
)

ORIGIN = Origin(instance="entry-1", incarnation=1)


def record(name, *costs):
    return LedgerRecord(
        organisation="county-01",
        request=name,
        product="permit-desk",
        request_class="permit-draft",
        attempts=tuple(
            AttemptCost(version="sapling-1", endpoint="model-pool-1", cost=cost)
            for cost in costs or (10,)
        ),
        instance="entry-1",
        ended_at=1_000_000,
    )


class InProcessCopies:
    """Sends copies to holders in the same process; implements ``CopySender``."""

    def __init__(self, origin=ORIGIN):
        self.origin = origin
        self.holders = {"entry-2": CopyHolder()}
        self.current = "entry-2"
        self.is_reachable = True

    def holder(self):
        return self.current

    async def hold(self, batch, records):
        if not self.is_reachable:
            return False
        return self.holders[self.current].hold(self.origin, batch, records)

    async def release(self, through):
        if self.is_reachable:
            for holder in self.holders.values():
                holder.release(self.origin, through)


class Deployment:
    def __init__(self):
        self.clock = ManualClock()
        self.store = MemoryTableStore(clock=self.clock)
        self.tasks = []

    def ledger(self, *, copies=None, max_buffered=32_768):
        client = StoreClient(self.store, clock=self.clock, random=Random(3))
        ledger = Ledger(
            store=client.view(StoreFunction.LEDGER),
            clock=self.clock,
            copies=copies,
            max_buffered=max_buffered,
        )
        self.tasks.append(asyncio.create_task(ledger.run()))
        return ledger

    async def append(self, ledger, *records):
        tasks = [asyncio.create_task(ledger.append(item)) for item in records]
        await self.clock.advance(100)
        await asyncio.gather(*tasks)

    async def billed(self):
        found = (await self.store.scan("ledger/", limit=100_000)).unwrap()
        return {item.key: (item.version, decode_record(item.value)) for item in found}


@pytest.fixture
async def deployment():
    deployment = Deployment()
    yield deployment
    for task in deployment.tasks:
        task.cancel()
    await asyncio.gather(*deployment.tasks, return_exceptions=True)


@pytest.mark.parametrize(
    "faults",
    [
        [],
        [StoreFault.DOWN],
        [StoreFault.ANSWER_LOST],
        [StoreFault.LATE],
        [StoreFault.SLOW, StoreFault.ANSWER_LOST],
        [StoreFault.ANSWER_LOST, StoreFault.DOWN],
    ],
)
async def test_each_request_is_billed_once_under_store_faults(deployment, faults):
    ledger = deployment.ledger()
    deployment.store.injector.queued_faults.extend(faults)
    await deployment.append(ledger, record("a", 10, 30), record("b"))
    await deployment.clock.advance(60_000)
    deployment.store.apply_late_writes()
    billed = await deployment.billed()
    assert [version for version, _ in billed.values()] == [1, 1]
    assert billed["ledger/county-01/a"][1].cost == 40
    assert (ledger.buffered, ledger.duplicates) == (0, 0)


async def test_repeated_id_is_billed_by_its_first_record(deployment):
    first, second = deployment.ledger(), deployment.ledger()
    await deployment.append(first, record("a", 10))
    await deployment.clock.advance(10_000)
    await deployment.append(second, record("a", 25), record("b"))
    await deployment.clock.advance(10_000)
    billed = await deployment.billed()
    assert billed["ledger/county-01/a"][1].cost == 10
    assert set(billed) == {"ledger/county-01/a", "ledger/county-01/b"}
    assert second.duplicates == 1


async def test_records_of_a_crashed_entry_are_stored_from_its_copies(deployment):
    copies = InProcessCopies()
    crashed, survivor = deployment.ledger(copies=copies), deployment.ledger()
    deployment.store.fault = StoreFault.DOWN
    await deployment.append(crashed, record("a"), record("b"))
    deployment.tasks[0].cancel()
    for batch in copies.holders["entry-2"].take(ORIGIN):
        survivor.recover_batch(batch)
    deployment.store.fault = StoreFault.NONE
    await deployment.clock.advance(60_000)
    assert len(await deployment.billed()) == 2


async def test_copies_are_released_once_their_records_are_stored(deployment):
    copies = InProcessCopies()
    ledger = deployment.ledger(copies=copies)
    await deployment.append(ledger, record("a"))
    assert copies.holders["entry-2"].size > 0
    await deployment.clock.advance(10_000)
    assert copies.holders["entry-2"].size == 0


async def test_new_holder_gets_copies_of_all_pending_records(deployment):
    copies = InProcessCopies()
    ledger = deployment.ledger(copies=copies)
    deployment.store.fault = StoreFault.DOWN
    await deployment.append(ledger, record("a"))
    copies.holders["entry-3"] = CopyHolder()
    copies.current = "entry-3"
    await deployment.clock.advance(10_000)
    assert len(copies.holders["entry-3"].take(ORIGIN)) == 1


async def test_failed_copy_to_a_new_holder_keeps_the_one_at_the_former(deployment):
    copies = InProcessCopies()
    ledger = deployment.ledger(copies=copies)
    deployment.store.fault = StoreFault.DOWN
    await deployment.append(ledger, record("a"))
    copies.holders["entry-3"] = CopyHolder(max_bytes=0)
    copies.current = "entry-3"
    await deployment.clock.advance(20_000)
    assert len(copies.holders["entry-2"].take(ORIGIN)) == 1


async def test_unresponsive_holder_delays_an_answer_by_at_most_the_copy_timeout(
    deployment,
):
    copies = InProcessCopies()
    copies.is_reachable = False
    ledger = deployment.ledger(copies=copies)
    task = asyncio.create_task(ledger.append(record("a")))
    await deployment.clock.advance(COPY_TIMEOUT - 1)
    assert not task.done()
    await deployment.clock.advance(1)
    assert task.done()


@pytest.mark.parametrize(
    ("fault", "is_drained"), [(StoreFault.NONE, True), (StoreFault.DOWN, False)]
)
async def test_drain_stores_all_pending_records(deployment, fault, is_drained):
    ledger = deployment.ledger()
    deployment.store.fault = fault
    await deployment.append(ledger, *(record(f"r{number}") for number in range(600)))
    draining = asyncio.create_task(ledger.drain(5_000))
    await deployment.clock.advance(5_000)
    assert draining.result() is is_drained
    assert (ledger.buffered == 0) is is_drained


async def test_ledger_is_full_at_its_buffer_limit(deployment):
    ledger = deployment.ledger(max_buffered=2)
    deployment.store.fault = StoreFault.DOWN
    await deployment.append(ledger, record("a"))
    assert not ledger.is_full
    await deployment.append(ledger, record("b"))
    assert ledger.is_full


async def test_records_are_stored_in_few_writes(deployment):
    ledger = deployment.ledger()
    await deployment.append(ledger, *(record(f"r{number}") for number in range(1_000)))
    await deployment.clock.advance(10_000)
    assert len(await deployment.billed()) == 1_000
    assert deployment.store.writes <= 4
