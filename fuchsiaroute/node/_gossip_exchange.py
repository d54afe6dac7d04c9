"""Composition and application of the gossip messages of an instance."""

from collections.abc import Callable

from fuchsiaroute.catalog import Catalog, TableFeed
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.contention import FleetDemand, Flow, FlowDemand
from fuchsiaroute.forwarding import Counters, LatencyEstimator, SharedEstimate
from fuchsiaroute.gossip import (
    FORMAT,
    LATEST_ADDITION,
    FlowUpdate,
    GossipMessage,
    LatencyUpdate,
    Liveness,
    MemberInfo,
    PromptCrash,
    PromptPartUpdate,
)
from fuchsiaroute.ids import (
    EndpointId,
    InstanceId,
    OrganisationId,
    ServiceId,
)
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.node._peer_tunnels import tunnel_port
from fuchsiaroute.node._permit_exchange import PermitExchange
from fuchsiaroute.node._place_exchange import PlaceExchange
from fuchsiaroute.node._rollout_exchange import RolloutExchange
from fuchsiaroute.platform import NodeSettings
from fuchsiaroute.pool import EndpointPool, Load, RequestQueue
from fuchsiaroute.quarantine import (
    CrashId,
    CrashReport,
    Quarantine,
    SubjectKey,
    SubjectReport,
)
from fuchsiaroute.staging import (
    RolloutTracker,
)
from fuchsiaroute.store import StorePosition

#: Maximum number of heartbeats in a message, which must fit into a datagram.
MAX_HEARTBEATS = 40
#: Restarted endpoints in a message, which must fit into a datagram.
MAX_RESTARTED = 40
#: Flows of one message that are read; a sender of this build writes fewer.
MAX_FLOWS = 64
#: Rounds after which learned latencies are sent again; they change slowly.
LATENCY_ROUNDS = 8
NANOSECONDS_PER_MS = 1_000_000
#: Age up to which an endpoint counts as down because a peer has seen its crash.
MAX_NOTICE_AGE = Milliseconds(300)


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
        queue: RequestQueue,
        fleet: FleetDemand,
        counters: Counters,
        clock: Clock,
        log: LineLog,
    ) -> None:
        self._queue = queue
        self._fleet = fleet
        self._counters = counters
        self._settings = settings
        self._catalog = catalog
        self._pool = pool
        self._rollouts = RolloutExchange(
            tracker=tracker, orders=catalog.rollout_orders, clock=clock
        )
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
            rollouts=self._rollouts.records(),
            evidence=self._rollouts.evidence(),
            suspended=self._rollouts.suspended(),
            sessions=self._rollouts.sessions(),
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
            outcomes=self._rollouts.outcomes(),
            addition=LATEST_ADDITION,
            flows=[
                FlowUpdate(*row.flow, row.running, row.waiting)
                for row in self._queue.summary()
            ],
            link=max(round(settings.link_mbps), 1),
            restarted=[
                (str(name), started_at, left)
                for name, started_at, left in self._pool.restarted()[:MAX_RESTARTED]
            ],
        )

    def apply(self, message: GossipMessage) -> None:
        """Apply the message of another instance."""
        instance = InstanceId(message.instance)
        self._additions[instance] = message.addition
        self._pool.update_peer(
            instance,
            {EndpointId(name): Load(*load) for name, load in message.loads.items()},
        )
        self._apply_flows(instance, message)
        for name, revision in message.revisions.items():
            feed = self._feeds.get(name)
            if feed is not None:
                feed.hint(StorePosition(revision))
        self._rollouts.apply(message)
        now = self._clock.now()
        for name, age in message.answer_ages.items():
            answered_at = Milliseconds(now - age)
            latest = self._answered_at.get(name, answered_at)
            self._answered_at[name] = max(latest, answered_at)
            if name in self._feeds:
                self._feeds[name].peer_answered(answered_at)
        self._apply_leaving(message)
        for name, started_at, left in message.restarted:
            self._pool.mark_restarted(EndpointId(name), started_at, Milliseconds(left))
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

    def _apply_flows(self, instance: InstanceId, message: GossipMessage) -> None:
        """Apply what another instance has running and waiting."""
        left_out = self._fleet.update(
            instance,
            (
                FlowDemand(
                    Flow(
                        ServiceId(item.service),
                        item.priority,
                        OrganisationId(item.organisation),
                    ),
                    item.running,
                    item.waiting,
                )
                for item in message.flows[:MAX_FLOWS]
                if self._is_declared(item)
            ),
        )
        if left_out:
            self._counters.add("gossip_faults", "flows")

    def _is_declared(self, item: FlowUpdate) -> bool:
        deployment = self._catalog.deployment
        return deployment is not None and item.service in deployment.services

    def _apply_leaving(self, message: GossipMessage) -> None:
        for name, started_at in message.leaving:
            if self._pool.mark_leaving(EndpointId(name), started_at):
                self._log.write(
                    "endpoint:leaving",
                    endpoint=name,
                    born=started_at,
                    source=message.instance,
                )

    def peers_know(self, addition: int) -> bool:
        """Return whether all instances that are alive know an addition."""
        return all(
            self._additions.get(member.instance, 0) >= addition
            for member in self._liveness.alive()
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
            deployment = self._catalog.deployment
            self._fleet.keep(
                (item.instance for item in alive),
                services=deployment.services if deployment is not None else (),
            )
