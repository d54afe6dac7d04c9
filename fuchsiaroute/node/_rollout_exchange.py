"""What instances tell each other of roll-outs."""

from collections.abc import Mapping

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import RolloutOrder
from fuchsiaroute.gossip import (
    GossipMessage,
    RolloutEvidence,
    RolloutUpdate,
    SessionUpdate,
    VersionOutcome,
)
from fuchsiaroute.ids import InstanceId, RequestClass, ServiceId, VersionId
from fuchsiaroute.sequential import Evidence
from fuchsiaroute.staging import (
    Outcome,
    Progress,
    RolloutRecord,
    RolloutTracker,
    SessionBinding,
    SessionHash,
    session_key,
)

#: Maximum number of sessions in a message, which must fit into a datagram.
MAX_SESSIONS = 40
#: Maximum number of outcomes in a message; the latest orders decide.
MAX_OUTCOMES = 40
_PROGRESS_VALUES = frozenset(item.value for item in Progress)


class RolloutExchange:
    """The parts of gossip messages that are about roll-outs."""

    def __init__(
        self,
        *,
        tracker: RolloutTracker,
        orders: Mapping[ServiceId, RolloutOrder],
        clock: Clock,
    ) -> None:
        self._tracker = tracker
        self._orders = orders
        self._clock = clock

    def records(self) -> list[RolloutUpdate]:
        """Return the latest record of each service."""
        return [
            RolloutUpdate(
                record.service,
                record.target,
                record.order,
                record.progress.value,
                record.started,
                record.attempt,
            )
            for record in self._tracker.records()
        ]

    def suspended(self) -> list[tuple[str, int]]:
        """Return service and order of the roll-outs that were stopped here."""
        return [
            (str(service), revision) for service, revision in self._tracker.suspended()
        ]

    def evidence(self) -> list[RolloutEvidence]:
        """Return the answers that this instance counted in running roll-outs."""
        items = []
        for order in self._tracker.all_trials():
            if not self._tracker.is_running(order):
                continue
            for name, evidence in self._tracker.counts(order).own().items():
                items.append(
                    RolloutEvidence(
                        order.service,
                        order.revision,
                        name,
                        evidence.target_ratings,
                        evidence.target_bad,
                        evidence.base_ratings,
                        evidence.base_bad,
                    )
                )
        return items

    def outcomes(self) -> list[VersionOutcome]:
        """Return what the roll-outs of versions came to, the latest first."""
        latest = sorted(
            self._tracker.outcomes, key=lambda item: item[2].sort_key, reverse=True
        )
        return [
            VersionOutcome(
                service,
                version,
                outcome.order,
                outcome.progress.value,
                outcome.stored_era,
                outcome.attempt,
            )
            for service, version, outcome in latest[:MAX_OUTCOMES]
        ]

    def sessions(self) -> list[SessionUpdate]:
        """Return sessions that a roll-out could move, and their versions."""
        services = self._orders
        if not any(self._tracker.must_keep_sessions(service) for service in services):
            return []

        def is_moved_first(session: int) -> bool:
            key = session_key(SessionHash(session))
            return any(
                self._tracker.is_in_canary_share(service, key) for service in services
            )

        return [
            SessionUpdate(session, binding.version, self._age(binding))
            for session, binding in self._tracker.sessions.take_reports(
                is_moved_first, limit=MAX_SESSIONS
            )
        ]

    def apply(self, message: GossipMessage) -> None:
        """Apply the message of another instance."""
        # Outcomes state whether they are stored, which records leave open.
        for outcome in message.outcomes:
            if outcome.progress in _PROGRESS_VALUES:
                self._tracker.apply_outcome(
                    ServiceId(outcome.service),
                    VersionId(outcome.version),
                    Outcome(
                        order=outcome.order,
                        progress=Progress(outcome.progress),
                        attempt=outcome.attempt,
                        stored_era=outcome.stored_era,
                    ),
                    source=message.instance,
                )
        for rollout in message.rollouts:
            record = _record(rollout)
            if record is not None:
                self._tracker.apply_record(record, source=message.instance)
        for item in message.evidence:
            self._apply_evidence(InstanceId(message.instance), item)
        for service, revision in message.suspended:
            trial = self._tracker.trial(ServiceId(service), revision)
            if trial is not None:
                self._tracker.suspend(trial, source=message.instance)
        for session in message.sessions:
            self._tracker.sessions.record_served(
                session.session,
                VersionId(session.version),
                age=Milliseconds(session.age),
                is_own=False,
            )

    def _apply_evidence(self, instance: InstanceId, item: RolloutEvidence) -> None:
        order = self._tracker.trial(ServiceId(item.service), item.order)
        if order is None:
            return
        evidence = Evidence(
            target_ratings=item.target_ratings,
            target_bad=item.target_bad,
            base_ratings=item.base_ratings,
            base_bad=item.base_bad,
        )
        self._tracker.counts(order).merge(
            instance, RequestClass(item.request_class), evidence
        )
        if item.target_bad:
            self._tracker.evaluate(order)

    def _age(self, binding: SessionBinding) -> Milliseconds:
        return Milliseconds(self._clock.now() - binding.served_at)


def _record(update: RolloutUpdate) -> RolloutRecord | None:
    """Return the record in ``update``; None if its progress is not known here."""
    if update.progress not in _PROGRESS_VALUES:
        return None
    return RolloutRecord(
        service=ServiceId(update.service),
        target=VersionId(update.target),
        order=update.order,
        progress=Progress(update.progress),
        started=Milliseconds(update.started),
        attempt=update.attempt,
    )
