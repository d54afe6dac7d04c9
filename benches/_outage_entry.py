"""An entry of the store-outage bench, with stubs for admission and endpoints."""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from random import Random

from returns.result import Result, Success

from examples import timberline
from fuchsiaroute.clock import Clock
from fuchsiaroute.configuration import Configuration
from fuchsiaroute.entry import (
    Attempt,
    BackgroundTasks,
    Call,
    MeteredBillStep,
    NoVersion,
    Pipeline,
    Steps,
)
from fuchsiaroute.ids import EndpointId, Incarnation, InstanceId, Revision, VersionId
from fuchsiaroute.request import Request
from fuchsiaroute.serving._configuration import compose_configuration
from fuchsiaroute.serving._durable import compose_durable
from fuchsiaroute.serving._routing import EmptyRatingService, compose_routing
from fuchsiaroute.store import (
    MemoryEngine,
    MemoryEngineOrders,
    MemoryTableStore,
    StoreClient,
    StoreFunction,
)
from fuchsiaroute.verdict import Refusal

#: Daily cost limit of each organisation in micro-units, too high to be reached.
DAILY_LIMIT = 10**12
ANSWER = b"x" * 2_048


class OpenAdmission:
    """Admits every request; implements ``AdmitStep``."""

    async def admit(self, request: Request) -> Result[None, Refusal]:
        """Admit ``request``."""
        return Success(None)

    def release(self, request: Request) -> None:
        """Do nothing: admission has no limit."""


class ImmediateAttempt:
    """Answers every call without delay; implements ``AttemptStep``."""

    async def attempt(
        self, call: Call, version: VersionId | NoVersion
    ) -> Result[Attempt, Refusal]:
        """Return a complete answer."""
        return Success(
            Attempt(
                endpoint=EndpointId("endpoint"),
                status=200,
                content_type="text/plain",
                chunks=_answer(),
            )
        )


class OutageEntry:
    """The steps and background tasks of an entry that use the store."""

    def __init__(
        self,
        number: int,
        *,
        store: MemoryTableStore,
        clock: Clock,
        entry_count: Callable[[], int],
    ) -> None:
        random = Random(number)
        client = StoreClient(store, clock=clock, random=random, entry_count=entry_count)
        configuration = compose_configuration(
            store=client.view(StoreFunction.CONFIGURATION),
            clock=clock,
            entry_count=entry_count,
        )
        current = configuration.current
        current.apply(Revision(1), declared())
        engines = {item.id: MemoryEngine() for item in declared().endpoints}
        self.durable = compose_durable(
            client=client,
            clock=clock,
            instance=InstanceId(f"entry-{number}"),
            incarnation=Incarnation(1),
            entry_count=entry_count,
            configuration=lambda: current.configuration,
            orders=MemoryEngineOrders(engines),
            random=random,
        )
        routing = compose_routing(
            current=current,
            store=client.view(StoreFunction.SPENDING),
            configuration_store=client.view(StoreFunction.CONFIGURATION),
            quality_store=client.view(StoreFunction.QUALITY),
            rating_service=EmptyRatingService(),
            pin_keys=("bench",),
            clock=clock,
            entry_count=entry_count,
            random=random,
        )
        steps = Steps(
            admit=OpenAdmission(),
            claim=self.durable.claims,
            route=routing.route,
            attempt=ImmediateAttempt(),
            bill=MeteredBillStep(
                bill=self.durable.bills, allowances=routing.allowances
            ),
        )
        self.pipeline = Pipeline(steps=steps)
        self.background = BackgroundTasks(clock)
        self.background.add("configuration", configuration.poll.run)
        self.background.add("ratings", routing.ratings.run)
        self.background.add("claims", self.durable.claim_table.run)
        self.background.add("ledger", self.durable.ledger.run)
        self.background.add("placement", self.durable.placement.run)

    def calls(self) -> dict[StoreFunction, tuple[int, int]]:
        """Return the number of reads and writes so far, by function."""
        views = {item: self.durable.client.view(item) for item in StoreFunction}
        return {item: (view.reads, view.writes) for item, view in views.items()}


def declared() -> Configuration:
    """Return the example deployment with a cost limit for each organisation."""
    configuration = timberline.declare()
    organisations = tuple(
        replace(item, daily_cost_limit=DAILY_LIMIT)
        for item in configuration.organisations
    )
    return replace(configuration, organisations=organisations)


async def _answer() -> AsyncIterator[bytes]:
    await asyncio.sleep(0)
    yield ANSWER
