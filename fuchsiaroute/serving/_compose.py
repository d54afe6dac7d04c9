"""The parts of an entry, put together."""

import random
from dataclasses import dataclass

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
    advise_listed,
    compose_balancing,
)
from fuchsiaroute.serving._configuration import (
    ConfigurationParts,
    compose_configuration,
)
from fuchsiaroute.serving._durable import DurableParts, compose_durable
from fuchsiaroute.serving._peers import (
    MemberWatch,
    NoPeers,
    PeerOptions,
    PeerParts,
    compose_peers,
)
from fuchsiaroute.serving._routing import NoRatings, RoutingParts, compose_routing
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

#: Longest wait for an engine to confirm an order.
ORDER_TIMEOUT = Milliseconds(5_000)


@dataclass(frozen=True, kw_only=True)
class EntryOptions:
    """What distinguishes one entry from another."""

    instance: InstanceId
    failure_domain: FailureDomainId
    #: Seed of the entry's random choices.
    seed: int = 0
    #: Keys of session pins, the same for all entries; the first one signs.
    pin_keys: tuple[str, ...] = ()
    peers: PeerOptions | NoPeers = NoPeers.TOKEN
    #: Limits on what a caller may send.
    caller_limits: CallerLimits = CallerLimits()


@dataclass(frozen=True, kw_only=True)
class ComposedEntry:
    """An entry that is ready to be served."""

    options: EntryOptions
    app: Litestar
    current: CurrentConfiguration
    poll: ConfigurationPoll
    configuration: ConfigurationParts
    advice: EntryAdvice
    #: Connections to endpoints.
    client: Connections
    #: Connections to engines for orders.
    orders_client: httpx.AsyncClient
    routing: RoutingParts
    durable: DurableParts
    balancing: BalancingParts
    peers: PeerParts | NoPeers
    metrics: Metrics
    #: Every periodic task of the entry.
    background: BackgroundTasks

    async def aclose(self) -> None:
        """Close the connections to endpoints and engines."""
        await self.client.aclose()
        await self.orders_client.aclose()


def compose_entry(
    *,
    options: EntryOptions,
    store: TableStore,
    instances: InstanceList,
    clock: Clock,
    ratings: RatingService | None = None,
) -> ComposedEntry:
    """Return an entry whose parts use ``store`` and ``clock``."""
    client = Connections()
    metrics = Metrics()
    incarnation = Incarnation(clock.wall())
    advice = EntryAdvice()
    store_client = StoreClient(
        store,
        clock=clock,
        rng=random.SystemRandom(),
        entry_count=lambda: len(advice.entries),
    )
    configuration = compose_configuration(
        # Not through the circuit: it would hold up the news of an outage.
        store=store,
        clock=clock,
        entry_count=lambda: len(advice.entries),
    )
    copy_holder = CopyHolder()
    peers = _compose_peers(
        options, configuration, copy_holder, incarnation=incarnation, clock=clock
    )
    current = configuration.current
    randomness = random.Random(options.seed)
    orders_client = build_client(read_timeout=ORDER_TIMEOUT)
    durable = compose_durable(
        client=store_client,
        clock=clock,
        instance=options.instance,
        incarnation=incarnation,
        entry_count=lambda: len(advice.entries),
        configuration=lambda: current.configuration,
        orders=HttpEngineOrders(orders_client, current.endpoint_url),
        copies=None if isinstance(peers, NoPeers) else peers.copies,
        copy_holder=copy_holder,
    )
    routing = compose_routing(
        current=current,
        store=store_client.view(StoreFunction.SPENDING),
        configuration_store=store_client.view(StoreFunction.CONFIGURATION),
        quality_store=store_client.view(StoreFunction.QUALITY),
        rating_service=ratings or NoRatings(),
        pin_keys=options.pin_keys,
        clock=clock,
        entry_count=lambda: len(advice.entries),
        randomness=randomness,
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
        connections=client,
        check=check,
        on_entries=lambda listed: _note_listed(tuple(listed), current, advice, peers),
        instance=options.instance,
        incarnation=incarnation,
        clock=clock,
        randomness=randomness,
    )
    current.subscribe(lambda _, configuration: _withdraw_out(advice, configuration))
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
    background.add("instances", balancing.upkeep.run_instance_list_loop)
    background.add("cold slots", balancing.upkeep.run_cold_slot_loop)
    if isinstance(peers, PeerParts):
        watch = MemberWatch(
            membership=peers.membership,
            advice=advice,
            ledger=durable.ledger,
            copies=copy_holder,
        )
        peers.node.on_refresh = watch.refresh
        background.add("peers", peers.node.run)
    background.add("load reports", balancing.status.run)
    background.add("admission", balancing.upkeep.run_admission_loop)
    return ComposedEntry(
        options=options,
        app=app,
        current=current,
        poll=configuration.poll,
        configuration=configuration,
        advice=advice,
        client=client,
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
        address=options.peers.advertised,
        failure_domain=options.failure_domain,
    )
    return compose_peers(
        options=options.peers,
        own=own,
        configuration=configuration,
        copy_holder=copy_holder,
        clock=clock,
    )


def _note_listed(
    listed: tuple[InstanceRecord, ...],
    current: CurrentConfiguration,
    advice: EntryAdvice,
    peers: PeerParts | NoPeers,
) -> None:
    # The list does not tell entries from endpoints; the configuration does. Before
    # one is in force, callers must not be sent to what may be an endpoint. Peers are
    # asked all the same: a fresh entry may learn the configuration from them alone.
    if current.revision > NO_REVISION:
        advise_listed(advice, listed)
    if isinstance(peers, PeerParts):
        peers.note_listed(listed)


def _withdraw_out(advice: EntryAdvice, configuration: Configuration) -> None:
    advice.update_outages(outage.failure_domain for outage in configuration.outages)
