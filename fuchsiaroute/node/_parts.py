"""Construction and wiring of an instance's components."""

import asyncio
from collections.abc import Callable
from functools import partial
from random import Random

from fuchsiaroute.catalog import Catalog, TableFeed
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.contention import FleetDemand, Reason
from fuchsiaroute.deployment import Endpoint, RolloutOrder
from fuchsiaroute.draining import Drain
from fuchsiaroute.forwarding import (
    AttemptRunner,
    BufferedRelay,
    Call,
    ConnectionPool,
    ConnectRecords,
    Counters,
    EndpointClient,
    EndpointNotices,
    Forwarder,
    LatencyEstimator,
    ModelChoice,
    RequestResolver,
    SpeedComparison,
    StopAdmission,
    StreamRelay,
)
from fuchsiaroute.gossip import (
    ROLLOUT_ATTEMPTS,
    GossipNode,
    Liveness,
    initial_count,
)
from fuchsiaroute.http1 import (
    ConnectError,
    ServerLimits,
    connect_protocol,
)
from fuchsiaroute.ids import EndpointId
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.node._client_limits import ClientLimits
from fuchsiaroute.node._control import ControlHandler
from fuchsiaroute.node._fleet_exchange import FleetExchange
from fuchsiaroute.node._gossip_exchange import GossipExchange
from fuchsiaroute.node._instance_registry import InstanceRegistry
from fuchsiaroute.node._instance_sets import InstanceSets
from fuchsiaroute.node._issuer_choice import IssuerChoice
from fuchsiaroute.node._metrics import MetricsHandler
from fuchsiaroute.node._peer_tunnels import PeerTunnels
from fuchsiaroute.node._permit_exchange import PermitExchange
from fuchsiaroute.node._place_exchange import PlaceExchange
from fuchsiaroute.node._quarantine_rows import QuarantineRows
from fuchsiaroute.node._registrations import Registrations
from fuchsiaroute.node._response_limits import ResponseLimits
from fuchsiaroute.node._rollout_rows import PlatformRolloutRows, read_outcomes
from fuchsiaroute.node._table_exchange import TableExchange
from fuchsiaroute.node._table_readers import TableReaders
from fuchsiaroute.permits import NamedRates, PermitHolder
from fuchsiaroute.places import BrittleNotices, PlaceHolder
from fuchsiaroute.platform import (
    NodeSettings,
    PlatformStore,
    Rows,
    Table,
)
from fuchsiaroute.pool import EndpointPool, RequestQueue, SendGate
from fuchsiaroute.quarantine import Quarantine, SubjectKey
from fuchsiaroute.retry import WindowedRetryBudget
from fuchsiaroute.staging import RolloutDriver, RolloutTracker
from fuchsiaroute.store import StorePosition, era_of
from fuchsiaroute.tunnel import TunnelServer, open_tunnel

#: Time without a heartbeat after which an instance counts as dead.
MEMBER_TIMEOUT = Milliseconds(2_000)
#: Maximum time after a new declaration for which an instance stays unready until
#: it has the progress of all roll-outs. Peers send it within two gossip rounds, and
#: the store returns it as a conflict.
MAX_ROLLOUT_WAIT = Milliseconds(1_000)
#: Minimum interval between two reads of a table; announcements change in bursts.
MIN_ENDPOINTS_INTERVAL = Milliseconds(400)
MIN_ORDERS_INTERVAL = Milliseconds(100)
#: Share of the retry budget that is used; the rest covers requests that are counted in
#: a different window from their retries.
RETRY_SHARE = 0.9
RETRY_SLACK_SHARE = 0.6
#: Mean deviations above the mean duration of a route's responses that count as usual.
DURATION_DEVIATIONS = 6.0
#: Tunnels of peers for each file descriptor of this process; a tunnel needs two.
TUNNEL_SHARE = 0.15


class NodeParts:
    """The components of an instance, connected but not started."""

    def __init__(
        self, settings: NodeSettings, *, clock: Clock, log: LineLog, random: Random
    ) -> None:
        self._settings = settings
        self._clock = clock
        self.registrations = Registrations(settings.instance, clock=clock)
        bounds = settings.bounds
        self._latencies = LatencyEstimator()
        self._durations = LatencyEstimator()
        self.drain = Drain(clock=clock, longest=self._longest_duration)
        self.log = log
        self.counters = Counters()
        self.store = PlatformStore(settings.store, clock=clock)
        self._rates = NamedRates(clock=clock)
        self._brittle = BrittleNotices(clock=clock)
        self._permit_holder = PermitHolder(
            rates=self._rates,
            clock=clock,
            on_want=lambda endpoint: self.permits.want(endpoint),
        )
        self._place_holder = PlaceHolder(
            notices=self._brittle,
            clock=clock,
            on_change=lambda endpoint: self.places.settle(endpoint),
        )
        self.pool = EndpointPool(
            instance=settings.instance,
            clock=clock,
            random=random,
            gate=SendGate(
                clock=clock, permits=self._permit_holder, places=self._place_holder
            ),
            is_share_confirmed=lambda: self.registrations.is_confirmed,
        )
        self.fleet = FleetDemand()
        self.queue = RequestQueue(
            self.pool, clock=clock, random=random, fleet=self.fleet
        )
        self.catalog = Catalog(pool=self.pool, clock=clock, log=log, drain=bounds.drain)
        self.quarantine = Quarantine(
            clock=clock,
            random=random,
            log=log,
            on_change=self._quarantine_changed,
            # The request may come again as soon as its caller has the answer.
            on_crash=lambda: self.gossip.send_soon(is_urgent=True),
        )
        self.quarantine_rows = QuarantineRows(
            store=self.store, quarantine=self.quarantine, clock=clock, log=log
        )
        self.liveness = Liveness(
            instance=settings.instance,
            clock=clock,
            dead_after=MEMBER_TIMEOUT,
            # A later process has a higher one, however long it was away.
            first_count=initial_count(clock.wall()),
        )
        self._instance_sets = InstanceSets(
            instance=settings.instance,
            liveness=self.liveness,
            registrations=self.registrations,
        )
        #: Returns the instances that share limits and budgets, with this one.
        self.instances = self._instance_sets.present
        self.tracker = RolloutTracker(
            orders=self.catalog.rollout_orders,
            store_now=self.store.now,
            store_era=lambda: self.store.era,
            clock=clock,
            log=log,
            session_pause=bounds.session_pause,
            canary_share=bounds.canary_share,
        )
        self.catalog.on_order_begun = self.tracker.begin_order
        self.catalog.on_order_continued = self.tracker.continue_order
        self._readers = TableReaders(
            instance=settings.instance,
            instances=self.instances,
            answer_age=lambda table: self.exchange.answer_age(table),
            drain=lambda: self._settings.bounds.drain,
            liveness=self.liveness,
            link_mbps=settings.link_mbps,
        )
        self.orders_feed = self._feed(
            Table.ORDERS, self.catalog.apply_orders, MIN_ORDERS_INTERVAL, random
        )
        self.endpoints_feed = self._feed(
            Table.ENDPOINTS,
            self.catalog.apply_endpoints,
            MIN_ENDPOINTS_INTERVAL,
            random,
        )
        feeds = {
            Table.ORDERS.name: self.orders_feed,
            Table.ENDPOINTS.name: self.endpoints_feed,
        }
        self.tables = TableExchange(
            catalog=self.catalog, feeds=feeds, liveness=self.liveness, clock=clock
        )
        self.gossip = GossipNode(
            liveness=self.liveness,
            failure_domain=settings.failure_domain,
            clock=clock,
            random=random,
            log=log,
            link_mbps=settings.link_mbps,
            compose=lambda: self.exchange.compose(),
            on_message=lambda message: self.exchange.apply(message),
            on_table_update=lambda update: self.tables.apply(update),
            on_table_request=lambda request: self.tables.rows_for(request),
            on_permit_message=lambda message: self.permits.apply(message),
            on_place_message=lambda message: self.places.apply(message),
            on_fleet_message=lambda message: self.sums.apply(message),
        )
        issuers = IssuerChoice(
            instance=settings.instance, liveness=self.liveness, is_ready=self.is_ready
        )
        self.permits = PermitExchange(
            instance=settings.instance,
            rates=self._rates,
            holder=self._permit_holder,
            gossip=self.gossip,
            issuers=issuers,
            is_announced=lambda endpoint: endpoint in self.pool,
            on_permit=self.queue.wake,
            clock=clock,
            log=log,
        )
        self.places = PlaceExchange(
            instance=settings.instance,
            notices=self._brittle,
            holder=self._place_holder,
            pool=self.pool,
            gossip=self.gossip,
            issuers=issuers,
            on_place=self.queue.wake,
            clock=clock,
            log=log,
        )
        self.exchange = GossipExchange(
            settings=settings,
            catalog=self.catalog,
            pool=self.pool,
            tracker=self.tracker,
            liveness=self.liveness,
            feeds=feeds,
            is_ready=self.is_ready,
            latencies=self._latencies,
            quarantine=self.quarantine,
            permits=self.permits,
            is_cut=lambda: self.connections.paths.cut_count > 0,
            places=self.places,
            queue=self.queue,
            fleet=self.fleet,
            counters=self.counters,
            clock=clock,
            log=log,
        )
        self.sums = FleetExchange(
            instance=settings.instance,
            failure_domain=settings.failure_domain,
            liveness=self.liveness,
            gossip=self.gossip,
            pool=self.pool,
            queue=self.queue,
            fleet=self.fleet,
            clock=clock,
        )
        self.registry = InstanceRegistry(
            settings=settings,
            store=self.store,
            liveness=self.liveness,
            clock=clock,
            random=random,
            log=log,
            on_read=self.gossip.send_to_all,
            registrations=self.registrations,
            era=self._store_era,
            is_share_needed=self.pool.needs_share,
        )
        self.driver = RolloutDriver(
            instance=settings.instance,
            store=self.store,
            tracker=self.tracker,
            orders=self.catalog.rollout_orders,
            clock=clock,
            log=log,
            instances=self.instances,
            base_version_load=self._base_version_load,
            has_target_endpoint=lambda order: (
                order.target in self.pool.versions(order.service)
            ),
            store_now=self.store.now,
            store_era=lambda: self.store.era,
            rows=PlatformRolloutRows(),
            read_outcomes=lambda: read_outcomes(self.store),
            peers_know_attempts=lambda: self.exchange.peers_know(ROLLOUT_ATTEMPTS),
            on_change=self.gossip.send_soon,
        )
        self.connect_records = ConnectRecords(
            clock=clock,
            counters=self.counters,
            log=log,
            is_known=lambda endpoint: endpoint in self.pool,
        )
        self.responses = ResponseLimits(settings, clock=clock)
        self.connections = ConnectionPool(
            clock=clock,
            max_connections=self._max_connections,
            instances=lambda: len(self.instances()),
            records=self.connect_records,
            peers=PeerTunnels(
                settings=settings,
                liveness=self.liveness,
                clock=clock,
                random=random,
                counters=self.counters,
                log=log,
                opener=partial(open_tunnel, budget=self.responses.budget),
            ),
            random=random,
            endpoints=self.pool.endpoints,
            on_path_change=self._path_changed,
            log=log,
            budget=self.responses.budget,
        )
        self.tunnels = TunnelServer(
            connect=self._connect_for_peer,
            is_known=lambda host, port: any(
                (item.host, item.port) == (host, port) for item in self.pool.endpoints()
            ),
            is_draining=lambda: self.drain.is_draining,
            max_tunnels=round(settings.max_descriptors * TUNNEL_SHARE),
            clock=clock,
            log=log,
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
        self.clients = ClientLimits(settings, clock=clock)

    def is_ready(self) -> bool:
        """Return whether callers may send requests to this instance."""
        return (
            not self.drain.is_draining
            and self.catalog.deployment is not None
            and self.endpoints_feed.is_loaded
            and self._has_rollout_records()
            and self._has_quarantine()
        )

    async def _connect_for_peer(
        self,
        host: str,
        port: int,
        create: Callable[[], asyncio.Protocol],
        within: Milliseconds,
    ) -> asyncio.Protocol:
        """Connect directly to an endpoint; one without a direct path fails at once."""
        if self.connections.paths.is_address_cut(host, port):
            raise ConnectError("this instance has no direct path either")
        return await connect_protocol(host, port, create, within)

    def _path_changed(self, endpoint: EndpointId) -> None:
        self.pool.record_path_change(endpoint)
        self.queue.wake()
        self.gossip.send_soon(is_urgent=True)

    def _has_quarantine(self) -> bool:
        """Return whether the quarantined subjects are known, or the wait is over."""
        waited = self._clock.now() - self.catalog.deployed_at
        return self.quarantine_rows.is_loaded or waited > MAX_ROLLOUT_WAIT

    def _quarantine_changed(
        self, subject: SubjectKey, since: Milliseconds | None
    ) -> None:
        self.quarantine_rows.write(subject, since)
        self.gossip.send_soon()

    def _has_rollout_records(self) -> bool:
        """Return whether the state of all roll-outs is known, or the wait is over."""
        waited = self._clock.now() - self.catalog.deployed_at
        is_known = self.driver.is_loaded and all(
            self.tracker.record(service) is not None
            for service in self.catalog.rollout_orders
        )
        return is_known or waited > MAX_ROLLOUT_WAIT

    def limits(self) -> ServerLimits:
        """Return the current limits on callers' requests."""
        deployment = self.catalog.deployment
        if deployment is None:
            return _UNDECLARED_LIMITS
        return ServerLimits(
            header_bytes=deployment.limits.max_header_bytes,
            body_bytes=deployment.limits.max_body_bytes,
            header_timeout=deployment.limits.header_timeout,
            idle_timeout=deployment.limits.idle_timeout,
        )

    def reload(self, settings: NodeSettings) -> None:
        """Apply changed settings."""
        is_store_moved = settings.store != self._settings.store
        self._settings = settings
        self.store.set_address(settings.store)
        self.clients.apply(settings)
        self.responses.apply(settings)
        if is_store_moved:
            # The former address may never answer the watches that it holds.
            self.orders_feed.restart_watch("the store has another address")
            self.endpoints_feed.restart_watch("the store has another address")

    def tick(self) -> None:
        """Run periodic work; called several times per second."""
        self.catalog.remove_due()
        self.orders_feed.check_hint()
        self.endpoints_feed.check_hint()
        self.orders_feed.check_watch()
        self.endpoints_feed.check_watch()
        self.pool.update_instances(self._instance_sets.sharing_cold_rates())
        self.exchange.refresh()
        self.sums.refresh()
        self.permits.refresh()
        self.places.refresh()
        self.quarantine.refresh()
        for request in self.tables.missing_rows():
            self.gossip.request(request)
        self.connections.close_idle()
        self.connect_records.remove_unknown()
        self.queue.wake()
        self.log.flush()

    def resume_after_suspension(self, suspended_for: Milliseconds) -> None:
        """Read the store again after this process was suspended."""
        self.log.write("process:was-suspended", paused_for_ms=suspended_for)
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
            on_recovered=self._store_recovered,
            wait=lambda: self._readers.watch_duration(table),
            min_interval=interval,
            max_retry_delay=lambda: self._readers.max_retry_delay(table),
            is_relayed=lambda: self._readers.is_relayed(table),
            on_change=lambda rows, after: self._relay(table, rows, after),
            on_restored=lambda: self._store_restored(table),
            peers_answer_age=lambda: self.exchange.peers_answer_age(table.name),
            turn=self._readers.turn,
        )

    def _store_era(self) -> int | None:
        """Return the era of the orders that are held; None before the first read."""
        revision = self.orders_feed.revision
        return None if revision is None else era_of(revision)

    def _store_recovered(self, since: Milliseconds) -> None:
        """Record the end of an outage, which ends for all tables at once."""
        self.catalog.store_recovered(since)
        self.orders_feed.retry_now()
        self.endpoints_feed.retry_now()

    def _store_restored(self, table: Table) -> None:
        """Record that the store was restored, as the new era of a table shows."""
        self.counters.add("store_restored", table.name.lower())
        self.catalog.store_restored(table)

    def _store_unreachable_for(self) -> Milliseconds:
        """Return for how long this instance may have missed changes of orders."""
        if self._readers.is_relayed(Table.ORDERS):
            return Milliseconds(0)
        return self.orders_feed.unreachable_for()

    def _relay(self, table: Table, rows: Rows, after: StorePosition | None) -> None:
        if not self._readers.has_relay:
            return
        self.gossip.relay(self.tables.update(table.name, rows, after=after))

    def _forwarder(self) -> Forwarder:
        admission = StopAdmission(self.drain, clock=self._clock)
        runner = AttemptRunner(
            pool=self.pool,
            queue=self.queue,
            client=EndpointClient(
                clock=self._clock,
                connections=self.connections,
                notices=EndpointNotices(
                    self.pool,
                    counters=self.counters,
                    log=self.log,
                    rates=self._rates,
                    brittle=self._brittle,
                    on_change=self.gossip.send_soon,
                ),
            ),
            tracker=self.tracker,
            latencies=self._latencies,
            speeds=SpeedComparison(tracker=self.tracker, clock=self._clock),
            counters=self.counters,
            clock=self._clock,
            log=self.log,
            new_budget=self._retry_budget,
            on_session=self._gossip_session,
            is_stopping=lambda: self.drain.is_draining,
            admission=admission,
            quarantine=self.quarantine,
            is_refused=self.connections.is_refused,
            limits=lambda: self.catalog.backlog_limits,
            is_brittle=lambda item: self._brittle.tolerance(item) is not None,
        )
        return Forwarder(
            resolver=RequestResolver(self.catalog, clock=self._clock),
            runner=runner,
            buffered=BufferedRelay(runner, clock=self._clock),
            stream=StreamRelay(
                runner, choice=ModelChoice(), clock=self._clock, log=self.log
            ),
            catalog=self.catalog,
            counters=self.counters,
            clock=self._clock,
            log=self.log,
            store_unreachable_for=self._store_unreachable_for,
            is_behind=lambda: self.orders_feed.is_behind,
            drain=self.drain,
            admission=admission,
            durations=self._durations,
        )

    def _longest_duration(self, route: str) -> float | None:
        """Return the time that is not exceeded by usual responses of a route."""
        return self._durations.upper(route, "", 0, deviations=DURATION_DEVIATIONS)

    def _retry_budget(self) -> WindowedRetryBudget:
        bounds = self._settings.bounds
        slack = bounds.retry_slack * RETRY_SLACK_SHARE
        return WindowedRetryBudget(
            clock=self._clock,
            window=bounds.retry_window,
            ratio=bounds.retry_ratio * RETRY_SHARE,
            slack=lambda: slack / len(self.instances()),
        )

    def _gossip_session(self, call: Call) -> None:
        """Send a session that a roll-out might move to the peers immediately."""
        must_keep = self.tracker.must_keep_sessions(call.service)
        if must_keep and self.tracker.is_in_canary_share(
            call.service, call.rollout_key
        ):
            self.gossip.send_soon()

    def _base_version_load(self, order: RolloutOrder) -> int:
        return self.pool.load_of_versions(order.service, order.target)

    def _max_connections(self, endpoint: Endpoint) -> int:
        deployment = self.catalog.deployment
        service = None
        if deployment is not None:
            service = deployment.services.get(endpoint.service)
        return service.max_connections if service is not None else endpoint.slots

    def _gauges(self) -> dict[str, float]:
        deployment = self.catalog.deployment
        return {
            "deployment_version": deployment.version if deployment else 0,
            "store_era": self._store_era() or 0,
            "store_silent_seconds": self.orders_feed.unreachable_for() / 1_000,
            "orders_behind_seconds": self.orders_feed.behind_for() / 1_000,
            "endpoints": len(self.pool),
            "endpoints_unreached": self.connect_records.unreached,
            "endpoints_cut": self.connections.paths.cut_count,
            "tunnels_carried": self.tunnels.count,
            "instances_alive": len(self.liveness.alive()) + 1,
            "requests_active": self.forwarder.active,
            "requests_waiting": self.queue.waiting,
            "fleet_summed": self.sums.is_used,
            "requests_waiting_elsewhere": self.fleet.waiting,
            "room_left_to_more_urgent": self.queue.yields[Reason.MORE_URGENT],
            "room_left_to_other_organisations": self.queue.yields[Reason.OVER_SHARE],
            "connections_opened": self.connections.opened,
            "client_memory_bytes": self.clients.budget.used,
            "response_memory_bytes": self.responses.budget.used,
            "event_loop_tasks": len(asyncio.all_tasks()),
        }


#: Limits before the first declaration; all requests are rejected until then.
_UNDECLARED_LIMITS = ServerLimits(
    header_bytes=16_384,
    body_bytes=4_194_304,
    header_timeout=Milliseconds(3_000),
    idle_timeout=Milliseconds(15_000),
)
