"""The roll-out driver under races, lost answers and stopped instances."""

import asyncio
from collections.abc import Callable

import pytest
from returns.result import Failure, Result, Success

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.ids import InstanceId, RequestClass, ServiceId
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.staging import Progress, RolloutDriver, RolloutTracker
from fuchsiaroute.staging.tests.test_tracker import (
    DURATION,
    NEW,
    OLD,
    ORDER,
    SERVICE,
)
from fuchsiaroute.store import (
    Committed,
    Conflict,
    Put,
    Record,
    StoreError,
    StoreErrorKind,
    Transaction,
)

KEY = "rollouts/s"


class Store:
    """One row, written under a condition; may be down or lose answers."""

    def __init__(self) -> None:
        self.row = Record(key=KEY, value=b"", version=0)
        self.writes: list[bytes] = []
        self.is_down = False
        self.loses_answers = False

    async def commit(
        self, transaction: Transaction
    ) -> Result[Committed | Conflict, StoreError]:
        lost = Failure(StoreError(kind=StoreErrorKind.UNKNOWN, message="lost"))
        if self.is_down:
            return lost
        if transaction.checks[0].version != self.row.version:
            return Success(Conflict(records=(self.row,)))
        value = transaction.puts[0].value
        self.row = Record(key=KEY, value=value, version=self.row.version + 1)
        self.writes.append(value)
        return lost if self.loses_answers else Success(Committed(self.row.version))


class Instance:
    def __init__(
        self,
        name: str,
        clock: ManualClock,
        store: Store,
        alive: Callable[[], list[InstanceId]],
    ) -> None:
        start = clock.now()
        log = LineLog(clock=clock, instance=name, write=len)

        def now() -> Milliseconds:
            return Milliseconds(clock.now() - start)

        orders = {SERVICE: ORDER}
        self.base_version_load = 0
        self.tracker = RolloutTracker(
            orders=orders,
            store_now=now,
            clock=clock,
            log=log,
            session_pause=Milliseconds(5_000),
            canary_share=0.15,
        )
        self.driver = RolloutDriver(
            instance=InstanceId(name),
            store=store,
            tracker=self.tracker,
            orders=orders,
            clock=clock,
            log=log,
            instances=alive,
            base_version_load=lambda order: self.base_version_load,
            store_now=now,
            record_key=lambda service: KEY,
            status_put=lambda record: Put(key="status", value=b""),
            on_change=lambda: None,
        )

    @property
    def progress(self) -> Progress | None:
        record = self.tracker.record(ServiceId("s"))
        return record.progress if record is not None else None


class Fleet:
    def __init__(self, *names: str) -> None:
        self.clock = ManualClock()
        self.store = Store()
        self.alive = [InstanceId(name) for name in names]
        self.instances = {
            name: Instance(name, self.clock, self.store, lambda: self.alive)
            for name in names
        }
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, *names: str) -> None:
        self._tasks = [
            asyncio.create_task(self.instances[name].driver.run()) for name in names
        ]

    async def pass_time(self, duration: int) -> None:
        for _ in range(duration // 200):
            await self.clock.advance(Milliseconds(200))

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()


def stored(store: Store) -> list[str]:
    return [
        name
        for value in store.writes
        for name in ("RUNNING", "COMPLETED", "ROLLED_BACK")
        if name.encode() in value
    ]


async def test_good_version_is_completed_before_its_deadline() -> None:
    fleet = Fleet("a", "b", "c")
    fleet.start("a", "b", "c")
    await fleet.pass_time(DURATION)
    assert stored(fleet.store) == ["RUNNING", "COMPLETED"]
    fleet.stop()


@pytest.mark.parametrize("survivor", ["a", "b", "c"])
async def test_any_instance_completes_what_another_one_started(survivor: str) -> None:
    """The instance that started the roll-out is killed halfway."""
    fleet = Fleet("a", "b", "c")
    fleet.start("a", "b", "c")
    await fleet.pass_time(6_000)
    fleet.stop()
    fleet.start(survivor)
    await fleet.pass_time(DURATION - 6_000)
    assert stored(fleet.store) == ["RUNNING", "COMPLETED"]
    fleet.stop()


async def test_conflict_shows_that_a_write_without_answer_was_applied() -> None:
    fleet = Fleet("a")
    fleet.store.loses_answers = True
    fleet.start("a")
    await fleet.pass_time(1_000)
    assert stored(fleet.store) == ["RUNNING"]
    assert fleet.instances["a"].progress is Progress.RUNNING
    fleet.stop()


async def test_bad_version_is_rolled_back_by_the_instance_with_evidence() -> None:
    fleet = Fleet("a", "b", "c")
    fleet.start("a", "b", "c")
    await fleet.pass_time(2_000)
    tracker = fleet.instances["b"].tracker
    for _ in range(40):
        tracker.record_answer(SERVICE, OLD, RequestClass("c"), is_bad=False)
    for _ in range(10):
        tracker.record_answer(SERVICE, NEW, RequestClass("c"), is_bad=True)
    await fleet.pass_time(2_000)
    assert stored(fleet.store) == ["RUNNING", "ROLLED_BACK"]
    fleet.stop()


async def test_another_instance_writes_when_the_store_refuses_one() -> None:
    """The store refuses the instance that has the evidence of a fault."""
    fleet = Fleet("a", "b", "c")
    fleet.start("a", "b", "c")
    await fleet.pass_time(2_000)
    refused = fleet.instances["a"]
    refusing_store = Store()
    refusing_store.is_down = True
    refused.driver._store = refusing_store
    for _ in range(40):
        refused.tracker.record_answer(SERVICE, OLD, RequestClass("c"), is_bad=False)
    for _ in range(10):
        refused.tracker.record_answer(SERVICE, NEW, RequestClass("c"), is_bad=True)
    assert refused.tracker.is_suspended(SERVICE, ORDER.revision)
    # The gossip message that the others receive from it.
    for name in ("b", "c"):
        fleet.instances[name].tracker.suspend(ORDER, source="a")
    await fleet.pass_time(2_000)
    assert stored(fleet.store) == ["RUNNING", "ROLLED_BACK"]
    fleet.stop()


async def test_refused_writes_are_retried_with_a_delay() -> None:
    fleet = Fleet("a")
    calls = 0
    commit = fleet.store.commit

    async def counted(transaction: Transaction):  # type: ignore[no-untyped-def]
        nonlocal calls
        calls += 1
        return await commit(transaction)

    fleet.store.commit = counted  # type: ignore[method-assign]
    fleet.store.is_down = True
    fleet.start("a")
    await fleet.pass_time(10_000)
    assert calls <= 10
    fleet.stop()


async def test_rollout_starts_after_a_store_outage() -> None:
    fleet = Fleet("a", "b")
    fleet.store.is_down = True
    fleet.start("a", "b")
    await fleet.pass_time(3_000)
    assert stored(fleet.store) == []
    fleet.store.is_down = False
    await fleet.pass_time(1_000)
    assert stored(fleet.store) == ["RUNNING"]
    fleet.stop()


async def test_completion_waits_a_bounded_time_for_requests_at_the_old_version() -> (
    None
):
    fleet = Fleet("a")
    fleet.instances["a"].base_version_load = 1
    fleet.start("a")
    await fleet.pass_time(round(DURATION * 0.9))
    assert stored(fleet.store) == ["RUNNING"]
    await fleet.pass_time(round(DURATION * 0.1))
    assert stored(fleet.store) == ["RUNNING", "COMPLETED"]
    fleet.stop()
