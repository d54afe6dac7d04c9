"""Composition and application of the gossip messages of an instance."""

from collections.abc import Callable

import msgspec

from fuchsiaroute.catalog import Catalog, TableFeed
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.forwarding import LatencyEstimator, SharedEstimate
from fuchsiaroute.gossip import (
    FORMAT,
    LATEST_ADDITION,
    GossipMessage,
    LatencyUpdate,
    Liveness,
    MemberInfo,
    PromptCrash,
    PromptPartUpdate,
    RelayedRow,
    RolloutEvidence,
    RolloutUpdate,
    SessionUpdate,
    TableRequest,
    TableUpdate,
    VersionOutcome,
)
from fuchsiaroute.ids import (
    EndpointId,
    InstanceId,
    RequestClass,
    ServiceId,
    VersionId,
)
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.node._peer_tunnels import tunnel_port
from fuchsiaroute.node._permit_exchange import PermitExchange
from fuchsiaroute.node._place_exchange import PlaceExchange
from fuchsiaroute.platform import NodeSettings, Row, Rows
from fuchsiaroute.pool import EndpointPool, Load
from fuchsiaroute.quarantine import (
    CrashId,
    CrashReport,
    Quarantine,
    SubjectKey,
    SubjectReport,
)
from fuchsiaroute.sequential import Evidence
from fuchsiaroute.staging import (
    Outcome,
    Progress,
    RolloutRecord,
    RolloutTracker,
    SessionHash,
    session_key,
)
from fuchsiaroute.store import StorePosition

#: Maximum number of sessions and of heartbeats in a message, which must fit into a
#: datagram.
MAX_SESSIONS = 40
MAX_HEARTBEATS = 40
#: Maximum number of outcomes in a message; the latest orders decide.
MAX_OUTCOMES = 40
#: Rounds after which learned latencies are sent again; they change slowly.
LATENCY_ROUNDS = 8
NANOSECONDS_PER_MS = 1_000_000
#: Age up to which an endpoint counts as down because a peer has seen its crash.
MAX_NOTICE_AGE = Milliseconds(300)


_PROGRESS_VALUES = frozenset(item.value for item in Progress)


class GossipExchange:
    """Composes this instance's messages and applies those of other instances."""

    def __init__(
        self,
        *,
        settings: NodeSettings,
        catalog: Catalog,
        pool: EndpointPool,
        tracker: RolloutTracker,
        liveness: Liveness,
        feeds: dict[str, TableFeed],
        is_ready: Callable[[], bool],
        latencies: LatencyEstimator,
        quarantine: Quarantine,
        permits: PermitExchange,
        is_cut: Callable[[], bool],
        places: PlaceExchange,
        clock: Clock,
        log: LineLog,
    ) -> None:
        self._settings = settings
        self._catalog = catalog
        self._pool = pool
        self._tracker = tracker
        self._liveness = liveness
        self._feeds = feeds
        self._is_ready = is_ready
        self._latencies = latencies
        self._quarantine = quarantine
        self._permits = permits
        self._is_cut = is_cut
        self._places = places
        self._clock = clock
        self._log = log
        #: Members that were alive when loads were last removed.
        self._alive: tuple[MemberInfo, ...] = ()
        #: Latest addition to the format that each instance knows.
        self._additions: dict[InstanceId, int] = {}
        #: Monotonic time of the latest response of the store to a watch by any peer,
        #: by table.
        self._answered_at: dict[str, Milliseconds] = {}

    def compose(self) -> GossipMessage:
        """Return a message with the current state of this instance."""
        settings = self._settings
        return GossipMessage(
            format=FORMAT,
            instance=settings.instance,
            count=self._liveness.count,
            is_ready=self._is_ready(),
            frontend=str(settings.frontend),
            failure_domain=settings.failure_domain,
            port=settings.peer_ports[0],
            loads={
                str(name): (load.requests, round(load.work))
                for name, load in self._pool.own_loads().items()
            },
            heartbeats=self._liveness.heartbeats(limit=MAX_HEARTBEATS),
            revisions={
                name: feed.newest_revision for name, feed in self._feeds.items()
            },
            rollouts=[
                RolloutUpdate(
                    record.service,
                    record.target,
                    record.order,
                    record.progress.value,
                    record.started,
                    record.attempt,
                )
                for record in self._tracker.records()
            ],
            evidence=self._evidence(),
            suspended=[
                (str(service), revision)
                for service, revision in self._tracker.suspended()
            ],
            sessions=self._session_updates(),
            answer_ages={
                name: age
                for name in self._feeds
                if (age := self.answer_age(name)) is not None
            },
            leaving=[
                (str(name), started_at) for name, started_at in self._pool.leaving()
            ],
            latencies=self._latency_updates(),
            prompt_crashes=[
                PromptCrash(
                    item.id,
                    item.subject,
                    item.endpoint,
                    self._age(item.at),
                    item.follows_crash,
                )
                for item in self._quarantine.crashes()
            ],
            quarantined_parts=self._subject_updates(self._quarantine.quarantined()),
            answered_parts=self._subject_updates(self._quarantine.answered()),
            rates=self._permits.rate_updates(),
            region=settings.region,
            tunnel_port=tunnel_port(settings),
            is_cut=self._is_cut(),
            brittle=self._places.notice_updates(),
            outcomes=self._outcomes(),
            addition=LATEST_ADDITION,
        )

    def apply(self, message: GossipMessage) -> None:
        """Apply the message of another instance."""
        instance = InstanceId(message.instance)
        self._additions[instance] = message.addition
        self._pool.update_peer(
            instance,
            {EndpointId(name): Load(*load) for name, load in message.loads.items()},
        )
        for name, revision in message.revisions.items():
            feed = self._feeds.get(name)
            if feed is not None:
                feed.hint(StorePosition(revision))
        self._apply_rollouts(message)
        now = self._clock.now()
        for name, age in message.answer_ages.items():
            answered_at = Milliseconds(now - age)
            latest = self._answered_at.get(name, answered_at)
            self._answered_at[name] = max(latest, answered_at)
            if name in self._feeds:
                self._feeds[name].peer_answered(answered_at)
        self._apply_leaving(message)
        self._permits.apply_rates(message.rates, source=message.instance)
        self._places.apply_notices(message.brittle, source=message.instance)
        self._apply_crash_evidence(message)
        self._latencies.adopt(
            SharedEstimate(
                item.route,
                item.model,
                item.mean / NANOSECONDS_PER_MS,
                item.deviation / NANOSECONDS_PER_MS,
                item.peak / NANOSECONDS_PER_MS,
            )
            for item in message.latencies
        )
        for session_update in message.sessions:
            self._tracker.sessions.record_served(
                session_update.session,
                VersionId(session_update.version),
                age=Milliseconds(session_update.age),
                is_own=False,
            )

    def _apply_rollouts(self, message: GossipMessage) -> None:
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

    def _apply_crash_evidence(self, message: GossipMessage) -> None:
        for answered in message.answered_parts:
            self._quarantine.apply_answer(self._subject_report(answered))
        crashes = self._quarantine.apply_crashes(
            [
                CrashReport(
                    id=CrashId(crash.id),
                    subject=SubjectKey(crash.part),
                    endpoint=EndpointId(crash.endpoint),
                    at=Milliseconds(self._clock.now() - crash.age),
                    follows_crash=crash.follows_crash,
                )
                for crash in message.prompt_crashes
            ]
        )
        for report in crashes:
            if self._age(report.at) < MAX_NOTICE_AGE:
                self._pool.record_crash(report.endpoint)
        for quarantined in message.quarantined_parts:
            self._quarantine.apply_quarantine(
                self._subject_report(quarantined), source=message.instance
            )

    def _subject_updates(self, reports: list[SubjectReport]) -> list[PromptPartUpdate]:
        return [
            PromptPartUpdate(item.subject, self._age(item.at), list(item.companions))
            for item in reports
        ]

    def _subject_report(self, update: PromptPartUpdate) -> SubjectReport:
        at = Milliseconds(self._clock.now() - update.age)
        companions = frozenset(SubjectKey(item) for item in update.companions)
        return SubjectReport(SubjectKey(update.part), at, companions)

    def _age(self, instant: Milliseconds) -> Milliseconds:
        return Milliseconds(self._clock.now() - instant)

    def _latency_updates(self) -> list[LatencyUpdate]:
        if self._liveness.count % LATENCY_ROUNDS:
            return []
        return [
            LatencyUpdate(
                item.route,
                item.model,
                round(item.mean * NANOSECONDS_PER_MS),
                round(item.deviation * NANOSECONDS_PER_MS),
                round(item.peak * NANOSECONDS_PER_MS),
            )
            for item in self._latencies.learned()
        ]

    def _apply_leaving(self, message: GossipMessage) -> None:
        for name, started_at in message.leaving:
            if self._pool.mark_leaving(EndpointId(name), started_at):
                self._log.write(
                    "endpoint:leaving",
                    endpoint=name,
                    born=started_at,
                    source=message.instance,
                )

    def apply_table_update(self, update: TableUpdate) -> bool:
        """Apply relayed changes of a table; return whether they were new."""
        feed = self._feeds.get(update.table)
        if feed is None or update.format != FORMAT:
            return False
        rows = tuple(
            Row(key=r.key, value=r.value, revision=StorePosition(r.revision))
            for r in update.rows
        )
        if update.recovery_age is not None:
            recovered_at = Milliseconds(self._clock.now() - update.recovery_age)
            self._catalog.store_recovered(recovered_at)
        return feed.apply_relayed(
            Rows(rows=rows, revision=StorePosition(update.until)),
            after=None if update.is_whole else StorePosition(update.after),
        )

    def peers_know(self, addition: int) -> bool:
        """Return whether all instances that are alive know an addition."""
        return all(
            self._additions.get(member.instance, 0) >= addition
            for member in self._liveness.alive()
        )

    def missing_rows(self) -> list[TableRequest]:
        """Return what to ask peers for, as the store does not deliver it."""
        return [
            TableRequest(format=FORMAT, table=name, after=after)
            for name, feed in self._feeds.items()
            if (after := feed.missing_after()) is not None
        ]

    def rows_for(self, request: TableRequest) -> TableUpdate | None:
        """Return the changes that another instance lacks, if they are held here."""
        feed = self._feeds.get(request.table)
        after = StorePosition(request.after)
        found = feed.changes_after(after) if feed is not None else None
        if found is None:
            return None
        rows, is_whole = found
        update = self.table_update(
            request.table, rows, after=None if is_whole else after
        )
        return msgspec.structs.replace(update, is_reply=True)

    def table_update(
        self, table: str, rows: Rows, *, after: StorePosition | None
    ) -> TableUpdate:
        """Return the message with changes since ``after``; None for a whole table."""
        return TableUpdate(
            format=FORMAT,
            table=table,
            after=rows.revision if after is None else after,
            until=rows.revision,
            rows=[RelayedRow(row.key, row.value, row.revision) for row in rows.rows],
            is_whole=after is None,
            recovery_age=self._catalog.recovery_age(),
        )

    def answer_age(self, table: str) -> Milliseconds | None:
        """Return the age of the store's latest response to a watch by any instance."""
        ages = []
        own = self._feeds[table].answer_age()
        if own is not None:
            ages.append(own)
        peers = self.peers_answer_age(table)
        if peers is not None:
            ages.append(peers)
        return min(ages, default=None)

    def peers_answer_age(self, table: str) -> Milliseconds | None:
        """Return the age of the store's latest response to a watch by any peer."""
        answered_at = self._answered_at.get(table)
        if answered_at is None:
            return None
        return Milliseconds(self._clock.now() - answered_at)

    def refresh(self) -> None:
        """Remove the loads of dead instances from the pool; called periodically."""
        alive = self._liveness.alive()
        if alive is not self._alive:
            self._alive = alive
            self._pool.keep_peers(item.instance for item in alive)

    def _evidence(self) -> list[RolloutEvidence]:
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

    def _outcomes(self) -> list[VersionOutcome]:
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

    def _session_updates(self) -> list[SessionUpdate]:
        services = self._catalog.rollout_orders
        if not any(self._tracker.must_keep_sessions(service) for service in services):
            return []

        def is_moved_first(session: int) -> bool:
            key = session_key(SessionHash(session))
            return any(
                self._tracker.is_in_canary_share(service, key) for service in services
            )

        return [
            SessionUpdate(session, binding.version, self._age(binding.served_at))
            for session, binding in self._tracker.sessions.take_reports(
                is_moved_first, limit=MAX_SESSIONS
            )
        ]


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
