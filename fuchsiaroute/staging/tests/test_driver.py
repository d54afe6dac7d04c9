"""The roll-out driver under races, lost answers and stopped instances."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

import pytest
from returns.result import Failure, Result, Success

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.ids import InstanceId, RequestClass, ServiceId
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.staging import (
    Progress,
    RolloutDriver,
    RolloutRecord,
    RolloutTracker,
)
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
    era_of,
    store_position,
    version_of,
)

KEY = "rollouts/s"
OUTCOMES_KEY = "outcomes/s"


class Store:
    """Rows, written under a condition; may be down or lose answers."""

    def __init__(self) -> None:
        self.rows: dict[str, Record] = {}
        self.era = 0
        #: Values that were written to the row with the record.
        self.writes: list[bytes] = []
        self.calls = 0
        self.version = 0
        self.is_down = False
        self.loses_answers = False

    def row(self, key: str) -> Record:
        return self.rows.get(key, Record(key=key, value=b"", version=0))

    async def read_outcomes(self) -> Result[dict[ServiceId, Record], StoreError]:
        if self.is_down:
            return Failure(StoreError(kind=StoreErrorKind.UNKNOWN, message="down"))
        row = self.row(OUTCOMES_KEY)
        return Success({SERVICE: row} if row.value else {})

    def restore(self, rows: dict[str, Record]) -> None:
        """Go back to a copy, in a new era."""
        self.era += 1
        self.rows = {
            key: replace(row, version=store_position(self.era, version_of(row.version)))
            for key, row in rows.items()
        }

    async def commit(
        self, transaction: Transaction
    ) -> Result[Committed | Conflict, StoreError]:
        lost = Failure(StoreError(kind=StoreErrorKind.UNKNOWN, message="lost"))
        if self.is_down:
            return lost
        self.calls += 1
        rows = tuple(self.row(check.key) for check in transaction.checks)
        for check, row in zip(transaction.checks, rows, strict=True):
            # As the store's client does with a position in a former era.
            is_known = era_of(check.version) == self.era
            if (check.version if is_known else 0) != row.version:
                return Success(Conflict(records=rows))
        self.version += 1
        version = store_position(self.era, self.version)
        for put in transaction.puts:
            self.rows[put.key] = Record(key=put.key, value=put.value, version=version)
            if put.key == KEY:
                self.writes.append(put.value)
        return lost if self.loses_answers else Success(Committed(version))


class Rows:
    def record_key(self, service: ServiceId) -> str:
        return KEY

    def outcomes_key(self, service: ServiceId) -> str:
        return OUTCOMES_KEY

    def status_put(self, record: RolloutRecord) -> Put:
        return Put(key="status", value=b"")


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
            return Milliseconds(clock.now() - start + self.clock_step)

        self.orders = {SERVICE: ORDER}
        orders = self.orders
        self.base_version_load = 0
        self.has_target_endpoint = True
        self.clock_step = 0
        self.peers_know_attempts = True
        self.tracker = RolloutTracker(
            orders=orders,
            store_now=now,
            store_era=lambda: store.era,
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
            has_target_endpoint=lambda order: self.has_target_endpoint,
            store_now=now,
            store_era=lambda: store.era,
            rows=Rows(),
            read_outcomes=store.read_outcomes,
            peers_know_attempts=lambda: self.peers_know_attempts,
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


@pytest.mark.parametrize(
    ("peers_know_attempts", "attempts"), [(True, [0, 1]), (False, [0, 0])]
)
async def test_later_rollout_of_a_version_has_another_attempt(
    peers_know_attempts: bool, attempts: list[int]
) -> None:
    """Instances of former builds move the same sessions in each attempt."""
    fleet = Fleet("a")
    instance = fleet.instances["a"]
    instance.peers_know_attempts = peers_know_attempts
    fleet.start("a")
    found = []
    for revision in (ORDER.revision, ORDER.revision + 1):
        instance.orders[SERVICE] = replace(ORDER, revision=revision)
        await fleet.pass_time(1_000)
        record = instance.tracker.record(SERVICE)
        assert record is not None
        found.append(record.attempt)
        await fleet.pass_time(DURATION)
        assert instance.progress is Progress.COMPLETED
    assert found == attempts
    assert stored(fleet.store) == ["RUNNING", "COMPLETED"] * 2
    fleet.stop()


@pytest.mark.parametrize("step", [-500_000, 500_000])
async def test_start_is_written_again_on_the_clock_of_the_restored_store(
    step: int,
) -> None:
    """Guards against instances that differ in the share, by when they have started."""
    fleet = Fleet("a", "b")
    fleet.start("a")
    await fleet.pass_time(3_000)
    fleet.store.restore(dict(fleet.store.rows))
    for instance in fleet.instances.values():
        instance.clock_step = step
        order = instance.orders[SERVICE]
        instance.orders[SERVICE] = replace(order, revision=store_position(1, 9))
    await fleet.pass_time(3_000)
    fleet.start("b")
    await fleet.pass_time(1_000)
    elapsed = []
    for instance in fleet.instances.values():
        record = instance.tracker.record(SERVICE)
        assert record is not None
        elapsed.append(instance.tracker.elapsed(record))
    assert elapsed[0] == elapsed[1]
    assert 6_000 <= elapsed[0] <= 7_200
    fleet.stop()


async def test_rollout_without_endpoints_of_its_target_is_not_completed() -> None:
    """Guards against 503 for all requests, as the old endpoints stop then."""
    fleet = Fleet("a")
    instance = fleet.instances["a"]
    instance.has_target_endpoint = False
    fleet.start("a")
    await fleet.pass_time(DURATION)
    assert stored(fleet.store) == ["RUNNING"]
    instance.has_target_endpoint = True
    await fleet.pass_time(1_000)
    assert stored(fleet.store) == ["RUNNING", "COMPLETED"]
    fleet.stop()
