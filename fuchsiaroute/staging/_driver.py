"""Advances ordered roll-outs by conditional writes to the store."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import replace
from typing import Protocol

from returns.result import Failure, Result

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import RolloutOrder
from fuchsiaroute.hashing import rendezvous_order
from fuchsiaroute.ids import InstanceId, ServiceId, VersionId
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.staging._codec import (
    decode_outcomes,
    decode_record,
    encode_outcomes,
    encode_record,
)
from fuchsiaroute.staging._outcomes import Outcome
from fuchsiaroute.staging._records import Progress, RolloutRecord
from fuchsiaroute.staging._tracker import RolloutTracker
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
#: Delay after a failed read of the outcomes at the start.
LOAD_RETRY_DELAY = Milliseconds(1_000)
#: Time for which peers may still report that an outcome is in the store, as it was
#: written with the record, before it is written by itself.
UNSTORED_DELAY = Milliseconds(1_000)
#: Time between two checks of the orders.
CHECK_INTERVAL = Milliseconds(200)


class RolloutStore(Protocol):
    """The part of the store that the driver uses."""

    async def commit(
        self, transaction: Transaction
    ) -> Result[Committed | Conflict, StoreError]:
        """Apply the whole ``transaction`` or none of it."""


class RolloutRows(Protocol):
    """The rows of a service in the store."""

    def record_key(self, service: ServiceId) -> str:
        """Return the key of the record of the service's roll-out."""

    def outcomes_key(self, service: ServiceId) -> str:
        """Return the key of the outcomes of the service's versions."""

    def status_put(self, record: RolloutRecord) -> Put:
        """Return the write that reports the progress of a roll-out to operators."""


class RolloutDriver:
    """
    Advances each ordered roll-out by writes under a condition on its record.

    Any instance may write; instances take turns only to avoid conflicts. After a lost
    answer, the next write succeeds or returns the current record as a conflict.

    What the roll-outs of a service's versions came to is written in the same
    transaction, to a row of its own: the record is replaced by that of the next order.
    An instance reads these rows once when it starts. ``read_outcomes`` returns them.
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
        has_target_endpoint: Callable[[RolloutOrder], bool],
        store_now: Callable[[], Milliseconds | None],
        store_era: Callable[[], int],
        rows: RolloutRows,
        read_outcomes: Callable[
            [], Awaitable[Result[dict[ServiceId, Record], StoreError]]
        ],
        peers_know_attempts: Callable[[], bool],
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
        self._has_target_endpoint = has_target_endpoint
        self._store_now = store_now
        self._store_era = store_era
        self._rows = rows
        self._read_outcomes = read_outcomes
        self._peers_know_attempts = peers_know_attempts
        self._on_change = on_change
        #: Version of each row, by its key.
        self._versions: dict[str, int] = {}
        self._unstored_since: dict[ServiceId, Milliseconds] = {}
        self._due_since: dict[tuple[ServiceId, int, Progress], Milliseconds] = {}
        self._retry_at = Milliseconds(0)
        self._retry_delay = MIN_RETRY_DELAY
        self._load_at = Milliseconds(0)
        #: Whether the outcomes of former roll-outs have been read.
        self.is_loaded = False

    async def run(self) -> None:
        """Check the orders every ``CHECK_INTERVAL`` until cancelled."""
        while True:
            if not self.is_loaded and self._clock.now() >= self._load_at:
                await self._load()
            for order in list(self._orders.values()):
                await self._advance(order)
            for service in self._tracker.outcomes.services():
                await self._store_outcomes(service)
            await self._clock.sleep(CHECK_INTERVAL)

    async def _load(self) -> None:
        answer = await self._read_outcomes()
        if isinstance(answer, Failure):
            self._load_at = Milliseconds(self._clock.now() + LOAD_RETRY_DELAY)
            reason = answer.failure().message
            self._log.write("rollout:outcomes-not-read", reason=reason)
            return
        for service, record in answer.unwrap().items():
            self._apply_outcomes(service, record)
        self.is_loaded = True

    def _apply_record(self, service: ServiceId, row: Record) -> None:
        """Store the record in a row of the store and the row's version."""
        self._versions[row.key] = row.version
        record = decode_record(service, row.value)
        if record is not None:
            self._tracker.apply_record(record, source="store")
        elif row.value:
            self._log.write("rollout:unreadable-record", service=service)

    def _apply_outcomes(self, service: ServiceId, row: Record) -> None:
        """Store the outcomes in a row of the store and the row's version."""
        self._versions[row.key] = row.version
        found = decode_outcomes(row.value, era=era_of(row.version))
        if found is None:
            if row.value:
                self._log.write("rollout:unreadable-outcomes", service=service)
            return
        for version, outcome in found.items():
            self._tracker.apply_outcome(service, version, outcome, source="store")

    async def _advance(self, order: RolloutOrder) -> None:
        self._tracker.evaluate(order)
        progress = self._next_progress(order)
        if progress is None:
            return
        key = (order.service, order.revision, progress)
        now = self._clock.now()
        due_since = self._due_since.setdefault(key, now)
        turn = self._turn(f"{order.service}:{order.revision}")
        if now - due_since < turn * TURN_TIME or now < self._retry_at:
            return
        await self._write(order, progress)

    async def _store_outcomes(self, service: ServiceId) -> None:
        """Write outcomes that are held here and not in the store."""
        era = self._store_era()
        if not self.is_loaded or self._tracker.are_outcomes_stored(service, era=era):
            self._unstored_since.pop(service, None)
            return
        now = self._clock.now()
        since = self._unstored_since.setdefault(service, now)
        turn = self._turn(f"{service}:outcomes")
        is_due = now - since >= UNSTORED_DELAY + turn * TURN_TIME
        # Instances without a turn of their own learn from the others that it is done.
        if is_due and turn < MAX_TURNS and now >= self._retry_at:
            await self._commit(service, self._tracker.settled_outcomes(service))

    def _next_progress(self, order: RolloutOrder) -> Progress | None:
        record = self._tracker.record(order.service)
        if record is None:
            return Progress.RUNNING
        is_running = record.progress is Progress.RUNNING
        if is_running and self._tracker.is_suspended(order.service, order.revision):
            return Progress.ROLLED_BACK
        if is_running and self._may_complete(order):
            return Progress.COMPLETED
        if era_of(record.order) < era_of(order.revision):
            # The store was restored from a copy, which may lack the record.
            return record.progress
        return None

    def _may_complete(self, order: RolloutOrder) -> bool:
        """
        Return whether the endpoints of the base versions may be stopped.

        They may not while no endpoint of the target could take their requests.
        """
        return self._has_target_endpoint(order) and self._tracker.may_complete(
            order, base_version_load=self._base_version_load(order)
        )

    def _turn(self, matter: str) -> int:
        """Return the number of turns before this instance's."""
        names = rendezvous_order(matter, self._instances())
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
                attempt=self._attempt(order),
            )
        else:
            record = replace(known, progress=progress, order=order.revision)
            if era_of(known.order) < era_of(order.revision):
                # The restored store may have another clock.
                elapsed = self._tracker.elapsed(known)
                record = replace(record, started=Milliseconds(store_now - elapsed))
        outcomes = self._tracker.settled_outcomes(order.service)
        outcomes[order.target] = Outcome(
            order=order.revision, progress=progress, attempt=record.attempt
        )
        await self._commit(order.service, outcomes, record=record)

    def _attempt(self, order: RolloutOrder) -> int:
        """Return the number of earlier roll-outs of an order's target."""
        former = self._tracker.outcomes.get(order.service, order.target)
        # All instances have to move the same sessions.
        if former is None or not self._peers_know_attempts():
            return 0
        return former.attempt + 1

    async def _commit(
        self,
        service: ServiceId,
        outcomes: dict[VersionId, Outcome],
        *,
        record: RolloutRecord | None = None,
    ) -> None:
        """Write the outcomes of a service, and a record with its status."""
        era = self._store_era()
        keys = [self._rows.outcomes_key(service)]
        puts = [Put(key=keys[0], value=encode_outcomes(outcomes))]
        if record is not None:
            keys.append(self._rows.record_key(service))
            puts.append(Put(key=keys[1], value=encode_record(record)))
            puts.append(self._rows.status_put(record))
        answer = await self._store.commit(
            Transaction(
                checks=tuple(
                    Check(key=key, version=self._versions.get(key, 0)) for key in keys
                ),
                puts=tuple(puts),
            )
        )
        if isinstance(answer, Failure):
            self._retry_at = Milliseconds(self._clock.now() + self._retry_delay)
            self._retry_delay = min(
                Milliseconds(self._retry_delay * 2), MAX_RETRY_DELAY
            )
            self._log.write(
                "rollout:write-failed",
                service=service,
                progress=record.progress.name.lower() if record else None,
                reason=answer.failure().message,
            )
            return
        self._retry_delay = MIN_RETRY_DELAY
        outcome = answer.unwrap()
        if isinstance(outcome, Conflict):
            self._apply_conflict(service, outcome.records)
        else:
            self._versions.update(dict.fromkeys(keys, outcome.version))
            for version, item in outcomes.items():
                stored = replace(item, stored_era=era)
                self._tracker.apply_outcome(
                    service, version, stored, source="own write"
                )
            if record is not None:
                self._tracker.apply_record(record, source="own write")
        self._on_change()

    def _apply_conflict(self, service: ServiceId, records: tuple[Record, ...]) -> None:
        apply = {
            self._rows.record_key(service): self._apply_record,
            self._rows.outcomes_key(service): self._apply_outcomes,
        }
        for record in records:
            self._log.write(
                "rollout:conflict",
                service=service,
                key=record.key,
                revision=record.version,
            )
            apply[record.key](service, record)
