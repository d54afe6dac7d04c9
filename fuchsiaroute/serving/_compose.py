"""The parts of an entry, put together."""

import random
from dataclasses import dataclass

import httpx
from litestar import Litestar

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.configuration import (
    READY_STATES,
    ConfigurationPoller,
    ConfigurationReader,
    InForce,
)
from fuchsiaroute.dispatch import Dispatcher
from fuchsiaroute.entry import (
    ConfigurationPoll,
    CurrentConfiguration,
    DeclaredQualityRoute,
    InFlightLimit,
    LeastInFlightAttempt,
    Pipeline,
    Steps,
    StoredClaims,
    StoredLedger,
)
from fuchsiaroute.gateway import Advice, AdvisedEntry, build_app
from fuchsiaroute.ids import FailureDomainId, InstanceId
from fuchsiaroute.platform import InstanceList, TableStore
from fuchsiaroute.transport import build_client

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
    in_force: InForce
    advice: ListedEntries
    client: httpx.AsyncClient


def compose_entry(
    *,
    options: EntryOptions,
    store: TableStore,
    instances: InstanceList,
    clock: Clock,
) -> ComposedEntry:
    """Return an entry whose parts use ``store`` and ``clock``."""
    in_force = InForce(clock)
    in_force.note_majority(hears_majority=True)
    current = CurrentConfiguration(may_serve=lambda: in_force.readiness in READY_STATES)
    in_force.subscribe(
        lambda held: current.apply(held.change.revision, held.configuration)
    )
    client = build_client()
    steps = Steps(
        admit=InFlightLimit(clock=clock, limit=MAXIMUM_IN_FLIGHT),
        claim=StoredClaims(store=store, clock=clock),
        route=DeclaredQualityRoute(current=current),
        attempt=LeastInFlightAttempt(
            current=current,
            dispatcher=Dispatcher(client=client, clock=clock),
            randomness=random.Random(options.seed),
        ),
        bill=StoredLedger(store=store),
    )
    advice = ListedEntries()
    app = build_app(
        pipeline=Pipeline(steps=steps), current=current, advice=advice, clock=clock
    )
    return ComposedEntry(
        options=options,
        app=app,
        current=current,
        poll=ConfigurationPoll(
            poller=ConfigurationPoller(ConfigurationReader(store), in_force, clock),
            clock=clock,
        ),
        in_force=in_force,
        advice=advice,
        client=client,
    )
