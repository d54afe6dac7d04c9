"""What an instance tells its peers, and what it takes over from them."""

from collections.abc import Callable

from fuchsiaroute.catalog import Catalog, TableFeed
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.gossip import (
    FORMAT,
    GossipMessage,
    Heartbeat,
    Liveness,
    RolloutEvidence,
    RolloutUpdate,
    SessionUpdate,
    TableUpdate,
)
from fuchsiaroute.ids import (
    EndpointId,
    InstanceId,
    RequestClass,
    ServiceId,
    VersionId,
)
from fuchsiaroute.platform import NodeSettings, Row, Rows
from fuchsiaroute.pool import EndpointPool, Load
from fuchsiaroute.sequential import Evidence
from fuchsiaroute.staging import (
    Progress,
    RolloutRecord,
    RolloutTracker,
    SessionHash,
    session_key,
)

#: Sessions and signs of life told in one message, so that it fits into a datagram.
MOST_SIGHTINGS = 40
MOST_HEARTBEATS = 40
#: Oldest sighting that is told again; a lost message is made up for by later ones.
SIGHTING_AGE = Milliseconds(5_500)


class GossipExchange:
    """Composes this instance's news and applies that of others."""

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
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._catalog = catalog
        self._pool = pool
        self._tracker = tracker
        self._liveness = liveness
        self._feeds = feeds
        self._is_ready = is_ready
        self._clock = clock
        self._loads: dict[InstanceId, dict[EndpointId, Load]] = {}
        #: Instant at which some instance was known to follow a table.
        self._followed_at: dict[str, Milliseconds] = {}

    def compose(self) -> GossipMessage:
        """Return the news to send now."""
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
            heartbeats=self._heartbeats(),
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
                )
                for record in self._tracker.records()
            ],
            evidence=self._evidence(),
            suspended=[
                (order.service, order.revision)
                for order in self._catalog.rollout_orders.values()
                if self._tracker.is_suspended(order.service, order.revision)
            ],
            sessions=self._sightings(),
            answer_ages={
                name: age
                for name in self._feeds
                if (age := self.followed_age(name)) is not None
            },
        )

    def apply(self, news: GossipMessage) -> None:
        """Take over the news of another instance."""
        instance = InstanceId(news.instance)
        self._loads[instance] = {
            EndpointId(name): Load(*load) for name, load in news.loads.items()
        }
        for name, revision in news.revisions.items():
            feed = self._feeds.get(name)
            if feed is not None:
                feed.hint(revision)
        for rollout in news.rollouts:
            self._tracker.apply_record(_record(rollout), source=news.instance)
        for item in news.evidence:
            self._apply_evidence(instance, item)
        for service, revision in news.suspended:
            order = self._catalog.rollout_orders.get(ServiceId(service))
            if order is not None and order.revision == revision:
                self._tracker.suspend(order, source=news.instance)
        now = self._clock.now()
        for name, age in news.answer_ages.items():
            told_at = Milliseconds(now - age)
            known = self._followed_at.get(name, told_at)
            self._followed_at[name] = max(known, told_at)
        for sighting in news.sessions:
            self._tracker.sessions.record_served(
                sighting.session,
                VersionId(sighting.version),
                age=Milliseconds(sighting.age),
            )

    def apply_rows(self, news: TableUpdate) -> bool:
        """Take over relayed changes of a table; tell whether they were new."""
        feed = self._feeds.get(news.table)
        if feed is None or news.format != FORMAT:
            return False
        rows = tuple(
            Row(key=r.key, value=r.value, revision=r.revision) for r in news.rows
        )
        return feed.apply_relayed(
            Rows(rows=rows, revision=news.until), after=news.after
        )

    def followed_age(self, table: str) -> Milliseconds | None:
        """Return how long ago some instance was known to follow a table."""
        ages = []
        own = self._feeds[table].answer_age()
        if own is not None:
            ages.append(own)
        told_at = self._followed_at.get(table)
        if told_at is not None:
            ages.append(Milliseconds(self._clock.now() - told_at))
        return min(ages, default=None)

    def refresh(self) -> None:
        """Hand the loads of living instances on; called from time to time."""
        alive = {member.instance for member in self._liveness.alive()}
        self._loads = {
            name: loads for name, loads in self._loads.items() if name in alive
        }
        self._pool.update_peer_loads(self._loads)

    def _heartbeats(self) -> list[Heartbeat]:
        heartbeats = self._liveness.heartbeats()
        if len(heartbeats) <= MOST_HEARTBEATS:
            return heartbeats
        start = self._liveness.count * MOST_HEARTBEATS % len(heartbeats)
        return (heartbeats + heartbeats)[start : start + MOST_HEARTBEATS]

    def _evidence(self) -> list[RolloutEvidence]:
        items = []
        for order in self._catalog.rollout_orders.values():
            record = self._tracker.record(order.service)
            if record is None or record.progress is not Progress.RUNNING:
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

    def _apply_evidence(self, instance: InstanceId, item: RolloutEvidence) -> None:
        order = self._catalog.rollout_orders.get(ServiceId(item.service))
        if order is None or order.revision != item.order:
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

    def _sightings(self) -> list[SessionUpdate]:
        services = self._catalog.rollout_orders
        if not any(self._tracker.must_keep_sessions(service) for service in services):
            return []
        now = self._clock.now()
        sightings: list[SessionUpdate] = []
        for session, binding in self._tracker.sessions.recent():
            age = Milliseconds(now - binding.seen_at)
            if age > SIGHTING_AGE or len(sightings) >= MOST_SIGHTINGS:
                break
            key = session_key(SessionHash(session))
            if any(self._tracker.is_in_canary_share(name, key) for name in services):
                sightings.append(SessionUpdate(session, binding.version, age))
        return sightings


def _record(news: RolloutUpdate) -> RolloutRecord:
    return RolloutRecord(
        service=ServiceId(news.service),
        target=VersionId(news.target),
        order=news.order,
        progress=Progress(news.progress),
        started=Milliseconds(news.started),
    )
