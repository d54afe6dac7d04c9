"""Carrying ordered roll-outs out, by one instance at a time."""

from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Protocol

import msgspec
from returns.result import Failure, Result

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import RolloutOrder
from fuchsiaroute.hashing import rendezvous_order
from fuchsiaroute.ids import InstanceId, ServiceId, VersionId
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.staging._tracker import Progress, RolloutRecord, RolloutTracker
from fuchsiaroute.store import (
    Check,
    Committed,
    Conflict,
    Put,
    Record,
    StoreError,
    Transaction,
)

#: Time that each instance leaves to those before it to act.
TURN = Milliseconds(600)
#: Instances that take turns; the rest act only if none of these has.
MOST_TURNS = 5
#: Pause after a write that failed; doubles up to the longest. A store that turns this
#: instance away may serve another, whose turn comes meanwhile.
FIRST_RETRY_PAUSE = Milliseconds(400)
LONGEST_RETRY_PAUSE = Milliseconds(1_600)
#: Pause between two looks at the orders.
INTERVAL = Milliseconds(200)


class RolloutStore(Protocol):
    """The part of the store that roll-outs need."""

    async def commit(
        self, transaction: Transaction
    ) -> Result[Committed | Conflict, StoreError]:
        """Apply ``transaction`` as a whole, or nothing of it."""


class RolloutDriver:
    """
    Moves each ordered roll-out on under a condition on its record.

    Any instance may act; the order of preference only avoids races. A lost answer is
    resolved by the conflict that the next attempt meets.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        store: RolloutStore,
        tracker: RolloutTracker,
        orders: Mapping[ServiceId, RolloutOrder],
        clock: Clock,
        log: LineLog,
        instances: Callable[[], list[InstanceId]],
        old_version_load: Callable[[RolloutOrder], int],
        store_now: Callable[[], Milliseconds | None],
        record_key: Callable[[ServiceId], str],
        status_put: Callable[[RolloutRecord], Put],
        on_change: Callable[[], None],
    ) -> None:
        self._instance = instance
        self._store = store
        self._tracker = tracker
        self._orders = orders
        self._clock = clock
        self._log = log
        self._instances = instances
        self._old_load = old_version_load
        self._store_now = store_now
        self._record_key = record_key
        self._status_put = status_put
        self._on_change = on_change
        self._versions: dict[ServiceId, int] = {}
        self._due_since: dict[tuple[ServiceId, int, Progress], Milliseconds] = {}
        self._retry_at = Milliseconds(0)
        self._retry_pause = FIRST_RETRY_PAUSE

    async def run(self) -> None:
        """Look at the orders from time to time until cancelled."""
        while True:
            for order in list(self._orders.values()):
                await self._advance(order)
            await self._clock.sleep(INTERVAL)

    def learn_row(self, service: ServiceId, value: bytes, version: int) -> None:
        """Take over a record that was read from the store."""
        self._versions[service] = version
        record = decode_record(service, value)
        if record is not None:
            self._tracker.apply_record(record, source="store")
        elif value:
            self._log.write("rollout:unreadable-record", service=service)

    async def _advance(self, order: RolloutOrder) -> None:
        self._tracker.evaluate(order)
        progress = self._next_progress(order)
        if progress is None:
            return
        key = (order.service, order.revision, progress)
        now = self._clock.now()
        since = self._due_since.setdefault(key, now)
        if now - since < self._turn(order) * TURN or now < self._retry_at:
            return
        await self._write(order, progress)

    def _next_progress(self, order: RolloutOrder) -> Progress | None:
        record = self._tracker.record(order.service)
        if record is None:
            return Progress.RUNNING
        if record.progress is not Progress.RUNNING:
            return None
        if self._tracker.is_suspended(order.service, order.revision):
            return Progress.ROLLED_BACK
        if self._tracker.may_complete(order, old_version_load=self._old_load(order)):
            return Progress.COMPLETED
        return None

    def _turn(self, order: RolloutOrder) -> int:
        """Return how many instances are to act before this one."""
        names = rendezvous_order(f"{order.service}:{order.revision}", self._instances())
        position = names.index(self._instance) if self._instance in names else 0
        return min(position, MOST_TURNS)

    async def _write(self, order: RolloutOrder, progress: Progress) -> None:
        store_now = self._store_now()
        if store_now is None:
            return
        known = self._tracker.record(order.service)
        if known is None:
            record = RolloutRecord(
                service=order.service,
                target=order.target,
                order=order.revision,
                progress=progress,
                started=store_now,
            )
        else:
            record = replace(known, progress=progress)
        key = self._record_key(order.service)
        version = self._versions.get(order.service, 0)
        answer = await self._store.commit(
            Transaction(
                checks=(Check(key=key, version=version),),
                puts=(
                    Put(key=key, value=encode_record(record)),
                    self._status_put(record),
                ),
            )
        )
        if isinstance(answer, Failure):
            self._retry_at = Milliseconds(self._clock.now() + self._retry_pause)
            self._retry_pause = min(
                Milliseconds(self._retry_pause * 2), LONGEST_RETRY_PAUSE
            )
            self._log.write(
                "rollout:write-failed",
                service=order.service,
                progress=progress.name.lower(),
                reason=answer.failure().message,
            )
            return
        self._retry_pause = FIRST_RETRY_PAUSE
        outcome = answer.unwrap()
        if isinstance(outcome, Conflict):
            self._learn_conflict(order.service, outcome.records)
        else:
            self._versions[order.service] = outcome.version
            self._tracker.apply_record(record, source="own write")
        self._on_change()

    def _learn_conflict(self, service: ServiceId, records: tuple[Record, ...]) -> None:
        for record in records:
            self._log.write(
                "rollout:conflict", service=service, revision=record.version
            )
            self.learn_row(service, record.value, record.version)


class _StoredRecord(msgspec.Struct):
    target: str
    order: int
    progress: str
    started: int


_DECODER = msgspec.json.Decoder(_StoredRecord)


def encode_record(record: RolloutRecord) -> bytes:
    """Return the value of a record's row."""
    return msgspec.json.encode(
        _StoredRecord(
            target=record.target,
            order=record.order,
            progress=record.progress.name,
            started=record.started,
        )
    )


def decode_record(service: ServiceId, value: bytes) -> RolloutRecord | None:
    """Decode the value of a record's row; None if it cannot be read."""
    try:
        found = _DECODER.decode(value)
        progress = Progress[found.progress]
    except (msgspec.MsgspecError, KeyError):
        return None
    return RolloutRecord(
        service=service,
        target=VersionId(found.target),
        order=found.order,
        progress=progress,
        started=Milliseconds(found.started),
    )
