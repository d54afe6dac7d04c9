"""Grants the places at the brittle endpoints that this instance is responsible for."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.ids import EndpointId, InstanceId
from fuchsiaroute.places._holder import Holding
from fuchsiaroute.places._room import Room

#: Time after taking over in which nothing is granted: all instances report what they
#: hold before.
TAKEOVER_TIME = Milliseconds(800)
#: Time without a report after which an instance's places are free. Its own have lapsed
#: before (``LAPSE_TIME``).
SILENT_TIME = Milliseconds(3_600)
#: Time without a report of an instance that holds places after which it is told again
#: what it is allowed.
REPEAT_TIME = Milliseconds(200)
#: The same if it has not acknowledged the latest one.
UNACKNOWLEDGED_REPEAT_TIME = Milliseconds(50)
#: Time for which a report that places are wanted counts.
WANT_TIME = Milliseconds(600)
#: Time after which an instance leaves a place to one that has fewer.
LEASE_TIME = Milliseconds(300)


class BrittleEndpoint(NamedTuple):
    """An endpoint process whose places are granted here."""

    id: EndpointId
    started_at: int
    slots: int
    #: Rejections a second beyond which it falls over.
    tolerance: float


@dataclass(frozen=True, kw_only=True)
class Allowance:
    """How many requests an instance may have in flight at an endpoint process."""

    endpoint: EndpointId
    started_at: int
    instance: InstanceId
    #: Tells the issuers of an endpoint apart that follow each other.
    term: int
    #: Of two allowances of one term, the one with the higher number counts.
    number: int
    allowed: int
    #: Whether instances want places and have none.
    is_contended: bool


@dataclass(slots=True)
class _Share:
    """What one instance holds."""

    #: What it was allowed last, and the number of that allowance.
    allowed: int
    number: int = 0
    #: The most that it may be using, as far as its reports show.
    granted: int = 0
    #: Whether the latest allowance has arrived.
    is_acknowledged: bool = False
    used: int = 0
    sequence: int = 0
    rejected: int = 0
    heard_at: Milliseconds = Milliseconds(0)
    wanted_until: Milliseconds = Milliseconds(0)
    #: When it last got a place.
    served_at: Milliseconds = Milliseconds(0)

    @property
    def repeat_time(self) -> Milliseconds:
        """Return the time without a report after which its allowance is sent again."""
        return REPEAT_TIME if self.is_acknowledged else UNACKNOWLEDGED_REPEAT_TIME

    @property
    def has_unused(self) -> bool:
        """Return whether it reported fewer requests than it is allowed."""
        return self.used < self.allowed


@dataclass(slots=True)
class _Account:
    """The places of an endpoint process."""

    started_at: int
    room: Room
    term: int
    ready_at: Milliseconds
    shares: dict[InstanceId, _Share] = field(default_factory=dict)
    #: Instances that hold places, which are few of many.
    holders: set[InstanceId] = field(default_factory=set)
    #: Instances that want places, in the order in which they are served.
    claims: dict[InstanceId, None] = field(default_factory=dict)

    def sum_of_allowed(self) -> int:
        """Return the requests that all instances may have in flight."""
        return sum(self.shares[name].allowed for name in self.holders)

    def sum_of_granted(self) -> int:
        """Return the requests that all instances may be having in flight."""
        return sum(self.shares[name].granted for name in self.holders)

    def next_claimant(self) -> InstanceId:
        """Return the first instance that has no place, or else the first one."""
        for name in self.claims:
            if not self.shares[name].allowed:
                return name
        return next(iter(self.claims))

    def update(self, instance: InstanceId, *, now: Milliseconds) -> None:
        """Update whether an instance holds or wants places."""
        share = self.shares[instance]
        if share.granted or share.allowed:
            self.holders.add(instance)
        else:
            self.holders.discard(instance)
        if share.wanted_until > now:
            self.claims.setdefault(instance)
        else:
            self.claims.pop(instance, None)

    def forget(self, instance: InstanceId) -> None:
        """Free the places of an instance."""
        del self.shares[instance]
        self.holders.discard(instance)
        self.claims.pop(instance, None)


class PlaceIssuer:
    """
    Grants places so that an endpoint never has more requests than it has room for.

    Instances that want places get them in turns. What an instance was allowed counts
    until it has reported to hold less, or was silent for ``SILENT_TIME``.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._accounts: dict[EndpointId, _Account] = {}

    def limit(self, endpoint: EndpointId) -> int | None:
        """Return the requests that may be in flight; None if not granted here."""
        account = self._accounts.get(endpoint)
        return None if account is None else account.room.limit

    def own(self, endpoints: Iterable[BrittleEndpoint]) -> None:
        """Replace the endpoints whose places are granted here."""
        now = self._clock.now()
        owned = {item.id: item for item in endpoints}
        for name in self._accounts.keys() - owned.keys():
            del self._accounts[name]
        for name, item in owned.items():
            account = self._accounts.get(name)
            if account is None or account.started_at != item.started_at:
                self._accounts[name] = _Account(
                    item.started_at,
                    Room(item.slots, tolerance=item.tolerance, clock=self._clock),
                    term=self._clock.wall(),
                    ready_at=Milliseconds(now + TAKEOVER_TIME),
                )
            else:
                account.room.tolerance = item.tolerance

    def report(self, instance: InstanceId, holding: Holding) -> list[Allowance]:
        """
        Apply the report of an instance; return the allowances to send.

        The list is empty if this instance does not grant the endpoint's places.
        """
        account = self._accounts.get(holding.endpoint)
        if account is None or account.started_at != holding.started_at:
            return []
        share = account.shares.get(instance)
        if share is None:
            share = _Share(allowed=holding.held, rejected=holding.rejected)
            account.shares[instance] = share
        if holding.sequence <= share.sequence:
            return []
        self._apply(account, share, holding)
        account.update(instance, now=self._clock.now())
        changed = self._balance(account)
        if share.granted or share.number != holding.number:
            changed.add(instance)
        return self._allowances(holding.endpoint, account, changed)

    def refresh(self) -> list[Allowance]:
        """Return the allowances that have changed with time; called periodically."""
        now = self._clock.now()
        allowances = []
        for name, account in self._accounts.items():
            account.room.refresh()
            for instance, share in list(account.shares.items()):
                if now - share.heard_at > SILENT_TIME:
                    account.forget(instance)
                else:
                    account.update(instance, now=now)
            changed = self._balance(account)
            changed |= {
                name
                for name in account.holders
                if now - account.shares[name].heard_at
                > account.shares[name].repeat_time
            }
            allowances += self._allowances(name, account, changed)
        return allowances

    def _apply(self, account: _Account, share: _Share, holding: Holding) -> None:
        now = self._clock.now()
        share.sequence = holding.sequence
        share.heard_at = now
        share.used = holding.used
        share.wanted_until = Milliseconds(now + WANT_TIME if holding.is_wanted else 0)
        if holding.rejected > share.rejected:
            account.room.record_rejections(holding.rejected - share.rejected)
        share.rejected = holding.rejected
        latest = (account.term, share.number)
        share.is_acknowledged = (holding.term, holding.number) == latest
        if share.is_acknowledged:
            share.granted = holding.held
            share.allowed = min(share.allowed, holding.held)
        else:
            # The latest allowance may still arrive.
            share.granted = max(share.granted, share.allowed, holding.held)

    def _balance(self, account: _Account) -> set[InstanceId]:
        """Change what instances are allowed; return those that are to be told."""
        changed = self._shrink(account)
        if account.claims and self._may_grant(account):
            changed |= self._grant(account)
            if account.claims:
                changed |= self._recall(account)
        for instance in changed:
            share = account.shares[instance]
            share.number += 1
            share.is_acknowledged = False
        return changed

    def _may_grant(self, account: _Account) -> bool:
        return self._clock.now() >= account.ready_at and not account.room.is_closed

    def _shrink(self, account: _Account) -> set[InstanceId]:
        """Lower allowances until their sum is within the room."""
        changed: set[InstanceId] = set()
        shares = account.shares
        excess = account.sum_of_allowed() - account.room.limit
        for _ in range(excess):
            instance = max(account.holders, key=lambda name: shares[name].allowed)
            shares[instance].allowed -= 1
            changed.add(instance)
        return changed

    def _grant(self, account: _Account) -> set[InstanceId]:
        """Grant the places that are free."""
        now = self._clock.now()
        changed: set[InstanceId] = set()
        free = account.room.limit - account.sum_of_granted()
        while free > 0 and account.claims:
            instance = account.next_claimant()
            del account.claims[instance]
            share = account.shares[instance]
            if share.wanted_until <= now:
                continue
            share.allowed += 1
            free -= max(share.allowed - share.granted, 0)
            share.granted = max(share.granted, share.allowed)
            # It is about to use the place.
            share.used += 1
            share.served_at = now
            account.holders.add(instance)
            changed.add(instance)
        return changed

    def _recall(self, account: _Account) -> set[InstanceId]:
        """Lower the allowance of one instance in favour of one that waits."""
        shares = account.shares
        coming = account.sum_of_granted() - account.sum_of_allowed()
        if coming >= len(account.claims):
            return set()
        now = self._clock.now()
        claimant = account.next_claimant()
        fewest = shares[claimant].allowed
        candidates = []
        for name in account.holders - {claimant}:
            share = shares[name]
            has_lease = now - share.served_at < LEASE_TIME
            has_more = share.allowed > fewest + (1 if has_lease else 0)
            if share.allowed and (share.has_unused or has_more):
                order = (share.has_unused, share.allowed, -share.served_at, name)
                candidates.append(order)
        if not candidates:
            return set()
        instance = max(candidates)[-1]
        shares[instance].allowed -= 1
        return {instance}

    def _allowances(
        self, endpoint: EndpointId, account: _Account, changed: set[InstanceId]
    ) -> list[Allowance]:
        return [
            Allowance(
                endpoint=endpoint,
                started_at=account.started_at,
                instance=instance,
                term=account.term,
                number=account.shares[instance].number,
                allowed=account.shares[instance].allowed,
                is_contended=len(account.claims) > int(instance in account.claims),
            )
            for instance in sorted(changed)
        ]
