"""Keeps the engines of one failure domain at what the configuration asks for."""

import asyncio
from collections.abc import Callable

from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.configuration import Configuration, Endpoint
from fuchsiaroute.ids import EndpointId, FailureDomainId, VersionId
from fuchsiaroute.logs import PlacementDecided, log_event
from fuchsiaroute.placement._lease import Lease
from fuchsiaroute.placement._plan import (
    EngineState,
    PlannedOrder,
    engines_of,
    plan_orders,
    wanted_versions,
)
from fuchsiaroute.store import EngineOrders, Order, OrderError, OrderKind

#: Pause between two looks at the engines.
ROUND_INTERVAL = Milliseconds(15_000)
#: Time in which an order of the former holder may still reach an engine.
ORDER_FLIGHT = Milliseconds(10_000)
#: Time that an engine has to load a version before it is ordered again.
LOAD_PATIENCE = Milliseconds(120_000)
#: Engines asked at once for what they have loaded.
MAX_CONCURRENT_READS = 16
MILLISECONDS_PER_MINUTE = 60_000


class WeightStoreLimit:
    """Loads that one lease holder may order; a new holder starts with none."""

    def __init__(self, *, clock: Clock, loads_per_minute: float) -> None:
        self._clock = clock
        self._rate = loads_per_minute / MILLISECONDS_PER_MINUTE
        # A round may order what the rate allows for the time since the last one.
        self._burst = max(1.0, self._rate * ROUND_INTERVAL)
        self._tokens = 0.0
        self._filled_at = clock.now()

    def reset(self) -> None:
        """Start again with no loads, since the former holder may have used them."""
        self._tokens = 0.0
        self._filled_at = self._clock.now()

    def take(self) -> bool:
        """Take one load, or return False if there is none left now."""
        now = self._clock.now()
        earned = (now - self._filled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + earned)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Placer:
    """Gives orders to the engines of one failure domain while it holds the lease."""

    def __init__(
        self,
        failure_domain: FailureDomainId,
        *,
        lease: Lease,
        orders: EngineOrders,
        configuration: Callable[[], Configuration],
        clock: Clock,
        limit: WeightStoreLimit,
        entry_count: Callable[[], int] = lambda: 1,
    ) -> None:
        self._failure_domain = failure_domain
        self._lease = lease
        self._orders = orders
        self._configuration = configuration
        self._clock = clock
        self._limit = limit
        self._entry_count = entry_count
        self._unwanted: dict[EndpointId, dict[VersionId, Milliseconds]] = {}
        self._confirmed_at: dict[PlannedOrder, Milliseconds] = {}
        self._limited_since = Milliseconds(-1)

    async def run(self) -> None:
        """Renew the lease and give orders until cancelled."""
        await asyncio.gather(self._renew_forever(), self._order_forever())

    async def run_round(self) -> None:
        """Compare engines with the configuration once, and order what is missing."""
        if not self._lease.is_held:
            return
        self._note_holder()
        configuration = self._configuration()
        endpoints = engines_of(configuration, self._failure_domain)
        engines = await self._read_engines(configuration, endpoints)
        planned = plan_orders(configuration, engines, self._clock.now())
        by_id = {endpoint.id: endpoint for endpoint in endpoints}
        for order in planned:
            if not self._lease.is_held:
                return
            await self._give(order, by_id[order.endpoint])

    async def _renew_forever(self) -> None:
        await self._clock.sleep(self._lease.first_pause(self._entry_count()))
        while True:
            await self._lease.step()
            await self._clock.sleep(self._lease.pause(self._entry_count()))

    async def _order_forever(self) -> None:
        while True:
            await self.run_round()
            await self._clock.sleep(ROUND_INTERVAL)

    def _note_holder(self) -> None:
        """Start the weight store's limit anew for each time the lease is acquired."""
        if self._limited_since != self._lease.acquired_at:
            self._limited_since = self._lease.acquired_at
            self._limit.reset()

    async def _read_engines(
        self, configuration: Configuration, endpoints: tuple[Endpoint, ...]
    ) -> dict[EndpointId, EngineState]:
        """Return the engines that answered; the others get no orders this round."""
        gate = asyncio.Semaphore(MAX_CONCURRENT_READS)

        async def read(
            endpoint: Endpoint,
        ) -> Result[frozenset[VersionId], OrderError]:
            async with gate:
                return await self._orders.loaded(endpoint.id)

        answers = await asyncio.gather(*(read(endpoint) for endpoint in endpoints))
        return {
            endpoint.id: self._state(configuration, endpoint, answer.unwrap())
            for endpoint, answer in zip(endpoints, answers, strict=True)
            if isinstance(answer, Success)
        }

    def _state(
        self,
        configuration: Configuration,
        endpoint: Endpoint,
        loaded: frozenset[VersionId],
    ) -> EngineState:
        former = self._unwanted.get(endpoint.id, {})
        wanted = wanted_versions(configuration, endpoint)
        now = self._clock.now()
        unwanted = {
            version: former.get(version, now) for version in loaded.difference(wanted)
        }
        self._unwanted[endpoint.id] = unwanted
        return EngineState(loaded=loaded, unwanted_since=unwanted)

    async def _give(self, planned: PlannedOrder, endpoint: Endpoint) -> None:
        if self._is_loading(planned) or not self._may_order(endpoint):
            return
        is_load = planned.kind is OrderKind.LOAD_VERSION
        if is_load and not self._limit.take():
            return
        order = Order(
            endpoint=planned.endpoint,
            kind=planned.kind,
            version=planned.version,
            fencing=self._lease.fencing,
        )
        outcome = await self._send_if_held(order)
        if outcome == Success(None):
            self._confirmed_at[planned] = self._clock.now()
        log_event(
            PlacementDecided(
                endpoint=order.endpoint,
                order=order.kind,
                version=order.version,
                fencing=order.fencing,
                outcome=_describe(outcome),
                reason=_REASONS[order.kind],
            )
        )

    def _is_loading(self, planned: PlannedOrder) -> bool:
        """Return whether the engine confirmed the same order a short time ago."""
        confirmed_at = self._confirmed_at.get(planned)
        if confirmed_at is None:
            return False
        return self._clock.now() - confirmed_at < LOAD_PATIENCE

    def _may_order(self, endpoint: Endpoint) -> bool:
        """Return whether no former holder's order can still reach ``endpoint``."""
        if endpoint.is_fencing_checked:
            return True
        held_for = self._clock.now() - self._lease.acquired_at
        return held_for >= ORDER_FLIGHT

    async def _send_if_held(self, order: Order) -> Result[None, OrderError] | None:
        """Send ``order`` with no suspension between the check and the call."""
        if not self._lease.is_held:
            return None
        outcome = await self._orders.send(order)
        if outcome == Failure(OrderError.FENCED):
            self._lease.lose()
        return outcome


_REASONS = {
    OrderKind.LOAD_VERSION: "declared for the endpoint and not loaded",
    OrderKind.UNLOAD_VERSION: "withdrawn, or no longer declared for the endpoint",
}
_OUTCOMES = {
    OrderError.FENCED: "fenced",
    OrderError.REFUSED: "refused",
    OrderError.UNKNOWN: "unknown",
}


def _describe(outcome: Result[None, OrderError] | None) -> str:
    if outcome is None:
        return "not-sent"
    if isinstance(outcome, Success):
        return "confirmed"
    return _OUTCOMES[outcome.failure()]
