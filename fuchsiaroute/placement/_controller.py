"""Reconciles the engines of one failure domain with the configuration."""

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
    engines_in,
    plan_orders,
    wanted_versions,
)
from fuchsiaroute.store import EngineOrders, Order, OrderError, OrderKind

#: Time between two comparisons of the engines with the configuration.
RECONCILIATION_INTERVAL = Milliseconds(15_000)
#: Longest time that an order of a former holder can take to reach an engine.
MAX_ORDER_DELAY = Milliseconds(10_000)
#: Time that an engine has to load a version before the order is repeated.
LOAD_TIMEOUT = Milliseconds(120_000)
#: Most engines whose loaded versions are read at the same time.
MAX_CONCURRENT_READS = 16
MILLISECONDS_PER_MINUTE = 60_000


class LoadRateLimiter:
    """Token bucket of the loads from the weight store that a lease holder may order."""

    def __init__(self, *, clock: Clock, loads_per_minute: float) -> None:
        self._clock = clock
        self._rate = loads_per_minute / MILLISECONDS_PER_MINUTE
        # One reconciliation may order the loads accrued since the last one.
        self._burst = max(1.0, self._rate * RECONCILIATION_INTERVAL)
        self._tokens = 0.0
        self._refilled_at = clock.now()

    def reset(self) -> None:
        """Remove all tokens, since the former holder may have used them."""
        self._tokens = 0.0
        self._refilled_at = self._clock.now()

    def take(self) -> bool:
        """Take a token for one load; return False if there is none."""
        now = self._clock.now()
        accrued = (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + accrued)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class PlacementController:
    """Sends orders to the engines of one failure domain while it holds the lease."""

    def __init__(
        self,
        failure_domain: FailureDomainId,
        *,
        lease: Lease,
        orders: EngineOrders,
        configuration: Callable[[], Configuration],
        clock: Clock,
        limit: LoadRateLimiter,
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
        #: ``acquired_at`` of the lease for which the limit was last reset.
        self._limit_acquired_at = Milliseconds(-1)

    async def run(self) -> None:
        """Renew the lease and send orders until cancelled."""
        await asyncio.gather(self._run_lease_loop(), self._run_reconciliation_loop())

    async def reconcile(self) -> None:
        """Compare the engines with the configuration once; send the orders needed."""
        if not self._lease.is_held:
            return
        self._reset_limit_if_acquired()
        configuration = self._configuration()
        endpoints = engines_in(configuration, self._failure_domain)
        engines = await self._read_engines(configuration, endpoints)
        planned = plan_orders(configuration, engines, self._clock.now())
        by_id = {endpoint.id: endpoint for endpoint in endpoints}
        for order in planned:
            if not self._lease.is_held:
                return
            await self._send_order(order, by_id[order.endpoint])

    async def _run_lease_loop(self) -> None:
        await self._clock.sleep(self._lease.initial_delay(self._entry_count()))
        while True:
            await self._lease.step()
            await self._clock.sleep(self._lease.next_delay(self._entry_count()))

    async def _run_reconciliation_loop(self) -> None:
        while True:
            await self.reconcile()
            await self._clock.sleep(RECONCILIATION_INTERVAL)

    def _reset_limit_if_acquired(self) -> None:
        """Reset the load rate limit whenever the lease has been acquired anew."""
        if self._limit_acquired_at != self._lease.acquired_at:
            self._limit_acquired_at = self._lease.acquired_at
            self._limit.reset()

    async def _read_engines(
        self, configuration: Configuration, endpoints: tuple[Endpoint, ...]
    ) -> dict[EndpointId, EngineState]:
        """Return the states of the engines that answered; others get no orders now."""
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_READS)

        async def read(
            endpoint: Endpoint,
        ) -> Result[frozenset[VersionId], OrderError]:
            async with semaphore:
                return await self._orders.loaded(endpoint.id)

        answers = await asyncio.gather(*(read(endpoint) for endpoint in endpoints))
        return {
            endpoint.id: self._engine_state(configuration, endpoint, answer.unwrap())
            for endpoint, answer in zip(endpoints, answers, strict=True)
            if isinstance(answer, Success)
        }

    def _engine_state(
        self,
        configuration: Configuration,
        endpoint: Endpoint,
        loaded: frozenset[VersionId],
    ) -> EngineState:
        previous = self._unwanted.get(endpoint.id, {})
        wanted = wanted_versions(configuration, endpoint)
        now = self._clock.now()
        unwanted = {
            version: previous.get(version, now) for version in loaded.difference(wanted)
        }
        self._unwanted[endpoint.id] = unwanted
        return EngineState(loaded=loaded, unwanted_since=unwanted)

    async def _send_order(self, planned: PlannedOrder, endpoint: Endpoint) -> None:
        if self._is_recently_confirmed(planned) or not self._is_safe_to_order(endpoint):
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
                outcome=_outcome_name(outcome),
                reason=_REASONS[order.kind],
            )
        )

    def _is_recently_confirmed(self, planned: PlannedOrder) -> bool:
        """Return whether the order was confirmed less than ``LOAD_TIMEOUT`` ago."""
        confirmed_at = self._confirmed_at.get(planned)
        if confirmed_at is None:
            return False
        return self._clock.now() - confirmed_at < LOAD_TIMEOUT

    def _is_safe_to_order(self, endpoint: Endpoint) -> bool:
        """Return whether orders of former holders no longer affect ``endpoint``."""
        if endpoint.is_fencing_checked:
            return True
        held_for = self._clock.now() - self._lease.acquired_at
        return held_for >= MAX_ORDER_DELAY

    async def _send_if_held(self, order: Order) -> Result[None, OrderError] | None:
        """Send ``order``, with no ``await`` between checking the lease and the call."""
        if not self._lease.is_held:
            return None
        outcome = await self._orders.send(order)
        if outcome == Failure(OrderError.FENCED):
            self._lease.mark_lost()
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


def _outcome_name(outcome: Result[None, OrderError] | None) -> str:
    if outcome is None:
        return "not-sent"
    if isinstance(outcome, Success):
        return "confirmed"
    return _OUTCOMES[outcome.failure()]
