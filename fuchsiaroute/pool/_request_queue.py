"""Queue of requests that wait for capacity at an endpoint."""

import asyncio
import itertools
from collections import Counter
from dataclasses import dataclass, field, replace
from random import Random

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.contention import (
    LEAST_URGENT_PRIORITY,
    FleetDemand,
    Flow,
    FlowDemand,
    Reason,
    combined,
    room_share,
)
from fuchsiaroute.fairness import FairQueue, Ticket
from fuchsiaroute.ids import EndpointId, OrganisationId, ServiceId, VersionId
from fuchsiaroute.pool._demand import Demand, NoChoice
from fuchsiaroute.pool._pool import EndpointPool
from fuchsiaroute.pool._refusals import MAX_RETRY_AFTER, QueueRefusal, Refusals
from fuchsiaroute.pool._reservation import Reservation
from fuchsiaroute.request import Request

#: Maximum number of requests that wait at one instance.
MAX_WAITING_REQUESTS = 500
#: Highest priority of the fair queue, which starts higher numbers first.
_MAX_QUEUE_PRIORITY = 10
#: Queue priority of requests that can no longer be answered in time.
_DEMOTED_QUEUE_PRIORITY = 0
#: Weight of the newest interval between two starts in their moving average.
INTERVAL_EWMA_WEIGHT = 0.1
#: Share of its maximum wait for which a request leaves room to those that go first at
#: other instances. After that it uses all of its room, so that none waits until it is
#: refused while engines take others.
YIELDING_WAIT_SHARE = 0.5
#: Flows in the summary for the other instances; those with most waiting come first.
MAX_SUMMARY_FLOWS = 16
#: Reasons that end while a request waits.
_TEMPORARY = frozenset({NoChoice.FULL, NoChoice.PAUSED, NoChoice.RATE_LIMITED})


#: Service, allowed versions and excluded endpoints. Requests that differ in these wait
#: in separate queues, so that one that cannot start does not block another that can.
_QueueKey = tuple[ServiceId, frozenset[VersionId] | None, frozenset[EndpointId]]


@dataclass
class _ServiceStatistics:
    """Running requests and start rate of one service."""

    service: ServiceId
    running: Counter[OrganisationId] = field(default_factory=Counter)
    #: The running requests by priority, too.
    flows: Counter[Flow] = field(default_factory=Counter)
    #: Moving average of the milliseconds between two starts of waiting requests.
    interval: float = 0.0
    started_at: Milliseconds = Milliseconds(0)


@dataclass
class _Waiter:
    demand: Demand
    future: "asyncio.Future[Reservation | QueueRefusal]"
    #: Time after which the request can no longer be answered in time.
    demote_at: Milliseconds
    ticket: Ticket
    #: Priority of the request, 0 for the most urgent.
    priority: int
    #: Time until which the request leaves room to those that go first elsewhere.
    yields_until: Milliseconds


class RequestQueue:
    """
    Starts waiting requests by priority and, within it, by organisations' fair shares.

    A request is refused as soon as its expected wait exceeds its maximum. A reservation
    that ends starts the next waiting request at once. What runs and waits at other
    instances, as ``fleet`` has it, counts for the shares, and for the room that is left
    to requests that wait there (``room_share``).
    """

    def __init__(
        self,
        pool: EndpointPool,
        *,
        clock: Clock,
        random: Random,
        fleet: FleetDemand | None = None,
    ) -> None:
        self._fleet = fleet or FleetDemand()
        #: Number of choices that left room to others, by reason.
        self.yields: Counter[Reason] = Counter()
        self._pool = pool
        self._clock = clock
        self._refusals = Refusals(random)
        self._numbers = itertools.count(1)
        self._queues: dict[_QueueKey, FairQueue] = {}
        self._statistics: dict[ServiceId, _ServiceStatistics] = {}
        self._waiters: dict[int, _Waiter] = {}

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait."""
        return len(self._waiters)

    def summary(self) -> list[FlowDemand]:
        """
        Return what runs and waits here, for the other instances.

        It is empty while nothing waits at any instance, as it makes no difference then.
        """
        waiting = Counter(_flow(waiter) for waiter in self._waiters.values())
        services = {
            name
            for name in self._statistics
            if self._fleet.service(name).waiting
            or any(flow.service == name for flow in waiting)
        }
        running: Counter[Flow] = Counter()
        for name in services:
            running.update(self._statistics[name].flows)
        rows = [
            FlowDemand(flow, running[flow], waiting[flow])
            for flow in running.keys() | waiting.keys()
        ]
        rows.sort(key=lambda row: (-row.waiting, -row.running, row.flow))
        return rows[:MAX_SUMMARY_FLOWS]

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
        Reserve an endpoint now, or wait at most ``max_wait`` for one.

        ``priority`` 0 is the most urgent. A request that has waited for
        ``deprioritise_after`` starts after those that can still be answered in time.
        """
        priority = min(max(priority, 0), LEAST_URGENT_PRIORITY)
        statistics = self._statistics.get(demand.service)
        if statistics is None:
            statistics = _ServiceStatistics(demand.service)
            self._statistics[demand.service] = statistics
        soonest = self._pool.soonest_return(demand)
        max_known_wait = min(max_wait, max(deprioritise_after, 0))
        if soonest > max_known_wait:
            return self._refusals.until(NoChoice.PAUSED, soonest)
        key = (demand.service, demand.versions, demand.excluded)
        queue = self._queues.get(key)
        if queue is None:
            chosen = self._choose(demand, request.organisation, priority)
            if isinstance(chosen, Reservation):
                flow = Flow(demand.service, priority, request.organisation)
                return self._count_running(statistics, flow, chosen)
            if chosen is NoChoice.NONE:
                return QueueRefusal(reason=chosen, retry_after=MAX_RETRY_AFTER)
        now = self._clock.now()
        ticket = Ticket(
            number=next(self._numbers),
            request=request,
            priority=_MAX_QUEUE_PRIORITY - priority,
            weight=1,
            admitted_at=now,
            latest_start=Milliseconds(now + max_wait),
        )
        ahead = queue.ahead_of(ticket) if queue is not None else 0.0
        permit_wait = self._pool.permit_wait(demand, ahead)
        if permit_wait is not None and permit_wait > max_known_wait:
            return self._refusals.until(NoChoice.RATE_LIMITED, permit_wait)
        wait = max(ahead * statistics.interval, self._pool.room_wait(demand))
        if wait > max_wait or len(self._waiters) >= MAX_WAITING_REQUESTS:
            return self._refusals.for_room(wait, ahead=ahead)
        demote_at = Milliseconds(now + deprioritise_after)
        return await self._wait(key, ticket, demand, demote_at, priority)

    def wake(self) -> None:
        """Start the requests that can start and refuse those that waited too long."""
        for key, queue in list(self._queues.items()):
            statistics = self._statistics[key[0]]
            self._expire(queue, statistics)
            self._demote(queue)
            self._start_all(queue, statistics)
            if not len(queue):
                self._queues.pop(key, None)
        for service in self._statistics.keys() - {key[0] for key in self._queues}:
            # Only intervals during which requests wait measure the start rate.
            self._statistics[service].started_at = Milliseconds(0)

    def _start_all(self, queue: FairQueue, statistics: _ServiceStatistics) -> None:
        service = statistics.service
        while len(queue):
            ticket = self._head(queue, service)
            assert ticket is not None
            waiter = self._waiters[ticket.number]
            if not waiter.future.done():
                organisation = ticket.request.organisation
                chosen = (
                    self._choose(waiter.demand, organisation, waiter.priority)
                    if self._clock.now() < waiter.yields_until
                    else self._pool.choose(waiter.demand)
                )
                if chosen is NoChoice.PAUSED:
                    self._refuse_paused(queue)
                if chosen is NoChoice.RATE_LIMITED:
                    self._refuse_beyond_rate(queue)
                if chosen in _TEMPORARY:
                    return
                self._record_start(statistics)
                if isinstance(chosen, Reservation):
                    self._count_running(statistics, _flow(waiter), chosen)
                    waiter.future.set_result(chosen)
                else:
                    waiter.future.set_result(
                        QueueRefusal(reason=chosen, retry_after=MAX_RETRY_AFTER)
                    )
            queue.remove(ticket)

    async def _wait(
        self,
        key: _QueueKey,
        ticket: Ticket,
        demand: Demand,
        demote_at: Milliseconds,
        priority: int,
    ) -> Reservation | QueueRefusal:
        future: asyncio.Future[Reservation | QueueRefusal]
        future = asyncio.get_running_loop().create_future()
        max_wait = ticket.latest_start - ticket.admitted_at
        yields_until = Milliseconds(
            round(ticket.admitted_at + max_wait * YIELDING_WAIT_SHARE)
        )
        waiter = _Waiter(demand, future, demote_at, ticket, priority, yields_until)
        self._waiters[ticket.number] = waiter
        queue = self._queues.setdefault(key, FairQueue())
        queue.push(ticket)
        if len(queue) > 1 and self._head(queue, demand.service) is ticket:
            # It may start although the one that was first may not.
            asyncio.get_running_loop().call_soon(self.wake)
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                reserved = future.result()
                if isinstance(reserved, Reservation):
                    reserved.revoke()
            raise
        finally:
            queue.remove(waiter.ticket)
            if not len(queue) and self._queues.get(key) is queue:
                del self._queues[key]
            del self._waiters[ticket.number]

    def _choose(
        self, demand: Demand, organisation: OrganisationId, priority: int
    ) -> Reservation | NoChoice:
        """Select an endpoint, with room left for what goes first at other instances."""
        share = room_share(
            priority=priority,
            organisation=organisation,
            own_running=self._statistics[demand.service].running,
            others=self._fleet.service(demand.service),
        )
        if share.reason is Reason.NONE:
            return self._pool.choose(demand)
        chosen = self._pool.choose(
            replace(demand, max_backlog=demand.max_backlog * share.share)
        )
        if chosen is NoChoice.FULL:
            self.yields[share.reason] += 1
        return chosen

    def _head(self, queue: FairQueue, service: ServiceId) -> Ticket | None:
        """Return the ticket that starts next, by what runs at all instances."""
        running = self._statistics[service].running
        return queue.head(combined(running, self._fleet.service(service).running))

    def _demote(self, queue: FairQueue) -> None:
        """Move requests that can no longer be answered in time behind all others."""
        now = self._clock.now()
        for ticket in list(queue):
            waiter = self._waiters[ticket.number]
            if ticket.priority > _DEMOTED_QUEUE_PRIORITY and waiter.demote_at < now:
                queue.remove(ticket)
                waiter.ticket = replace(ticket, priority=_DEMOTED_QUEUE_PRIORITY)
                queue.push(waiter.ticket)

    def _count_running(
        self,
        statistics: _ServiceStatistics,
        flow: Flow,
        reservation: Reservation,
    ) -> Reservation:
        """Count a request of a flow as running until its reservation ends."""
        running, flows = statistics.running, statistics.flows
        running[flow.organisation] += 1
        flows[flow] += 1

        def uncount() -> None:
            running[flow.organisation] -= 1
            if running[flow.organisation] <= 0:
                del running[flow.organisation]
            flows[flow] -= 1
            if flows[flow] <= 0:
                del flows[flow]
            wake()

        def wake() -> None:
            if self._waiters:
                asyncio.get_running_loop().call_soon(self.wake)

        reservation.set_callbacks(on_answer_started=wake, on_finish=uncount)
        return reservation

    def _expire(self, queue: FairQueue, statistics: _ServiceStatistics) -> None:
        for ticket in queue.expired(self._clock.now()):
            waiter = self._waiters[ticket.number]
            queue.remove(ticket)
            if not waiter.future.done():
                waiter.future.set_result(self._refusals.for_room(statistics.interval))

    def _record_start(self, statistics: _ServiceStatistics) -> None:
        now = self._clock.now()
        if statistics.started_at:
            interval = now - statistics.started_at
            statistics.interval += INTERVAL_EWMA_WEIGHT * (
                interval - statistics.interval
            )
        statistics.started_at = now

    def _refuse_paused(self, queue: FairQueue) -> None:
        """Refuse requests whose wait ends before the pause of all endpoints does."""
        now = self._clock.now()
        for ticket in list(queue):
            waiter = self._waiters[ticket.number]
            soonest = self._pool.soonest_return(waiter.demand)
            if ticket.latest_start < now + soonest:
                queue.remove(ticket)
                if not waiter.future.done():
                    waiter.future.set_result(
                        self._refusals.until(NoChoice.PAUSED, soonest)
                    )

    def _refuse_beyond_rate(self, queue: FairQueue) -> None:
        """Refuse requests whose wait ends before a permit for them is expected."""
        now = self._clock.now()
        tickets = sorted(queue, key=lambda item: (-item.priority, item.number))
        position = 0
        for ticket in tickets:
            waiter = self._waiters[ticket.number]
            wait = self._pool.permit_wait(waiter.demand, position)
            if wait is None or ticket.latest_start >= now + wait:
                position += 1
                continue
            queue.remove(ticket)
            if not waiter.future.done():
                waiter.future.set_result(
                    self._refusals.until(NoChoice.RATE_LIMITED, wait)
                )


def _flow(waiter: _Waiter) -> Flow:
    organisation = waiter.ticket.request.organisation
    return Flow(waiter.demand.service, waiter.priority, organisation)
