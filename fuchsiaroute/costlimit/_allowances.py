"""Leased allowances through the table service."""

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

#: Part of what is left of the day that one lease takes, over all entries together.
_LEASE_SHARE = 0.25
#: Least lease in costs of the request that asked, so that the end of a limit is not
#: spent on leases.
_MIN_LEASE_REQUESTS = 10
#: Part of the daily limit that all entries together may spend without a lease while
#: the table service does not answer; the stated overshoot.
OUTAGE_GRACE = 0.02
_MAX_TRIES = 4


def allowance_key(organisation: OrganisationId, day: Day) -> str:
    """Return the key of the record that sums up the leases of a day."""
    return f"costlimit/{day}/{organisation}"


class Allowances:
    """
    Leases parts of the organisations' daily limits for this entry.

    One record per organisation and day holds the sum of all leases, and a lease is a
    compare-and-set that keeps the sum within the limit. Leases shrink with what is
    left, so that no entry holds much of it when the limit comes near.
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
        self._grace_used: dict[tuple[OrganisationId, Day], int] = {}
        self._exhausted: dict[OrganisationId, tuple[Day, int]] = {}

    async def budget(self, organisation: Organisation, *, cost: int) -> int:
        """
        Return what ``organisation`` may spend on a request, in micro-units.

        ``cost`` is the greatest expected cost of the request; a lease is taken when
        the entry holds less.
        """
        if organisation.daily_cost_limit == 0:
            return NO_LIMIT
        if self._meter.free(organisation.id) < cost:
            async with self._locks[organisation.id]:
                if self._meter.free(organisation.id) < cost:
                    await self._lease(organisation, cost)
        return max(0, self._meter.free(organisation.id))

    def reserve(self, request: Request, *, cost: int) -> None:
        """Set the expected cost of a routed request aside."""
        self._meter.reserve(
            request.organisation, request.id, cost=cost, deadline=request.deadline
        )

    def settle(
        self, organisation: OrganisationId, request: RequestId, *, cost: int
    ) -> None:
        """Count the true cost of a billed request."""
        self._meter.settle(organisation, request, cost=cost)

    async def release_unused(self) -> None:
        """Return what is unused; called once the entry has finished its requests."""
        day = day_of(self._clock.wall())
        for organisation in self._meter.organisations():
            unused = self._meter.take_unused(organisation)
            if unused:
                await self._add(organisation, day, -unused)

    async def _lease(self, organisation: Organisation, cost: int) -> None:
        day = day_of(self._clock.wall())
        if self._exhausted.get(organisation.id) == (day, organisation.daily_cost_limit):
            return
        for _ in range(_MAX_TRIES):
            answer = await self._store.read((allowance_key(organisation.id, day),))
            if isinstance(answer, Failure):
                self._use_grace(organisation, day, cost)
                return
            (record,) = answer.unwrap()
            amount = self._amount(organisation, _leased(record), cost)
            if amount <= 0:
                self._exhausted[organisation.id] = (day, organisation.daily_cost_limit)
                return
            outcome = await self._store.commit(_change(record, amount))
            if isinstance(outcome, Failure):
                # A lease whose answer was lost counts as taken, but is not used.
                self._use_grace(organisation, day, cost)
                return
            if isinstance(outcome.unwrap(), Committed):
                self._meter.grant(organisation.id, day, amount)
                return
        # Many entries lease at once, as when all start. The limit is not known to
        # be reached, so that a refusal would be wrong.
        self._use_grace(organisation, day, cost)

    def _amount(self, organisation: Organisation, leased: int, cost: int) -> int:
        left = organisation.daily_cost_limit - leased
        share = int(left * _LEASE_SHARE) // max(1, self._entry_count())
        deficit = max(0, -self._meter.free(organisation.id))
        wanted = max(share, cost * _MIN_LEASE_REQUESTS) + deficit
        return min(left, wanted)

    def _use_grace(self, organisation: Organisation, day: Day, cost: int) -> None:
        limit = int(organisation.daily_cost_limit * OUTAGE_GRACE)
        limit //= max(1, self._entry_count())
        used = self._grace_used.get((organisation.id, day), 0)
        amount = cost - max(0, self._meter.free(organisation.id))
        if used + amount > limit:
            return
        self._grace_used = {
            key: value for key, value in self._grace_used.items() if key[1] == day
        }
        self._grace_used[organisation.id, day] = used + amount
        self._meter.grant(organisation.id, day, amount)

    async def _add(self, organisation: OrganisationId, day: Day, amount: int) -> None:
        for _ in range(_MAX_TRIES):
            answer = await self._store.read((allowance_key(organisation, day),))
            if isinstance(answer, Failure):
                return
            outcome = await self._store.commit(_change(answer.unwrap()[0], amount))
            if isinstance(outcome, Success) and isinstance(outcome.unwrap(), Committed):
                return
            if isinstance(outcome, Failure):
                return


def _leased(record: Record) -> int:
    return int(record.value) if record.value else 0


def _change(record: Record, amount: int) -> Transaction:
    value = str(max(0, _leased(record) + amount)).encode()
    return Transaction(
        checks=(Check(key=record.key, version=record.version),),
        puts=(Put(key=record.key, value=value),),
    )
