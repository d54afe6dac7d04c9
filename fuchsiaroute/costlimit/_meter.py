"""What an organisation may still spend at this entry."""

from dataclasses import dataclass, field
from typing import NewType

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.ids import OrganisationId, RequestId

#: Days since the Unix epoch, in UTC.
Day = NewType("Day", int)

_DAY = 24 * 3_600_000
#: Time after its deadline at which a request that was never billed costs nothing.
_RESERVATION_GRACE = Milliseconds(60_000)


def day_of(instant: Milliseconds) -> Day:
    """Return the day of a Unix time in milliseconds."""
    return Day(instant // _DAY)


@dataclass(frozen=True, kw_only=True)
class _Reservation:
    cost: int
    expires_at: Milliseconds


@dataclass
class _Account:
    """Allowance, spending and open reservations of one day, in micro-units."""

    day: Day
    allowance: int = 0
    spent: int = 0
    reservations: dict[RequestId, _Reservation] = field(default_factory=dict)

    @property
    def free(self) -> int:
        """Return what is neither spent nor reserved; negative after an overrun."""
        reserved = sum(item.cost for item in self.reservations.values())
        return self.allowance - self.spent - reserved


class CostMeter:
    """
    Keeps the accounts of this entry: allowance, reservations, spending.

    A request reserves its expected cost when it is routed and settles the true cost
    when it is billed, so what is in flight counts from the start.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._accounts: dict[OrganisationId, _Account] = {}

    def free(self, organisation: OrganisationId) -> int:
        """Return what the organisation may still spend here, in micro-units."""
        account = self._account(organisation)
        self._expire(account)
        return account.free

    def grant(self, organisation: OrganisationId, day: Day, amount: int) -> None:
        """Add ``amount`` to the allowance of ``day``; one for a past day is void."""
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
        """Set ``cost`` aside for a request until it is settled or expires."""
        account = self._account(organisation)
        account.reservations[request] = _Reservation(
            cost=cost, expires_at=Milliseconds(deadline + _RESERVATION_GRACE)
        )

    def settle(
        self, organisation: OrganisationId, request: RequestId, *, cost: int
    ) -> None:
        """Replace the reservation of a request by its true cost."""
        account = self._account(organisation)
        account.reservations.pop(request, None)
        account.spent += cost

    def take_unused(self, organisation: OrganisationId) -> int:
        """Remove and return the allowance that is free, to be given back."""
        account = self._account(organisation)
        unused = max(0, account.free)
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
            # Reservations stand in order of arrival; the first open one ends the scan.
            if item.expires_at > now:
                break
            del account.reservations[request]
