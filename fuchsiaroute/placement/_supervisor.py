"""Runs a placement controller for each failure domain of the configuration."""

import asyncio
from collections.abc import Callable
from random import Random

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.configuration import Configuration
from fuchsiaroute.ids import FailureDomainId, Incarnation, InstanceId
from fuchsiaroute.placement._controller import LoadRateLimiter, PlacementController
from fuchsiaroute.placement._lease import Lease
from fuchsiaroute.store import EngineOrders, TableStore

#: Time between two checks for new failure domains.
DOMAIN_CHECK_INTERVAL = Milliseconds(5_000)
#: Loads a minute that the weight store can serve for the whole deployment.
LOADS_PER_MINUTE = 12.0


class PlacementSupervisor:
    """Runs a controller with its own lease for each failure domain."""

    def __init__(
        self,
        *,
        store: TableStore,
        orders: EngineOrders,
        configuration: Callable[[], Configuration],
        clock: Clock,
        instance: InstanceId,
        incarnation: Incarnation,
        random: Random,
        entry_count: Callable[[], int],
        loads_per_minute: float = LOADS_PER_MINUTE,
    ) -> None:
        self._store = store
        self._orders = orders
        self._configuration = configuration
        self._clock = clock
        self._instance = instance
        self._incarnation = incarnation
        self._random = random
        self._entry_count = entry_count
        self._loads_per_minute = loads_per_minute
        self._leases: dict[FailureDomainId, Lease] = {}
        self._tasks: dict[FailureDomainId, asyncio.Task[None]] = {}

    @property
    def held_domains(self) -> tuple[FailureDomainId, ...]:
        """Return the failure domains whose lease this entry holds."""
        return tuple(name for name, lease in self._leases.items() if lease.is_held)

    async def run(self) -> None:
        """Run the controllers until cancelled."""
        try:
            while True:
                self._start_missing()
                await self._clock.sleep(DOMAIN_CHECK_INTERVAL)
        finally:
            for task in self._tasks.values():
                task.cancel()
            await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    async def release(self) -> None:
        """Release the leases at a graceful stop."""
        for lease in self._leases.values():
            await lease.release()

    def _start_missing(self) -> None:
        domains = self._configuration().failure_domains
        for domain in domains:
            if domain.id not in self._tasks:
                controller = self._new_controller(domain.id, len(domains))
                self._tasks[domain.id] = asyncio.create_task(controller.run())

    def _new_controller(
        self, domain: FailureDomainId, domain_count: int
    ) -> PlacementController:
        lease = Lease(
            domain,
            store=self._store,
            clock=self._clock,
            instance=self._instance,
            incarnation=self._incarnation,
            random=self._random,
        )
        self._leases[domain] = lease
        share = self._loads_per_minute / domain_count
        return PlacementController(
            domain,
            lease=lease,
            orders=self._orders,
            configuration=self._configuration,
            clock=self._clock,
            limit=LoadRateLimiter(clock=self._clock, loads_per_minute=share),
            entry_count=self._entry_count,
        )
