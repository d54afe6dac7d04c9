"""Per-entry accounts of what organisations may still spend."""

from dataclasses import dataclass, field
from typing import NewType

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.ids import OrganisationId, RequestId

#: Days since the Unix epoch, in UTC.
Day = NewType("Day", int)

_MILLISECONDS_PER_DAY = 24 * 3_600_000
#: How long a reservation outlives its request's deadline; a request that is not billed
#: by then costs nothing.
_RESERVATION_EXPIRY = Milliseconds(60_000)


def day_of(instant: Milliseconds) -> Day:
    """Return the UTC day of ``instant``, a Unix time."""
    return Day(instant // _MILLISECONDS_PER_DAY)


@dataclass(frozen=True, kw_only=True)
class _Reservation:
    cost: int
    expires_at: Milliseconds


@dataclass
class _Account:
    """Allowance, spending and reservations of one day, in micro-units."""

    day: Day
    allowance: int = 0
    spent: int = 0
    reservations: dict[RequestId, _Reservation] = field(default_factory=dict)

    @property
    def available(self) -> int:
        """Return what is neither spent nor reserved; negative after an overrun."""
        reserved = sum(item.cost for item in self.reservations.values())
        return self.allowance - self.spent - reserved


class CostMeter:
    """
    Tracks the allowances, reservations and spending of organisations at this entry.

    A request reserves its expected cost when it is routed and settles the actual cost
    when it is billed, so that requests in flight count from the start.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._accounts: dict[OrganisationId, _Account] = {}

    def available(self, organisation: OrganisationId) -> int:
        """Return what the organisation may still spend here, in micro-units."""
        account = self._account(organisation)
        self._expire(account)
        return account.available

    def grant(self, organisation: OrganisationId, day: Day, amount: int) -> None:
        """Add ``amount`` to the allowance of ``day``; ignored if the day has passed."""
        account = self._account(organisation)
        if account.day == day:
            account.allowance += amount

    def reserve(
        self,
        organisation: OrganisationId,
        request: RequestId,
        *,
        cost: int,
        deadline: Milliseconds,
    ) -> None:
        """Reserve ``cost`` for a request until it is settled or expires."""
        account = self._account(organisation)
        account.reservations[request] = _Reservation(
            cost=cost, expires_at=Milliseconds(deadline + _RESERVATION_EXPIRY)
        )

    def settle(
        self, organisation: OrganisationId, request: RequestId, *, cost: int
    ) -> None:
        """Replace the reservation of a request by its actual cost."""
        account = self._account(organisation)
        account.reservations.pop(request, None)
        account.spent += cost

    def take_unused(self, organisation: OrganisationId) -> int:
        """Remove and return the part of the allowance that is available."""
        account = self._account(organisation)
        unused = max(0, account.available)
        account.allowance -= unused
        return unused

    def organisations(self) -> tuple[OrganisationId, ...]:
        """Return the organisations that have an account."""
        return tuple(self._accounts)

    def _account(self, organisation: OrganisationId) -> _Account:
        today = day_of(self._clock.wall())
        account = self._accounts.get(organisation)
        if account is None or account.day != today:
            kept = account.reservations if account is not None else {}
            account = _Account(day=today, reservations=kept)
            self._accounts[organisation] = account
        return account

    def _expire(self, account: _Account) -> None:
        now = self._clock.wall()
        for request, item in list(account.reservations.items()):
            # Reservations are in order of arrival; the scan ends at the first one that
            # has not expired.
            if item.expires_at > now:
                break
            del account.reservations[request]
