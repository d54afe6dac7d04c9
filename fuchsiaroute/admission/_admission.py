"""Admission of requests to one entry."""

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

#: Most requests that wait at one entry, whatever their deadlines.
LONGEST_QUEUE = 2_000
#: Largest part of the time to its deadline that a request's expected duration may
#: claim; a wrong expectation can then not refuse everything for ever.
LARGEST_DURATION_SHARE = 0.5
#: Longest useful wait for the first token; callers do better elsewhere after it.
MAX_WAIT = Milliseconds(3_000)
DEFAULT_PRIORITY = 5


class Admission:
    """
    Decides which requests wait, in which order they start, and which are refused.

    Every refusal is given before any dispatch, so its verdict NOT_RUN is true.
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
    def open(self) -> int:
        """Return the number of admitted requests that have not been given back."""
        return len(self._open)

    def update_configuration(self, configuration: Configuration) -> None:
        """Take over priorities and weights."""
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
            latest_start=Milliseconds(now + self._patience(request, remaining)),
        )
        self._open[ticket.number] = ticket
        self._running[request.organisation] += 1
        return Success(ticket)

    def must_wait(self, target: str) -> bool:
        """Return whether others wait for ``target``, so that a new request queues."""
        return target in self._queues

    def enqueue(self, ticket: Ticket, target: str) -> Result[None, Refusal]:
        """Let ``ticket`` wait for ``target`` unless it would wait in vain."""
        now = self._clock.now()
        queue = self._queues.get(target)
        wait = Milliseconds(0)
        if queue is not None:
            wait = self._rate(target).wait(queue.ahead_of(ticket), now)
        is_too_long = self.waiting >= LONGEST_QUEUE
        if is_too_long or now + wait > ticket.latest_start:
            return Failure(overload_refusal(wait, self._random))
        self._queues.setdefault(target, FairQueue()).push(ticket)
        self._running[ticket.request.organisation] -= 1
        return Success(None)

    def head(self, target: str) -> Ticket | None:
        """Return the ticket that may start next for ``target``, or None."""
        queue = self._queues.get(target)
        return None if queue is None else queue.head(self._running)

    def targets(self) -> tuple[str, ...]:
        """Return the targets for which requests wait."""
        return tuple(self._queues)

    def start(self, ticket: Ticket, target: str) -> None:
        """Take ``ticket`` out of the queue because it has found an endpoint."""
        self._leave(ticket, target)
        rate = self._rate(target)
        rate.started(self._clock.now(), are_others_waiting=target in self._queues)

    def leave(self, ticket: Ticket, target: str) -> None:
        """Take ``ticket`` out of the queue because its caller has gone."""
        self._leave(ticket, target)

    def expire(self, target: str) -> list[tuple[Ticket, Refusal]]:
        """Take out the tickets that can no longer meet their deadline."""
        queue = self._queues.get(target)
        if queue is None:
            return []
        now = self._clock.now()
        expired = queue.expired(now)
        wait = self._rate(target).wait(len(queue), now)
        for ticket in expired:
            self._leave(ticket, target)
        return [(item, overload_refusal(wait, self._random)) for item in expired]

    def release(self, ticket: Ticket, *, is_answered: bool) -> None:
        """Give ``ticket`` back; a second time has no effect."""
        if self._open.pop(ticket.number, None) is None:
            return
        self._running[ticket.request.organisation] -= 1
        if is_answered:
            name = ticket.request.request_class
            duration = self._clock.now() - ticket.admitted_at
            self._durations.setdefault(name, MovingAverage()).add(float(duration))

    def _leave(self, ticket: Ticket, target: str) -> None:
        queue = self._queues.get(target)
        if queue is None or not queue.remove(ticket):
            return
        self._running[ticket.request.organisation] += 1
        if len(queue) == 0:
            del self._queues[target]

    def _patience(self, request: Request, remaining: int) -> int:
        average = self._durations.get(request.request_class)
        expected = average.value if average is not None else 0.0
        expected = min(expected, LARGEST_DURATION_SHARE * remaining)
        return min(round(remaining - expected), MAX_WAIT)

    def _rate(self, target: str) -> StartRate:
        return self._rates.setdefault(target, StartRate())
