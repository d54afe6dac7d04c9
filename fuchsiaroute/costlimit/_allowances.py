"""Allowances: parts of daily cost limits, leased through the table service."""

import asyncio
from collections import defaultdict
from collections.abc import Callable

from returns.result import Failure, Success

from fuchsiaroute.clock import Clock
from fuchsiaroute.configuration import Organisation
from fuchsiaroute.costlimit._meter import CostMeter, Day, day_of
from fuchsiaroute.ids import OrganisationId, RequestId
from fuchsiaroute.request import Request
from fuchsiaroute.routing import NO_LIMIT
from fuchsiaroute.store import (
    Check,
    Committed,
    Put,
    Record,
    TableStore,
    Transaction,
)

#: Share of the remaining daily limit that one lease takes, divided by the number of
#: entries.
_LEASE_SHARE = 0.25
#: Smallest lease, as a multiple of the cost of the request that needs it. Leases
#: would otherwise become tiny and frequent when the limit is nearly used up.
_MIN_LEASE_REQUESTS = 10
#: Share of the daily limit that all entries together may spend without a lease while
#: the table service does not answer. The operators' documentation states this.
OUTAGE_OVERSHOOT = 0.02
_MAX_ATTEMPTS = 4


def allowance_key(organisation: OrganisationId, day: Day) -> str:
    """Return the key of the record that holds the sum of a day's leases."""
    return f"costlimit/{day}/{organisation}"


class Allowances:
    """
    Leases parts of the organisations' daily limits for this entry.

    One record per organisation and day holds the sum of all leases. Taking a lease is
    a compare-and-set that keeps the sum within the limit. Leases shrink with the
    remaining limit, so that no entry holds a large unused part when it is nearly used
    up.
    """

    def __init__(
        self,
        *,
        store: TableStore,
        meter: CostMeter,
        clock: Clock,
        entry_count: Callable[[], int],
    ) -> None:
        self._store = store
        self._meter = meter
        self._clock = clock
        self._entry_count = entry_count
        self._locks: defaultdict[OrganisationId, asyncio.Lock] = defaultdict(
            asyncio.Lock
        )
        self._granted_without_lease: dict[tuple[OrganisationId, Day], int] = {}
        self._exhausted: dict[OrganisationId, tuple[Day, int]] = {}

    async def budget(self, organisation: Organisation, *, cost: int) -> int:
        """
        Return what ``organisation`` may spend on a request, in micro-units.

        ``cost`` is the highest expected cost of the request; if less is available at
        this entry, a lease is taken first.
        """
        if organisation.daily_cost_limit == 0:
            return NO_LIMIT
        if self._meter.available(organisation.id) < cost:
            async with self._locks[organisation.id]:
                if self._meter.available(organisation.id) < cost:
                    await self._lease(organisation, cost)
        return max(0, self._meter.available(organisation.id))

    def reserve(self, request: Request, *, cost: int) -> None:
        """Reserve the expected cost of a routed request."""
        self._meter.reserve(
            request.organisation, request.id, cost=cost, deadline=request.deadline
        )

    def settle(
        self, organisation: OrganisationId, request: RequestId, *, cost: int
    ) -> None:
        """Replace the reservation of a billed request by its actual cost."""
        self._meter.settle(organisation, request, cost=cost)

    async def release_unused(self) -> None:
        """Return unused allowances; call it after the last request has ended."""
        day = day_of(self._clock.wall())
        for organisation in self._meter.organisations():
            unused = self._meter.take_unused(organisation)
            if unused:
                await self._add_to_sum(organisation, day, -unused)

    async def _lease(self, organisation: Organisation, cost: int) -> None:
        day = day_of(self._clock.wall())
        if self._exhausted.get(organisation.id) == (day, organisation.daily_cost_limit):
            return
        for _ in range(_MAX_ATTEMPTS):
            answer = await self._store.read((allowance_key(organisation.id, day),))
            if isinstance(answer, Failure):
                self._grant_without_lease(organisation, day, cost)
                return
            (record,) = answer.unwrap()
            amount = self._lease_amount(organisation, _leased_sum(record), cost)
            if amount <= 0:
                self._exhausted[organisation.id] = (day, organisation.daily_cost_limit)
                return
            outcome = await self._store.commit(_transaction(record, amount))
            if isinstance(outcome, Failure):
                # The lease may have been stored although its answer was lost. It is
                # not used, so that the limit holds.
                self._grant_without_lease(organisation, day, cost)
                return
            if isinstance(outcome.unwrap(), Committed):
                self._meter.grant(organisation.id, day, amount)
                return
        # Other entries won every race for the record, as when all start at once. The
        # limit may not be reached, so refusing the request would be wrong.
        self._grant_without_lease(organisation, day, cost)

    def _lease_amount(self, organisation: Organisation, leased: int, cost: int) -> int:
        remaining = organisation.daily_cost_limit - leased
        share = int(remaining * _LEASE_SHARE) // max(1, self._entry_count())
        deficit = max(0, -self._meter.available(organisation.id))
        requested = max(share, cost * _MIN_LEASE_REQUESTS) + deficit
        return min(remaining, requested)

    def _grant_without_lease(
        self, organisation: Organisation, day: Day, cost: int
    ) -> None:
        limit = int(organisation.daily_cost_limit * OUTAGE_OVERSHOOT)
        limit //= max(1, self._entry_count())
        used = self._granted_without_lease.get((organisation.id, day), 0)
        amount = cost - max(0, self._meter.available(organisation.id))
        if used + amount > limit:
            return
        self._granted_without_lease = {
            key: value
            for key, value in self._granted_without_lease.items()
            if key[1] == day
        }
        self._granted_without_lease[organisation.id, day] = used + amount
        self._meter.grant(organisation.id, day, amount)

    async def _add_to_sum(
        self, organisation: OrganisationId, day: Day, amount: int
    ) -> None:
        for _ in range(_MAX_ATTEMPTS):
            answer = await self._store.read((allowance_key(organisation, day),))
            if isinstance(answer, Failure):
                return
            outcome = await self._store.commit(_transaction(answer.unwrap()[0], amount))
            if isinstance(outcome, Success) and isinstance(outcome.unwrap(), Committed):
                return
            if isinstance(outcome, Failure):
                return


def _leased_sum(record: Record) -> int:
    return int(record.value) if record.value else 0


def _transaction(record: Record, amount: int) -> Transaction:
    value = str(max(0, _leased_sum(record) + amount)).encode()
    return Transaction(
        checks=(Check(key=record.key, version=record.version),),
        puts=(Put(key=record.key, value=value),),
    )
