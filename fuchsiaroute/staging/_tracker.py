"""Decides which versions of a service a request may use during a roll-out."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NewType

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import RolloutOrder
from fuchsiaroute.hashing import UnitKey, unit_fraction
from fuchsiaroute.ids import RequestClass, RolloutId, ServiceId, VersionId
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.staging._counts import RolloutCounts
from fuchsiaroute.staging._schedule import (
    CANARY_PART,
    GROWTH,
    may_complete,
    must_keep_sessions,
    share_of_sessions,
    stage_index,
)
from fuchsiaroute.staging._sessions import SessionVersions
from fuchsiaroute.store import era_of

#: Hash of a session's key; equal at all instances.
SessionHash = NewType("SessionHash", int)


def session_key(session: SessionHash) -> UnitKey:
    """Return the key that decides when a roll-out moves a session."""
    return UnitKey(session.to_bytes(8, "big"))


class Progress(Enum):
    """State of an ordered roll-out; a higher value replaces a lower one."""

    RUNNING = 1
    COMPLETED = 2
    ROLLED_BACK = 3


@dataclass(frozen=True, kw_only=True)
class RolloutRecord:
    """The state of a roll-out, as committed to the store."""

    service: ServiceId
    target: VersionId
    #: Revision of the roll-out order.
    order: int
    progress: Progress
    #: Start on the store's clock.
    started: Milliseconds


class RolloutTracker:
    """
    Decides the versions of each request from orders, records and sessions.

    The share of the target version is a function of the store's clock, so that all
    instances agree on it without exchanging messages. The target is the ordered
    version; the base versions are all others of the service.
    """

    def __init__(
        self,
        *,
        orders: Mapping[ServiceId, RolloutOrder],
        store_now: Callable[[], Milliseconds | None],
        clock: Clock,
        log: LineLog,
        session_pause: Milliseconds,
        canary_share: float,
    ) -> None:
        self._orders = orders
        self._store_now = store_now
        self._log = log
        self._canary_share = canary_share
        self._records: dict[ServiceId, RolloutRecord] = {}
        self._counts: dict[tuple[ServiceId, int], RolloutCounts] = {}
        self._suspended: set[tuple[ServiceId, int]] = set()
        #: Longest time since the start of each roll-out.
        self._elapsed: dict[tuple[ServiceId, VersionId], int] = {}
        #: Versions that sessions are bound to.
        self.sessions = SessionVersions(clock=clock, pause=session_pause)

    def record(self, service: ServiceId) -> RolloutRecord | None:
        """Return the record of the current order; None if it has not started."""
        order = self._orders.get(service)
        record = self._records.get(service)
        if order is None or record is None or not _belongs_to(record, order):
            return None
        return record

    def records(self) -> list[RolloutRecord]:
        """Return the latest record of each service, for the other instances."""
        return list(self._records.values())

    def apply_record(self, record: RolloutRecord, *, source: str) -> None:
        """Store a record unless a newer one is held."""
        known = self._records.get(record.service)
        if known is not None and self._sort_key(known) >= self._sort_key(record):
            return
        self._records[record.service] = record
        self._log.write(
            "rollout:progress",
            service=record.service,
            target=record.target,
            order=record.order,
            progress=record.progress.name.lower(),
            started=record.started,
            source=source,
        )

    def continue_order(self, former: RolloutOrder, order: RolloutOrder) -> None:
        """Keep the state of ``former`` for the same order in a later era."""
        old = (former.service, former.revision)
        new = (order.service, order.revision)
        if old in self._suspended:
            self._suspended.add(new)
        if old in self._counts:
            self._counts[new] = self._counts.pop(old)

    def _sort_key(self, record: RolloutRecord) -> tuple[int, int, int]:
        """Return a key by which a newer record sorts after an older one."""
        order = self._orders.get(record.service)
        position = record.order
        if order is not None and _belongs_to(record, order):
            position = order.revision
        return position, record.progress.value, record.order

    def elapsed(self, record: RolloutRecord) -> Milliseconds:
        """
        Return the time since a roll-out started; 0 without the store's clock.

        It never decreases, even if the clock of a restored store has stepped back.
        """
        now = self._store_now()
        elapsed = max(now - record.started, 0) if now is not None else 0
        key = (record.service, record.target)
        self._elapsed[key] = max(self._elapsed.get(key, 0), elapsed)
        return Milliseconds(self._elapsed[key])

    def allowed_versions(
        self,
        service: ServiceId,
        present: frozenset[VersionId],
        *,
        session: SessionHash | None,
        key: UnitKey,
    ) -> frozenset[VersionId] | None:
        """
        Return the versions that a request may use; None for any.

        ``present`` are the versions that have usable endpoints.
        """
        order = self._orders.get(service)
        if order is None:
            return None
        target = frozenset({order.target})
        base_versions = present - target
        record = self.record(service)
        if self.is_suspended(service, order.revision):
            return base_versions
        if record is None:
            return base_versions or None
        if record.progress is Progress.ROLLED_BACK:
            return base_versions
        if record.progress is Progress.COMPLETED:
            return target if order.target in present else None
        if order.target not in present:
            return base_versions
        if not base_versions:
            return target
        is_moved = self._is_moved(order, record, session, key)
        return target if is_moved else base_versions

    def is_base(self, service: ServiceId, version: VersionId) -> bool:
        """Return whether a version is not the target of an unfinished roll-out."""
        order = self._orders.get(service)
        if order is None or version != order.target:
            return True
        record = self.record(service)
        return record is not None and record.progress is Progress.COMPLETED

    def comparable_stage(
        self, service: ServiceId, *, age: Milliseconds = Milliseconds(0)
    ) -> int | None:
        """
        Return the index of a running roll-out's stage; None if there is none.

        ``age`` is the time since a request was sent. Its answer belongs to the stage of
        that time: in a later one, slow answers would be compared with faster ones to
        other requests. None is also returned for the last stage, in which no request is
        left to the base versions.
        """
        order = self._orders.get(service)
        record = self.record(service)
        if order is None or record is None or record.progress is not Progress.RUNNING:
            return None
        sent_at = Milliseconds(self.elapsed(record) - age)
        index = stage_index(sent_at, order.duration)
        return index if index < len(GROWTH) else None

    def record_answer(
        self,
        service: ServiceId,
        version: VersionId,
        request_class: RequestClass,
        *,
        is_bad: bool,
    ) -> None:
        """Count an answer as evidence on the target of the service's order."""
        order = self._orders.get(service)
        if order is None or self.record(service) is None:
            return
        self.counts(order).add(request_class, version, is_bad=is_bad)
        if is_bad and version == order.target:
            self.evaluate(order)

    def evaluate(self, order: RolloutOrder) -> None:
        """Suspend the target at this instance if the evidence shows it to be bad."""
        if self.is_suspended(order.service, order.revision):
            return
        if self._is_running(order.service) and self.counts(order).is_bad():
            self.suspend(order, source="own evidence")

    def suspend(self, order: RolloutOrder, *, source: str) -> None:
        """Stop using the target at this instance; ``source`` is who found it bad."""
        key = (order.service, order.revision)
        if key in self._suspended or not self._is_running(order.service):
            return
        self._suspended.add(key)
        self._log.write(
            "rollout:suspended",
            service=order.service,
            target=order.target,
            order=order.revision,
            source=source,
            evidence={
                name: [
                    item.target_bad,
                    item.target_ratings,
                    item.base_bad,
                    item.base_ratings,
                ]
                for name, item in self.counts(order).trial().classes.items()
            },
        )

    def _is_running(self, service: ServiceId) -> bool:
        record = self.record(service)
        return record is not None and record.progress is Progress.RUNNING

    def is_suspended(self, service: ServiceId, order: int) -> bool:
        """Return whether this instance has stopped using the order's target."""
        return (service, order) in self._suspended

    def counts(self, order: RolloutOrder) -> RolloutCounts:
        """Return the counts of answers during a roll-out."""
        key = (order.service, order.revision)
        counts = self._counts.get(key)
        if counts is None:
            counts = RolloutCounts(_rollout_id(order), target=order.target)
            self._counts[key] = counts
        return counts

    def must_keep_sessions(self, service: ServiceId) -> bool:
        """Return whether an order exists and sessions must keep their versions."""
        order = self._orders.get(service)
        if order is None:
            return False
        record = self.record(service)
        if record is None:
            return True
        if record.progress is not Progress.RUNNING:
            return False
        return must_keep_sessions(self.elapsed(record), order.duration)

    def is_in_canary_share(self, service: ServiceId, key: UnitKey) -> bool:
        """Return whether the first stage of the order moves a session."""
        order = self._orders.get(service)
        if order is None:
            return False
        return unit_fraction(_rollout_id(order), key) < CANARY_PART * self._canary_share

    def may_complete(self, order: RolloutOrder, *, base_version_load: int) -> bool:
        """Return whether the endpoints of the base versions may be stopped."""
        record = self.record(order.service)
        if record is None or record.progress is not Progress.RUNNING:
            return False
        return may_complete(
            self.elapsed(record), order.duration, base_version_load=base_version_load
        )

    def _is_moved(
        self,
        order: RolloutOrder,
        record: RolloutRecord,
        session: SessionHash | None,
        key: UnitKey,
    ) -> bool:
        elapsed = self.elapsed(record)
        bound = self.sessions.version(session) if session is not None else None
        if bound == order.target:
            return True
        if bound is not None and must_keep_sessions(elapsed, order.duration):
            return False
        share = share_of_sessions(
            elapsed, order.duration, canary_share=self._canary_share
        )
        return unit_fraction(_rollout_id(order), key) < share


def _rollout_id(order: RolloutOrder) -> RolloutId:
    """Return an id that an order keeps when the store is restored from a copy."""
    return RolloutId(f"{order.service}:{order.target}")


def _belongs_to(record: RolloutRecord, order: RolloutOrder) -> bool:
    """
    Return whether ``record`` is the state of ``order``.

    An order that is read again in another era of the store has another position there,
    and its record may not have been written again yet.
    """
    is_same_era = era_of(record.order) == era_of(order.revision)
    if is_same_era:
        return record.order == order.revision
    return record.target == order.target
