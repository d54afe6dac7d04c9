"""The parts of an entry, put together."""

import random
from dataclasses import dataclass

from litestar import Litestar

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.dispatch import Connections, Dispatcher
from fuchsiaroute.entry import (
    Background,
    ConfigurationPoll,
    CurrentConfiguration,
    InFlightLimit,
    LeastInFlightAttempt,
    MeteredBill,
    Pipeline,
    Steps,
)
from fuchsiaroute.gateway import Advice, AdvisedEntry, build_app
from fuchsiaroute.ids import FailureDomainId, Incarnation, InstanceId
from fuchsiaroute.platform import InstanceList, RatingService, TableStore
from fuchsiaroute.serving._agreement import AgreementParts, compose_agreement
from fuchsiaroute.serving._lasting import LastingParts, compose_lasting
from fuchsiaroute.serving._routing import NoRatings, RoutingParts, compose_routing

#: How long a caller may keep an advice.
ADVICE_LIFETIME = Milliseconds(5_000)
MAXIMUM_IN_FLIGHT = 512


@dataclass(frozen=True, kw_only=True)
class EntryOptions:
    """What distinguishes one entry from another."""

    instance: InstanceId
    failure_domain: FailureDomainId
    #: Seed of the entry's random choices.
    seed: int = 0
    #: Keys of session pins, the same for all entries; the first one signs.
    pin_keys: tuple[str, ...] = ()


class ListedEntries:
    """Advice from a fixed list of entries; implements ``AdviceSource``."""

    def __init__(self) -> None:
        #: Entries to advise.
        self.entries: tuple[AdvisedEntry, ...] = ()

    def advise(self, *, caller: str, failure_domain: str) -> Advice:
        """Return the entries, those in ``failure_domain`` first."""
        ordered = sorted(
            self.entries, key=lambda entry: entry.failure_domain != failure_domain
        )
        return Advice(entries=tuple(ordered), lifetime=ADVICE_LIFETIME)


@dataclass(frozen=True, kw_only=True)
class ComposedEntry:
    """An entry that is ready to be served."""

    options: EntryOptions
    app: Litestar
    current: CurrentConfiguration
    poll: ConfigurationPoll
    agreement: AgreementParts
    advice: ListedEntries
    #: Connections to endpoints.
    client: Connections
    routing: RoutingParts
    lasting: LastingParts
    #: Every periodic task of the entry.
    background: Background


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
    advice = ListedEntries()
    agreement = compose_agreement(
        store=store, clock=clock, entry_count=lambda: len(advice.entries)
    )
    current = agreement.current
    randomness = random.Random(options.seed)
    routing = compose_routing(
        current=current,
        store=store,
        rating_service=ratings or NoRatings(),
        pin_keys=options.pin_keys,
        clock=clock,
        entry_count=lambda: len(advice.entries),
        randomness=randomness,
    )
    lasting = compose_lasting(
        store=store,
        clock=clock,
        instance=options.instance,
        incarnation=Incarnation(clock.wall()),
        entry_count=lambda: len(advice.entries),
    )
    steps = Steps(
        admit=InFlightLimit(clock=clock, limit=MAXIMUM_IN_FLIGHT),
        claim=lasting.claims,
        route=routing.route,
        attempt=LeastInFlightAttempt(
            current=current,
            dispatcher=Dispatcher(connections=client, clock=clock),
            randomness=randomness,
        ),
        bill=MeteredBill(bill=lasting.bills, allowances=routing.allowances),
    )
    app = build_app(
        pipeline=Pipeline(steps=steps), current=current, advice=advice, clock=clock
    )
    background = Background()
    background.add("configuration", agreement.poll.run)
    background.add("ratings", routing.ratings.run)
    background.add("claims", lasting.book.run)
    background.add("ledger", lasting.ledger.run)
    return ComposedEntry(
        options=options,
        app=app,
        current=current,
        poll=agreement.poll,
        agreement=agreement,
        advice=advice,
        client=client,
        routing=routing,
        lasting=lasting,
        background=background,
    )
