"""Composition of an entry from its parts."""

from dataclasses import dataclass
from random import Random, SystemRandom

import httpx
from litestar import Litestar
from returns.result import Result

from fuchsiaroute.advice import EntryAdvice
from fuchsiaroute.billing import CopyHolder
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.configuration import Configuration
from fuchsiaroute.dispatch import Connections
from fuchsiaroute.entry import (
    NO_REVISION,
    BackgroundTasks,
    Call,
    ConfigurationPoll,
    CurrentConfiguration,
    MeteredBillStep,
    NoVersion,
    ObservedBillStep,
    ObservedPipeline,
    Pipeline,
    Steps,
)
from fuchsiaroute.gateway import CallerLimits, build_app
from fuchsiaroute.ids import (
    FailureDomainId,
    Incarnation,
    InstanceId,
    VersionId,
)
from fuchsiaroute.membership import Announcement
from fuchsiaroute.metrics import Metrics
from fuchsiaroute.serving._balancing import (
    BalancingParts,
    advise_listed_entries,
    compose_balancing,
)
from fuchsiaroute.serving._configuration import (
    ConfigurationParts,
    compose_configuration,
)
from fuchsiaroute.serving._durable import DurableParts, compose_durable
from fuchsiaroute.serving._peers import (
    MembershipListener,
    NoPeers,
    PeerOptions,
    PeerParts,
    compose_peers,
)
from fuchsiaroute.serving._routing import (
    EmptyRatingService,
    RoutingParts,
    compose_routing,
)
from fuchsiaroute.store import (
    InstanceList,
    InstanceRecord,
    RatingService,
    StoreClient,
    StoreFunction,
    TableStore,
)
from fuchsiaroute.store_http import HttpEngineOrders
from fuchsiaroute.transport import build_client
from fuchsiaroute.verdict import Refusal

#: Time for an engine to confirm an order.
ORDER_TIMEOUT = Milliseconds(5_000)


@dataclass(frozen=True, kw_only=True)
class EntryOptions:
    """Identity, keys, peers and limits of an entry."""

    instance: InstanceId
    failure_domain: FailureDomainId
    #: Seed of the random generator for routing and balancing.
    seed: int = 0
    #: Keys of session pins, equal at all entries. The first one signs; all verify.
    pin_keys: tuple[str, ...] = ()
    peers: PeerOptions | NoPeers = NoPeers.TOKEN
    #: Limits on what a caller may send.
    caller_limits: CallerLimits = CallerLimits()


@dataclass(frozen=True, kw_only=True)
class ComposedEntry:
    """The parts of an entry and the ASGI application for its callers."""

    options: EntryOptions
    app: Litestar
    current: CurrentConfiguration
    poll: ConfigurationPoll
    configuration: ConfigurationParts
    advice: EntryAdvice
    #: Connections to endpoints, for requests.
    connections: Connections
    #: HTTP client for orders to engines.
    orders_client: httpx.AsyncClient
    routing: RoutingParts
    durable: DurableParts
    balancing: BalancingParts
    peers: PeerParts | NoPeers
    metrics: Metrics
    #: The periodic tasks of the entry.
    background: BackgroundTasks

    async def aclose(self) -> None:
        """Close the connections to endpoints and engines."""
        await self.connections.aclose()
        await self.orders_client.aclose()


def compose_entry(
    *,
    options: EntryOptions,
    store: TableStore,
    instances: InstanceList,
    clock: Clock,
    ratings: RatingService | None = None,
) -> ComposedEntry:
    """Return an entry whose background tasks and peer server are not started."""
    connections = Connections()
    metrics = Metrics()
    incarnation = Incarnation(clock.wall())
    advice = EntryAdvice()
    store_client = StoreClient(
        store,
        clock=clock,
        random=SystemRandom(),
        entry_count=lambda: len(advice.entries),
    )
    configuration = compose_configuration(
        # Bypasses the circuit breaker of ``store_client``, which could delay a change
        # that declares an outage.
        store=store,
        clock=clock,
        entry_count=lambda: len(advice.entries),
    )
    copy_holder = CopyHolder()
    peers = _compose_peers(
        options, configuration, copy_holder, incarnation=incarnation, clock=clock
    )
    current = configuration.current
    random = Random(options.seed)
    orders_client = build_client(read_timeout=ORDER_TIMEOUT)
    durable = compose_durable(
        client=store_client,
        clock=clock,
        instance=options.instance,
        incarnation=incarnation,
        entry_count=lambda: len(advice.entries),
        configuration=lambda: current.configuration,
        orders=HttpEngineOrders(orders_client, current.endpoint_url),
        copy_sender=None if isinstance(peers, NoPeers) else peers.copy_sender,
        copy_holder=copy_holder,
    )
    routing = compose_routing(
        current=current,
        store=store_client.view(StoreFunction.SPENDING),
        configuration_store=store_client.view(StoreFunction.CONFIGURATION),
        quality_store=store_client.view(StoreFunction.QUALITY),
        rating_service=ratings or EmptyRatingService(),
        pin_keys=options.pin_keys,
        clock=clock,
        entry_count=lambda: len(advice.entries),
        random=random,
    )

    def check(call: Call, version: VersionId | NoVersion) -> Result[None, Refusal]:
        claimed = durable.claims.check_dispatch(call.request)
        if isinstance(version, NoVersion):
            return claimed
        return claimed.bind(
            lambda _: routing.route.check_dispatch(call.request, version)
        )

    balancing = compose_balancing(
        current=current,
        store=store_client.view(StoreFunction.ENDPOINTS),
        instances=instances,
        connections=connections,
        check=check,
        on_entries=lambda listed: _apply_instance_list(
            tuple(listed), current, advice, peers
        ),
        instance=options.instance,
        incarnation=incarnation,
        clock=clock,
        random=random,
    )
    current.subscribe(lambda _, configuration: _update_outages(advice, configuration))
    steps = Steps(
        admit=balancing.admit,
        claim=durable.claims,
        route=routing.route,
        attempt=balancing.attempt,
        bill=ObservedBillStep(
            bill=MeteredBillStep(bill=durable.bills, allowances=routing.allowances),
            metrics=metrics,
        ),
    )
    app = build_app(
        pipeline=ObservedPipeline(
            pipeline=Pipeline(steps=steps), metrics=metrics, clock=clock
        ),
        current=current,
        advice=advice,
        clock=clock,
        limits=options.caller_limits,
        request_ids=durable.claim_table,
    )
    background = BackgroundTasks(clock)
    background.add("configuration", configuration.poll.run)
    background.add("ratings", routing.ratings.run)
    background.add("claims", durable.claim_table.run)
    background.add("ledger", durable.ledger.run)
    background.add("placement", durable.placement.run)
    background.add("instances", balancing.maintenance.run_instance_list_loop)
    background.add("cold slots", balancing.maintenance.run_cold_slot_loop)
    if isinstance(peers, PeerParts):
        listener = MembershipListener(
            membership=peers.membership,
            advice=advice,
            ledger=durable.ledger,
            copy_holder=copy_holder,
        )
        peers.node.on_refresh = listener.refresh
        background.add("peers", peers.node.run)
    background.add("load reports", balancing.status.run)
    background.add("admission", balancing.maintenance.run_admission_loop)
    return ComposedEntry(
        options=options,
        app=app,
        current=current,
        poll=configuration.poll,
        configuration=configuration,
        advice=advice,
        connections=connections,
        orders_client=orders_client,
        routing=routing,
        durable=durable,
        balancing=balancing,
        peers=peers,
        metrics=metrics,
        background=background,
    )


def _compose_peers(
    options: EntryOptions,
    configuration: ConfigurationParts,
    copy_holder: CopyHolder,
    *,
    incarnation: Incarnation,
    clock: Clock,
) -> PeerParts | NoPeers:
    if isinstance(options.peers, NoPeers):
        return NoPeers.TOKEN
    own = Announcement(
        instance=options.instance,
        incarnation=incarnation,
        sequence=0,
        is_leaving=False,
        address=options.peers.advertised_address,
        failure_domain=options.failure_domain,
    )
    return compose_peers(
        options=options.peers,
        own=own,
        configuration=configuration,
        copy_holder=copy_holder,
        clock=clock,
    )


def _apply_instance_list(
    listed: tuple[InstanceRecord, ...],
    current: CurrentConfiguration,
    advice: EntryAdvice,
    peers: PeerParts | NoPeers,
) -> None:
    # The list contains entries and endpoints, which only the configuration separates.
    # Before one is in force, nothing from the list is advised to callers, who could be
    # sent to an endpoint. The membership gets the list in any case, because peers may
    # be the only source of a configuration for a new entry.
    if current.revision > NO_REVISION:
        advise_listed_entries(advice, listed)
    if isinstance(peers, PeerParts):
        peers.apply_listed(listed)


def _update_outages(advice: EntryAdvice, configuration: Configuration) -> None:
    advice.update_outages(outage.failure_domain for outage in configuration.outages)
