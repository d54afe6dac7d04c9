"""Advances ordered roll-outs by conditional writes to the store."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import Protocol

import msgspec
from returns.result import Failure, Result

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.decoding import Int64, MalformedDataError, decode
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
    era_of,
)

#: Time that an instance leaves to each instance ranked before it to write first.
TURN_TIME = Milliseconds(600)
#: Instances with a turn of their own; all others share the turn after the last one.
MAX_TURNS = 5
#: Delay after a failed write; doubles up to the maximum. A store that refuses this
#: instance may accept the write of another one, whose turn comes in the meantime.
MIN_RETRY_DELAY = Milliseconds(400)
MAX_RETRY_DELAY = Milliseconds(1_600)
#: Time between two checks of the orders.
CHECK_INTERVAL = Milliseconds(200)


class RolloutStore(Protocol):
    """The part of the store that the driver uses."""

    async def commit(
        self, transaction: Transaction
    ) -> Result[Committed | Conflict, StoreError]:
        """Apply the whole ``transaction`` or none of it."""


class RolloutDriver:
    """
    Advances each ordered roll-out by writes under a condition on its record.

    Any instance may write; instances take turns only to avoid conflicts. After a lost
    answer, the next write succeeds or returns the current record as a conflict.
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
        instances: Callable[[], Sequence[InstanceId]],
        base_version_load: Callable[[RolloutOrder], int],
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
        self._base_version_load = base_version_load
        self._store_now = store_now
        self._record_key = record_key
        self._status_put = status_put
        self._on_change = on_change
        self._versions: dict[ServiceId, int] = {}
        self._due_since: dict[tuple[ServiceId, int, Progress], Milliseconds] = {}
        self._retry_at = Milliseconds(0)
        self._retry_delay = MIN_RETRY_DELAY

    async def run(self) -> None:
        """Check the orders every ``CHECK_INTERVAL`` until cancelled."""
        while True:
            for order in list(self._orders.values()):
                await self._advance(order)
            await self._clock.sleep(CHECK_INTERVAL)

    def apply_row(self, service: ServiceId, value: bytes, version: int) -> None:
        """Store the record in a row of the store and the row's version."""
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
        due_since = self._due_since.setdefault(key, now)
        if now - due_since < self._turn(order) * TURN_TIME or now < self._retry_at:
            return
        await self._write(order, progress)

    def _next_progress(self, order: RolloutOrder) -> Progress | None:
        record = self._tracker.record(order.service)
        if record is None:
            return Progress.RUNNING
        is_running = record.progress is Progress.RUNNING
        if is_running and self._tracker.is_suspended(order.service, order.revision):
            return Progress.ROLLED_BACK
        if is_running and self._tracker.may_complete(
            order, base_version_load=self._base_version_load(order)
        ):
            return Progress.COMPLETED
        if era_of(record.order) < era_of(order.revision):
            # The store was restored from a copy, which may lack the record.
            return record.progress
        return None

    def _turn(self, order: RolloutOrder) -> int:
        """Return the number of turns before this instance's."""
        names = rendezvous_order(f"{order.service}:{order.revision}", self._instances())
        position = names.index(self._instance) if self._instance in names else 0
        return min(position, MAX_TURNS)

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
            record = replace(known, progress=progress, order=order.revision)
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
            self._retry_at = Milliseconds(self._clock.now() + self._retry_delay)
            self._retry_delay = min(
                Milliseconds(self._retry_delay * 2), MAX_RETRY_DELAY
            )
            self._log.write(
                "rollout:write-failed",
                service=order.service,
                progress=progress.name.lower(),
                reason=answer.failure().message,
            )
            return
        self._retry_delay = MIN_RETRY_DELAY
        outcome = answer.unwrap()
        if isinstance(outcome, Conflict):
            self._apply_conflict(order.service, outcome.records)
        else:
            self._versions[order.service] = outcome.version
            self._tracker.apply_record(record, source="own write")
        self._on_change()

    def _apply_conflict(self, service: ServiceId, records: tuple[Record, ...]) -> None:
        for record in records:
            self._log.write(
                "rollout:conflict", service=service, revision=record.version
            )
            self.apply_row(service, record.value, record.version)


class _StoredRecord(msgspec.Struct):
    target: str
    order: Int64
    progress: str
    started: Int64


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
    """Decode the value of a record's row; None if it cannot be decoded."""
    try:
        found = decode(_DECODER, value)
        progress = Progress[found.progress]
    except (MalformedDataError, KeyError):
        return None
    return RolloutRecord(
        service=service,
        target=VersionId(found.target),
        order=found.order,
        progress=progress,
        started=Milliseconds(found.started),
    )
