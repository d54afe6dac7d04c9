"""The parts of an instance, put together."""

import asyncio
from random import Random

from fuchsiaroute.catalog import Catalog, TableFeed
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import Endpoint, RolloutOrder
from fuchsiaroute.forwarding import (
    AttemptRunner,
    BufferedRelay,
    Call,
    ConnectionPool,
    Counters,
    EndpointClient,
    Forwarder,
    LatencyEstimator,
    RequestResolver,
    StreamRelay,
)
from fuchsiaroute.gossip import FORMAT, GossipNode, Liveness, RelayedRow, TableUpdate
from fuchsiaroute.hashing import rendezvous_order
from fuchsiaroute.http1 import BodyBudget, ServerLimits
from fuchsiaroute.ids import InstanceId, ServiceId
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.node._control import ControlHandler
from fuchsiaroute.node._gossip_exchange import GossipExchange
from fuchsiaroute.node._instance_registry import InstanceRegistry
from fuchsiaroute.node._metrics import MetricsHandler
from fuchsiaroute.platform import (
    NodeSettings,
    PlatformStore,
    RolloutStatus,
    Rows,
    Table,
    row_key,
    status_put,
)
from fuchsiaroute.pool import EndpointPool, RequestQueue
from fuchsiaroute.retry import WindowedRetryBudget
from fuchsiaroute.staging import Progress, RolloutDriver, RolloutRecord, RolloutTracker
from fuchsiaroute.store import Put

#: Time without a sign of life after which an instance counts as dead.
DEAD_AFTER = Milliseconds(2_000)
#: Wait of a watch at the instance that keeps its watches short: a watch that hangs on
#: a silent store is noticed there within this time and a call's time-out.
SHORT_WAIT = Milliseconds(2_000)
#: Wait of a watch at the others, which hear of missed changes from their peers.
LONG_WAIT = Milliseconds(25_000)
#: Time after a start for which callers are kept away until the progress of roll-outs
#: is known: peers tell it within two rounds of news, the store by a conflict.
ROLLOUT_NEWS_TIME = Milliseconds(1_000)
#: Instances from which on a few read the store for all. Below, as many calls are made
#: by the readers' short waits as by all with long ones.
LEAST_RELAYING = 16
#: Instances that follow a table for all; changes still arrive when one of them is cut
#: off, and if both are, all others read for themselves.
READERS = 2
#: Wait of their watches: the age of their latest answer tells the others that the
#: table is followed, and has to stay well below the drain bound.
READER_WAIT = Milliseconds(900)
#: Longest pause between two tries to reach the store during an outage: of those that
#: read for all, and of the others, which hear from them of its end.
READERS_PAUSE = Milliseconds(1_000)
OTHERS_PAUSE = Milliseconds(3_000)
#: Part of the drain bound after which an instance follows a table itself.
FOLLOWED_SHARE = 0.6
#: Least time between two readings of announcements; they change in bursts.
ENDPOINTS_INTERVAL = Milliseconds(400)
ORDERS_INTERVAL = Milliseconds(100)
#: Part of the retry budget that is used; the rest is for requests that are counted in
#: another window than their repeats.
RETRY_SHARE = 0.9
RETRY_SLACK_SHARE = 0.6
#: Part of the memory limit that request bodies may take.
BODY_SHARE = 0.2
_BYTES_PER_MB = 1_000_000
_STATUSES = {
    Progress.RUNNING: RolloutStatus.RUNNING,
    Progress.COMPLETED: RolloutStatus.COMPLETED,
    Progress.ROLLED_BACK: RolloutStatus.ROLLED_BACK,
}


class NodeParts:
    """Everything that an instance consists of, wired up but not started."""

    def __init__(
        self, settings: NodeSettings, *, clock: Clock, log: LineLog, random: Random
    ) -> None:
        self._settings = settings
        self._clock = clock
        self.is_stopping = False
        bounds = settings.bounds
        self.log = log
        self.counters = Counters()
        self.store = PlatformStore(settings.store, clock=clock)
        self.pool = EndpointPool(instance=settings.instance, clock=clock, random=random)
        self.gate = RequestQueue(self.pool, clock=clock)
        self.catalog = Catalog(pool=self.pool, clock=clock, log=log, drain=bounds.drain)
        self.liveness = Liveness(
            instance=settings.instance, clock=clock, dead_after=DEAD_AFTER
        )
        self.tracker = RolloutTracker(
            orders=self.catalog.rollout_orders,
            store_now=self.store.now,
            clock=clock,
            log=log,
            session_pause=bounds.session_pause,
            canary_share=bounds.canary_share,
        )
        self.orders_feed = self._feed(
            Table.ORDERS, self.catalog.apply_orders, ORDERS_INTERVAL, random
        )
        self.endpoints_feed = self._feed(
            Table.ENDPOINTS, self.catalog.apply_endpoints, ENDPOINTS_INTERVAL, random
        )
        self.exchange = GossipExchange(
            settings=settings,
            catalog=self.catalog,
            pool=self.pool,
            tracker=self.tracker,
            liveness=self.liveness,
            feeds={
                Table.ORDERS.name: self.orders_feed,
                Table.ENDPOINTS.name: self.endpoints_feed,
            },
            is_ready=self.is_ready,
            clock=clock,
        )
        self.gossip = GossipNode(
            liveness=self.liveness,
            failure_domain=settings.failure_domain,
            clock=clock,
            random=random,
            log=log,
            compose=self.exchange.compose,
            on_message=self.exchange.apply,
            on_table_update=self.exchange.apply_rows,
        )
        self.registry = InstanceRegistry(
            settings=settings,
            store=self.store,
            liveness=self.liveness,
            clock=clock,
            random=random,
            log=log,
            on_found=self.gossip.send_to_all,
        )
        self.driver = RolloutDriver(
            instance=settings.instance,
            store=self.store,
            tracker=self.tracker,
            orders=self.catalog.rollout_orders,
            clock=clock,
            log=log,
            instances=self.instances,
            old_version_load=self._old_load,
            store_now=self.store.now,
            record_key=_record_key,
            status_put=_status_put,
            on_change=self.gossip.send_soon,
        )
        self.connections = ConnectionPool(
            clock=clock,
            max_connections=self._most_connections,
            instances=lambda: len(self.instances()),
        )
        self.forwarder = self._forwarder()
        self.control = ControlHandler(
            settings=settings,
            liveness=self.liveness,
            is_ready=self.is_ready,
            random=random,
            log=log,
        )
        self.metrics = MetricsHandler(self.counters, gauges=self._gauges)
        self.bodies = BodyBudget(
            limit=round(settings.memory_mb * _BYTES_PER_MB * BODY_SHARE)
        )

    def is_ready(self) -> bool:
        """Return whether callers may be sent here."""
        return (
            not self.is_stopping
            and self.catalog.deployment is not None
            and self.endpoints_feed.is_loaded
            and self._knows_rollouts()
        )

    def _knows_rollouts(self) -> bool:
        """Return whether the progress of ordered roll-outs is known, or long asked."""
        waited = self._clock.now() - self.catalog.deployed_at
        return waited > ROLLOUT_NEWS_TIME or all(
            self.tracker.record(service) is not None
            for service in self.catalog.rollout_orders
        )

    def instances(self) -> list[InstanceId]:
        """Return the instances that share the work, this one included."""
        return [
            self._settings.instance,
            *(member.instance for member in self.liveness.presumed_alive()),
        ]

    def limits(self) -> ServerLimits:
        """Return what callers may send, as declared now."""
        deployment = self.catalog.deployment
        if deployment is None:
            return _UNDECLARED_LIMITS
        return ServerLimits(
            header_bytes=deployment.limits.header_bytes,
            body_bytes=deployment.limits.body_bytes,
            header_timeout=deployment.limits.header_timeout,
            idle_timeout=deployment.limits.idle_timeout,
        )

    def reload(self, settings: NodeSettings) -> None:
        """Take over changed settings."""
        self._settings = settings
        self.store.set_address(settings.store)

    def tick(self) -> None:
        """Do what only time causes; called several times a second."""
        self.catalog.remove_due()
        self.orders_feed.check_hint()
        self.endpoints_feed.check_hint()
        self.pool.update_instances(self.instances())
        self.exchange.refresh()
        self.connections.close_idle()
        self.gate.wake()
        self.log.flush()

    def resume_after_pause(self, paused_for: Milliseconds) -> None:
        """Renew beliefs after this process was suspended."""
        self.log.write("process:was-suspended", paused_for_ms=paused_for)
        self.orders_feed.restart_watch("this process was suspended")
        self.endpoints_feed.restart_watch("this process was suspended")

    def _feed(self, table, on_rows, interval, random) -> TableFeed:  # type: ignore[no-untyped-def]
        return TableFeed(
            table,
            store=self.store,
            clock=self._clock,
            log=self.log,
            random=random,
            on_rows=on_rows,
            on_recovered=self.catalog.store_recovered,
            wait=lambda: self._watch_wait(table),
            min_interval=interval,
            max_retry_delay=lambda: self._outage_pause(table),
            is_relayed=lambda: self._is_followed(table),
            on_change=lambda rows, after: self._relay(table, rows, after),
        )

    def _readers(self, table: Table) -> list[InstanceId]:
        """Return the instances that follow a table for all in a large deployment."""
        return rendezvous_order(table.name, self.instances())[:READERS]

    def _is_followed(self, table: Table) -> bool:
        """Return whether others follow a table and relay its changes."""
        names = self.instances()
        if len(names) < LEAST_RELAYING or self._settings.instance in self._readers(
            table
        ):
            return False
        age = self.exchange.followed_age(table.name)
        drain = self._settings.bounds.drain
        return age is not None and age < FOLLOWED_SHARE * drain

    def _outage_pause(self, table: Table) -> Milliseconds:
        """Return the longest pause between two tries to reach the store again."""
        names = self.instances()
        is_reader = self._settings.instance in self._readers(table)
        is_small = len(names) < LEAST_RELAYING
        return READERS_PAUSE if is_small or is_reader else OTHERS_PAUSE

    def _store_silent_for(self) -> Milliseconds:
        """Return how long no change of the orders could have reached this instance."""
        if self._is_followed(Table.ORDERS):
            return Milliseconds(0)
        return self.orders_feed.unreachable_for()

    def _relay(self, table: Table, rows: Rows, after: int) -> None:
        if len(self.instances()) < LEAST_RELAYING:
            return
        self.gossip.relay(
            TableUpdate(
                format=FORMAT,
                table=table.name,
                after=after,
                until=rows.revision,
                rows=[
                    RelayedRow(row.key, row.value, row.revision) for row in rows.rows
                ],
            )
        )

    def _watch_wait(self, table: Table) -> Milliseconds:
        """Return a short wait at one instance, and where no peer is heard."""
        names = self.instances()
        if len(names) >= LEAST_RELAYING and self._settings.instance in self._readers(
            table
        ):
            return READER_WAIT
        is_first = min(names) == self._settings.instance
        return SHORT_WAIT if is_first else LONG_WAIT

    def _forwarder(self) -> Forwarder:
        runner = AttemptRunner(
            pool=self.pool,
            queue=self.gate,
            client=EndpointClient(clock=self._clock, connections=self.connections),
            tracker=self.tracker,
            latencies=LatencyEstimator(),
            counters=self.counters,
            clock=self._clock,
            log=self.log,
            new_budget=self._retry_budget,
            on_session=self._session_seen,
        )
        return Forwarder(
            resolver=RequestResolver(self.catalog, clock=self._clock),
            runner=runner,
            buffered=BufferedRelay(runner, clock=self._clock),
            stream=StreamRelay(runner, clock=self._clock, log=self.log),
            catalog=self.catalog,
            counters=self.counters,
            clock=self._clock,
            log=self.log,
            store_unreachable_for=self._store_silent_for,
            is_behind=lambda: self.orders_feed.is_behind,
        )

    def _retry_budget(self) -> WindowedRetryBudget:
        bounds = self._settings.bounds
        slack = bounds.retry_slack * RETRY_SLACK_SHARE
        return WindowedRetryBudget(
            clock=self._clock,
            window=bounds.retry_window,
            ratio=bounds.retry_ratio * RETRY_SHARE,
            slack=lambda: slack / len(self.instances()),
        )

    def _session_seen(self, call: Call) -> None:
        """Tell peers at once of a session that a roll-out might move."""
        is_early = self.tracker.must_keep_sessions(call.service)
        if is_early and self.tracker.is_in_canary_share(call.service, call.rollout_key):
            self.gossip.send_soon()

    def _old_load(self, order: RolloutOrder) -> int:
        return self.pool.load_of_versions(order.service, order.target)

    def _most_connections(self, endpoint: Endpoint) -> int:
        deployment = self.catalog.deployment
        service = None
        if deployment is not None:
            service = deployment.services.get(endpoint.service)
        return service.max_connections if service is not None else endpoint.slots

    def _gauges(self) -> dict[str, float]:
        deployment = self.catalog.deployment
        return {
            "deployment_version": deployment.version if deployment else 0,
            "store_silent_seconds": self.orders_feed.unreachable_for() / 1_000,
            "endpoints": len(self.pool),
            "instances_alive": len(self.liveness.alive()) + 1,
            "requests_active": self.forwarder.active,
            "requests_waiting": self.gate.waiting,
            "connections_opened": self.connections.opened,
            "event_loop_tasks": len(asyncio.all_tasks()),
        }


#: Limits while no declaration is known; every request is refused then.
_UNDECLARED_LIMITS = ServerLimits(
    header_bytes=16_384,
    body_bytes=4_194_304,
    header_timeout=Milliseconds(3_000),
    idle_timeout=Milliseconds(15_000),
)


def _record_key(service: ServiceId) -> str:
    return row_key(Table.ROLLOUTS, service)


def _status_put(record: RolloutRecord) -> Put:
    return status_put(record.service, record.target, _STATUSES[record.progress])
