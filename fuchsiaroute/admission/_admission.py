"""Admission control of one entry."""

import itertools
from collections import Counter
from random import Random

from returns.result import Failure, Result, Success

from fuchsiaroute.admission._rates import MovingAverage, StartRate
from fuchsiaroute.admission._refusals import deadline_refusal, overload_refusal
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.configuration import Configuration
from fuchsiaroute.fairness import FairQueue, Ticket
from fuchsiaroute.ids import OrganisationId, ProductId, RequestClass
from fuchsiaroute.request import Request
from fuchsiaroute.verdict import Refusal

#: Maximum number of requests that wait at one entry.
MAX_WAITING_REQUESTS = 2_000
#: Maximum fraction of the time to the deadline that is reserved for a request's
#: expected duration. Without it an overestimate could refuse every request, and no
#: answer would ever correct it.
MAX_DURATION_SHARE = 0.5
#: Maximum wait for a start; after it callers get an answer sooner elsewhere.
MAX_WAIT = Milliseconds(3_000)
DEFAULT_PRIORITY = 5


class Admission:
    """
    Decides which requests wait, in which order they start, and which are refused.

    Refusals happen before any dispatch, so their verdict is NOT_RUN.
    """

    def __init__(self, *, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._numbers = itertools.count(1)
        self._priorities: dict[ProductId, int] = {}
        self._weights: dict[OrganisationId, int] = {}
        self._durations: dict[RequestClass, MovingAverage] = {}
        self._queues: dict[str, FairQueue] = {}
        self._rates: dict[str, StartRate] = {}
        self._running: Counter[OrganisationId] = Counter()
        self._open: dict[int, Ticket] = {}

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait."""
        return sum(len(queue) for queue in self._queues.values())

    @property
    def open_tickets(self) -> int:
        """Return the number of admitted requests that have not been released."""
        return len(self._open)

    def update_configuration(self, configuration: Configuration) -> None:
        """Replace the priorities and weights by those of ``configuration``."""
        self._priorities = {item.id: item.priority for item in configuration.products}
        self._weights = {item.id: item.weight for item in configuration.organisations}

    def admit(self, request: Request) -> Result[Ticket, Refusal]:
        """Admit ``request`` unless its deadline has passed."""
        remaining = request.deadline - self._clock.wall()
        if remaining <= 0:
            return Failure(deadline_refusal())
        now = self._clock.now()
        ticket = Ticket(
            number=next(self._numbers),
            request=request,
            priority=self._priorities.get(request.product, DEFAULT_PRIORITY),
            weight=max(self._weights.get(request.organisation, 1), 1),
            admitted_at=now,
            latest_start=Milliseconds(now + self._max_wait(request, remaining)),
        )
        self._open[ticket.number] = ticket
        self._running[request.organisation] += 1
        return Success(ticket)

    def must_wait(self, target: str) -> bool:
        """Return whether requests wait for ``target``, so that a new one must queue."""
        return target in self._queues

    def enqueue(self, ticket: Ticket, target: str) -> Result[None, Refusal]:
        """Queue ``ticket`` for ``target`` unless its expected wait is too long."""
        now = self._clock.now()
        queue = self._queues.get(target)
        wait = Milliseconds(0)
        if queue is not None:
            wait = self._rate(target).expected_wait(queue.ahead_of(ticket), now)
        is_too_long = self.waiting >= MAX_WAITING_REQUESTS
        if is_too_long or now + wait > ticket.latest_start:
            return Failure(overload_refusal(wait, self._random))
        self._queues.setdefault(target, FairQueue()).push(ticket)
        self._running[ticket.request.organisation] -= 1
        return Success(None)

    def head(self, target: str) -> Ticket | None:
        """Return the ticket that starts next for ``target``, or None."""
        queue = self._queues.get(target)
        return None if queue is None else queue.head(self._running)

    def targets(self) -> tuple[str, ...]:
        """Return the targets for which requests wait."""
        return tuple(self._queues)

    def start(self, ticket: Ticket, target: str) -> None:
        """Remove ``ticket`` from the queue because it has got an endpoint."""
        self._dequeue(ticket, target)
        rate = self._rate(target)
        rate.record_start(self._clock.now(), are_others_waiting=target in self._queues)

    def leave(self, ticket: Ticket, target: str) -> None:
        """Remove ``ticket`` from the queue because its caller disconnected."""
        self._dequeue(ticket, target)

    def expire(self, target: str) -> list[tuple[Ticket, Refusal]]:
        """Remove the tickets that can no longer meet their deadline."""
        queue = self._queues.get(target)
        if queue is None:
            return []
        now = self._clock.now()
        expired = queue.expired(now)
        wait = self._rate(target).expected_wait(len(queue), now)
        for ticket in expired:
            self._dequeue(ticket, target)
        return [(item, overload_refusal(wait, self._random)) for item in expired]

    def release(self, ticket: Ticket, *, is_answered: bool) -> None:
        """Release ``ticket``; a repeated call has no effect."""
        if self._open.pop(ticket.number, None) is None:
            return
        self._running[ticket.request.organisation] -= 1
        if is_answered:
            name = ticket.request.request_class
            duration = self._clock.now() - ticket.admitted_at
            self._durations.setdefault(name, MovingAverage()).add(float(duration))

    def _dequeue(self, ticket: Ticket, target: str) -> None:
        queue = self._queues.get(target)
        if queue is None or not queue.remove(ticket):
            return
        self._running[ticket.request.organisation] += 1
        if len(queue) == 0:
            del self._queues[target]

    def _max_wait(self, request: Request, remaining: int) -> int:
        average = self._durations.get(request.request_class)
        expected = average.value if average is not None else 0.0
        expected = min(expected, MAX_DURATION_SHARE * remaining)
        return min(round(remaining - expected), MAX_WAIT)

    def _rate(self, target: str) -> StartRate:
        return self._rates.setdefault(target, StartRate())
