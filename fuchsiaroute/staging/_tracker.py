"""Decides which versions of a service a request may use during a roll-out."""

from collections.abc import Callable, Iterator, Mapping
from typing import NewType

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import RolloutOrder
from fuchsiaroute.hashing import UnitKey, unit_fraction
from fuchsiaroute.ids import RequestClass, RolloutId, ServiceId, VersionId
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.staging._counts import RolloutCounts
from fuchsiaroute.staging._elapsed import ElapsedTimes
from fuchsiaroute.staging._outcomes import Outcome, RolloutOutcomes
from fuchsiaroute.staging._record_book import RecordBook
from fuchsiaroute.staging._records import Progress, RolloutRecord
from fuchsiaroute.staging._schedule import (
    CANARY_PART,
    GROWTH,
    may_complete,
    must_keep_sessions,
    share_of_sessions,
    stage_index,
)
from fuchsiaroute.staging._sessions import SessionVersions
from fuchsiaroute.staging._version_standings import Standing, VersionStandings
from fuchsiaroute.store import era_of

#: Hash of a session's key; equal at all instances.
SessionHash = NewType("SessionHash", int)


def session_key(session: SessionHash) -> UnitKey:
    """Return the key that decides when a roll-out moves a session."""
    return UnitKey(session.to_bytes(8, "big"))


class RolloutTracker:
    """
    Decides the versions of each request from orders, records and sessions.

    The share of the target version is a function of the store's clock, so that all
    instances agree on it without exchanging messages. The target is the ordered
    version; the base versions are those others that no roll-out has left rejected or
    unproven.
    """

    def __init__(
        self,
        *,
        orders: Mapping[ServiceId, RolloutOrder],
        store_now: Callable[[], Milliseconds | None],
        store_era: Callable[[], int] = lambda: 0,
        clock: Clock,
        log: LineLog,
        session_pause: Milliseconds,
        canary_share: float,
    ) -> None:
        self._orders = orders
        self._log = log
        self._canary_share = canary_share
        self._records = RecordBook(orders)
        self._counts: dict[tuple[ServiceId, int], RolloutCounts] = {}
        self._suspended: set[tuple[ServiceId, int]] = set()
        self._times = ElapsedTimes(
            clock=clock, store_now=store_now, store_era=store_era
        )
        #: What the roll-outs of all versions came to, former ones included.
        self.outcomes = RolloutOutcomes()
        self._standings = VersionStandings(
            self.outcomes, is_suspended=self.is_suspended
        )
        #: Versions that sessions are bound to.
        self.sessions = SessionVersions(clock=clock, pause=session_pause)

    def record(self, service: ServiceId) -> RolloutRecord | None:
        """Return the record of the current order; None if it has not started."""
        return self._records.get(service)

    def records(self) -> list[RolloutRecord]:
        """Return the latest record of each service, for the other instances."""
        return self._records.latest()

    def apply_record(self, record: RolloutRecord, *, source: str) -> None:
        """Store a record unless a newer one is held."""
        self.outcomes.merge(
            record.service,
            record.target,
            Outcome(
                order=record.order, progress=record.progress, attempt=record.attempt
            ),
        )
        if not self._records.apply(record):
            return
        self._log.write(
            "rollout:progress",
            service=record.service,
            target=record.target,
            order=record.order,
            progress=record.progress.name.lower(),
            started=record.started,
            source=source,
        )

    def apply_outcome(
        self, service: ServiceId, version: VersionId, outcome: Outcome, *, source: str
    ) -> None:
        """Store what a roll-out of a version came to, unless a later one is held."""
        if self.outcomes.merge(service, version, outcome):
            self._log.write(
                "rollout:outcome",
                service=service,
                target=version,
                order=outcome.order,
                progress=outcome.progress.name.lower(),
                source=source,
            )

    def settled_outcomes(self, service: ServiceId) -> dict[VersionId, Outcome]:
        """
        Return the outcomes of a service, with verdicts on interrupted roll-outs.

        The record of an interrupted roll-out is not written any more, so the evidence
        of this or another instance against its target decides.
        """
        outcomes = dict(self.outcomes.of_service(service))
        for trial in self._interrupted(service):
            if self.is_suspended(service, trial.revision):
                outcomes[trial.target] = Outcome(
                    order=trial.revision,
                    progress=Progress.ROLLED_BACK,
                    attempt=outcomes[trial.target].attempt,
                )
        return outcomes

    def are_outcomes_stored(self, service: ServiceId, *, era: int) -> bool:
        """Return whether the store of ``era`` holds all outcomes of a service."""
        return self.outcomes.are_stored(service, era=era) and self.settled_outcomes(
            service
        ) == self.outcomes.of_service(service)

    def begin_order(self, order: RolloutOrder) -> None:
        """Record that an order is none that was known in a former era."""
        self._records.begin_order(order)

    def continue_order(self, former: RolloutOrder, order: RolloutOrder) -> None:
        """Keep the state of ``former`` for the same order in a later era."""
        old = (former.service, former.revision)
        new = (order.service, order.revision)
        self._records.continue_order(former, order)
        if old in self._suspended:
            self._suspended.add(new)
        if old in self._counts:
            self._counts[new] = self._counts.pop(old)

    def elapsed(self, record: RolloutRecord) -> Milliseconds:
        """Return the time since a roll-out started; 0 without the store's clock."""
        first = self._records.first_revision(record.service, record.order)
        return self._times.get(
            (record.service, first), started=record.started, era=era_of(record.order)
        )

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
        bound = self.sessions.version(session) if session is not None else None
        order = self._orders.get(service)
        if order is None:
            usable = self._standings.usable(service, present, bound=bound)
            return None if usable == present else usable
        target = frozenset({order.target}) & present
        base = self._standings.usable(service, present - target, bound=bound)
        record = self.record(service)
        if record is not None and record.progress is Progress.COMPLETED:
            return target or (None if base == present else base)
        if self.is_suspended(service, order.revision):
            return base
        if record is None:
            return base or (None if present == target else target)
        if record.progress is Progress.ROLLED_BACK:
            return base
        if not target or not base:
            return target or base
        return target if self._is_moved(order, record, bound, key) else base

    def is_base(self, service: ServiceId, version: VersionId) -> bool:
        """Return whether a version is one that a roll-out's target is compared with."""
        order = self._orders.get(service)
        if order is None or version != order.target:
            return self._standings.get(service, version) is Standing.ACCEPTED
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
        """Count an answer as evidence on the targets of the service's trials."""
        if service not in self._orders and not self.outcomes.of_service(service):
            return
        is_base = self.is_base(service, version)
        for trial in list(self.trials(service)):
            is_target = version == trial.target
            if is_target or is_base:
                self.counts(trial).add(request_class, version, is_bad=is_bad)
            if is_target and is_bad:
                self.evaluate(trial)

    def trials(self, service: ServiceId) -> Iterator[RolloutOrder]:
        """
        Return the orders on whose targets evidence is collected.

        These are the order in force, and former ones that were interrupted: sessions
        that are bound to their targets still use them.
        """
        order = self._orders.get(service)
        if order is not None and self.record(service) is not None:
            yield order
        yield from self._interrupted(service)

    def _interrupted(self, service: ServiceId) -> Iterator[RolloutOrder]:
        """Return former orders that were replaced or removed before their outcome."""
        order = self._orders.get(service)
        for version, outcome in self.outcomes.of_service(service).items():
            is_target = order is not None and version == order.target
            if not is_target and outcome.progress is Progress.RUNNING:
                yield RolloutOrder(
                    service=service,
                    target=version,
                    duration=Milliseconds(0),
                    revision=outcome.order,
                )

    def trial(self, service: ServiceId, revision: int) -> RolloutOrder | None:
        """Return the trial of an order's revision; None if there is none."""
        order = self._orders.get(service)
        if order is not None and order.revision == revision:
            return order
        found = (item for item in self.trials(service) if item.revision == revision)
        return next(found, None)

    def evaluate(self, trial: RolloutOrder) -> None:
        """Suspend the target at this instance if the evidence shows it to be bad."""
        if self.is_suspended(trial.service, trial.revision):
            return
        if self.is_running(trial) and self.counts(trial).is_bad():
            self.suspend(trial, source="own evidence")

    def suspend(self, order: RolloutOrder, *, source: str) -> None:
        """Stop using the target at this instance; ``source`` is who found it bad."""
        key = (order.service, order.revision)
        if key in self._suspended or not self.is_running(order):
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

    def is_running(self, trial: RolloutOrder) -> bool:
        """Return whether a trial has begun and its outcome is open."""
        if self._orders.get(trial.service) == trial:
            record = self.record(trial.service)
            return record is not None and record.progress is Progress.RUNNING
        outcome = self.outcomes.get(trial.service, trial.target)
        return (
            outcome is not None
            and outcome.order == trial.revision
            and outcome.progress is Progress.RUNNING
        )

    def all_trials(self) -> list[RolloutOrder]:
        """Return the trials of all services."""
        services = dict.fromkeys((*self._orders, *self.outcomes.services()))
        return [trial for service in services for trial in self.trials(service)]

    def suspended(self) -> list[tuple[ServiceId, int]]:
        """Return the service and order of each trial that was stopped here."""
        return [
            (trial.service, trial.revision)
            for trial in self.all_trials()
            if self.is_suspended(trial.service, trial.revision)
        ]

    def is_suspended(self, service: ServiceId, order: int) -> bool:
        """Return whether this instance has stopped using the order's target."""
        return (service, order) in self._suspended

    def counts(self, order: RolloutOrder) -> RolloutCounts:
        """Return the counts of answers during a roll-out."""
        key = (order.service, order.revision)
        counts = self._counts.get(key)
        if counts is None:
            counts = RolloutCounts(_rollout_id(order, None), target=order.target)
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
        rollout = _rollout_id(order, self.record(service))
        return unit_fraction(rollout, key) < CANARY_PART * self._canary_share

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
        bound: VersionId | None,
        key: UnitKey,
    ) -> bool:
        elapsed = self.elapsed(record)
        if bound == order.target:
            return True
        if bound is not None and must_keep_sessions(elapsed, order.duration):
            return False
        share = share_of_sessions(
            elapsed, order.duration, canary_share=self._canary_share
        )
        return unit_fraction(_rollout_id(order, record), key) < share


def _rollout_id(order: RolloutOrder, record: RolloutRecord | None) -> RolloutId:
    """
    Return an id that decides which sessions a roll-out moves first.

    It stays the same when the store is restored from a copy. The first roll-out of a
    version has the id that builds without attempts use.
    """
    name = f"{order.service}:{order.target}"
    attempt = record.attempt if record is not None else 0
    return RolloutId(f"{name}:{attempt}" if attempt else name)
