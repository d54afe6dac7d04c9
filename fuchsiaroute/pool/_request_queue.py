"""Requests that wait until an endpoint has room for them."""

import asyncio
import itertools
from collections import Counter
from dataclasses import dataclass, field, replace

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.fairness import FairQueue, Ticket
from fuchsiaroute.ids import EndpointId, OrganisationId, ServiceId, VersionId
from fuchsiaroute.pool._pool import Demand, EndpointPool, NoChoice, Reservation
from fuchsiaroute.request import Request

#: Requests that may wait at one instance.
MOST_WAITING = 500
#: Highest rank of the fair queue, which takes higher numbers first.
_HIGHEST_RANK = 10
#: Least urgent priority that is told apart.
_LOWEST_PRIORITY = 9
#: Rank of requests that are late already.
_DEMOTED_RANK = 0
#: Weight of the newest interval between two starts in their mean.
SMOOTHING = 0.1
#: Shortest and longest advice on when to come back.
SHORTEST_RETURN = Milliseconds(100)
LONGEST_RETURN = Milliseconds(2_000)


@dataclass(frozen=True, kw_only=True)
class QueueRefusal:
    """Why a request got no endpoint; it has not been sent anywhere."""

    reason: NoChoice
    #: When a place is expected.
    retry_after: Milliseconds


#: Service, versions and endpoints that a request may use: requests that differ in these
#: wait in different lines, so that none holds up another that could start.
_LineKey = tuple[ServiceId, frozenset[VersionId] | None, frozenset[EndpointId]]


@dataclass
class _Progress:
    """How the requests of one service get on."""

    running: Counter[OrganisationId] = field(default_factory=Counter)
    #: Mean time between two starts of waiting requests.
    interval: float = 0.0
    started_at: Milliseconds = Milliseconds(0)


@dataclass
class _Waiter:
    demand: Demand
    woken: "asyncio.Future[Reservation | QueueRefusal]"
    #: Instant after which the answer cannot be in time any more.
    in_time_until: Milliseconds
    ticket: Ticket


class RequestQueue:
    """
    Gives places in order of priority and, within it, by organisations' fair shares.

    A request is refused as soon as it is clear that it would wait too long. A place
    that is given back goes to the next one at once.
    """

    def __init__(self, pool: EndpointPool, *, clock: Clock) -> None:
        self._pool = pool
        self._clock = clock
        self._numbers = itertools.count(1)
        self._lines: dict[_LineKey, FairQueue] = {}
        self._progress: dict[ServiceId, _Progress] = {}
        self._waiters: dict[int, _Waiter] = {}

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait."""
        return len(self._waiters)

    async def reserve(
        self,
        request: Request,
        demand: Demand,
        *,
        priority: int,
        max_wait: Milliseconds,
        deprioritise_after: Milliseconds,
    ) -> Reservation | QueueRefusal:
        """
        Reserve a place now, or wait at most ``max_wait`` for one.

        ``priority`` 0 is the most urgent. A request that has waited for
        ``deprioritise_after`` gives way to those that can still be answered in time.
        """
        progress = self._progress.setdefault(demand.service, _Progress())
        key = (demand.service, demand.versions, demand.excluded)
        line = self._lines.get(key)
        if line is None:
            chosen = self._pool.choose(demand)
            if isinstance(chosen, Reservation):
                return self._counted(progress, request.organisation, chosen)
            if chosen is NoChoice.NONE:
                return QueueRefusal(reason=chosen, retry_after=LONGEST_RETURN)
        now = self._clock.now()
        ticket = Ticket(
            number=next(self._numbers),
            request=request,
            priority=_HIGHEST_RANK - min(max(priority, 0), _LOWEST_PRIORITY),
            weight=1,
            admitted_at=now,
            latest_start=Milliseconds(now + max_wait),
        )
        ahead = line.ahead_of(ticket) if line is not None else 0.0
        wait = ahead * progress.interval
        if wait > max_wait or len(self._waiters) >= MOST_WAITING:
            return RequestQueue._refusal(wait)
        in_time_until = Milliseconds(now + deprioritise_after)
        return await self._wait(key, ticket, demand, in_time_until)

    def wake(self) -> None:
        """Start what can start and refuse what has waited in vain."""
        for key, line in list(self._lines.items()):
            progress = self._progress[key[0]]
            self._expire(line, progress)
            self._demote(line)
            self._start_all(line, progress)
            if not len(line):
                self._lines.pop(key, None)
        for service in self._progress.keys() - {key[0] for key in self._lines}:
            # The time until the next request waits says nothing about places.
            self._progress[service].started_at = Milliseconds(0)

    def _start_all(self, line: FairQueue, progress: _Progress) -> None:
        while (ticket := line.head(progress.running)) is not None:
            waiter = self._waiters[ticket.number]
            if not waiter.woken.done():
                chosen = self._pool.choose(waiter.demand)
                if chosen is NoChoice.FULL:
                    return
                self._note_start(progress)
                if isinstance(chosen, Reservation):
                    self._counted(progress, ticket.request.organisation, chosen)
                    waiter.woken.set_result(chosen)
                else:
                    waiter.woken.set_result(
                        QueueRefusal(reason=chosen, retry_after=LONGEST_RETURN)
                    )
            line.remove(ticket)

    async def _wait(
        self,
        key: _LineKey,
        ticket: Ticket,
        demand: Demand,
        in_time_until: Milliseconds,
    ) -> Reservation | QueueRefusal:
        woken: asyncio.Future[Reservation | QueueRefusal]
        woken = asyncio.get_running_loop().create_future()
        waiter = _Waiter(demand, woken, in_time_until, ticket)
        self._waiters[ticket.number] = waiter
        line = self._lines.setdefault(key, FairQueue())
        line.push(ticket)
        try:
            return await woken
        except asyncio.CancelledError:
            if woken.done() and not woken.cancelled():
                given = woken.result()
                if isinstance(given, Reservation):
                    given.revoke()
            raise
        finally:
            line.remove(waiter.ticket)
            if not len(line) and self._lines.get(key) is line:
                del self._lines[key]
            del self._waiters[ticket.number]

    def _demote(self, line: FairQueue) -> None:
        """Put requests that cannot be in time any more behind all others."""
        now = self._clock.now()
        for ticket in list(line):
            waiter = self._waiters[ticket.number]
            if ticket.priority > _DEMOTED_RANK and waiter.in_time_until < now:
                line.remove(ticket)
                waiter.ticket = replace(ticket, priority=_DEMOTED_RANK)
                line.push(waiter.ticket)

    def _counted(
        self,
        progress: _Progress,
        organisation: OrganisationId,
        reservation: Reservation,
    ) -> Reservation:
        """Count a request of an organisation until its place is given back."""
        running = progress.running
        running[organisation] += 1

        def uncount() -> None:
            running[organisation] -= 1
            if running[organisation] <= 0:
                del running[organisation]
            wake()

        def wake() -> None:
            if self._waiters:
                asyncio.get_running_loop().call_soon(self.wake)

        reservation.watch(on_started=wake, on_finish=uncount)
        return reservation

    def _expire(self, line: FairQueue, progress: _Progress) -> None:
        for ticket in line.expired(self._clock.now()):
            waiter = self._waiters[ticket.number]
            line.remove(ticket)
            if not waiter.woken.done():
                waiter.woken.set_result(RequestQueue._refusal(progress.interval))

    def _note_start(self, progress: _Progress) -> None:
        now = self._clock.now()
        if progress.started_at:
            interval = now - progress.started_at
            progress.interval += SMOOTHING * (interval - progress.interval)
        progress.started_at = now

    @staticmethod
    def _refusal(wait: float) -> QueueRefusal:
        bounded = min(max(round(wait), SHORTEST_RETURN), LONGEST_RETURN)
        return QueueRefusal(reason=NoChoice.FULL, retry_after=Milliseconds(bounded))
