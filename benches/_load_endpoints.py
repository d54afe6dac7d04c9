"""Fake endpoints for the load bench: a queue and a number of servers each."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from benches._load_events import Events
from fuchsiaroute.configuration import Endpoint
from fuchsiaroute.endpoints import Outcome
from fuchsiaroute.ids import Incarnation

#: Time from the start of a request to its first token, in milliseconds.
PREFILL = 120.0


@dataclass(kw_only=True, eq=False)
class Job:
    """One request at one endpoint."""

    #: Time from its start to its last token, in milliseconds.
    service_time: float
    on_first_token: Callable[[], None]
    on_end: Callable[[Outcome], None]
    is_over: bool = False
    is_started: bool = False

    def end(self, outcome: Outcome) -> None:
        """Tell the entry how the job ended."""
        self.is_over = True
        self.on_end(outcome)


@dataclass(kw_only=True, eq=False)
class FakeEndpoint:
    """An endpoint that bears ``capacity`` jobs at once and queues the rest."""

    events: Events
    endpoint: Endpoint
    incarnation: Incarnation = Incarnation(1)
    is_cold: bool = False
    #: Whether it refuses what it cannot start at once, rather than queue it.
    is_refusing: bool = False
    #: Worst load while cold, divided by what it bears cold.
    worst_cold_ratio: float = 0.0
    #: Worst load while warm, divided by its capacity.
    worst_ratio: float = 0.0
    arrivals: int = 0
    #: Jobs refused because the endpoint was cold.
    refused: int = 0
    _running: set[Job] = field(default_factory=set)
    _queue: deque[Job] = field(default_factory=deque)
    _old_jobs: int = 0
    _is_first_answered: bool = True

    @property
    def in_flight(self) -> int:
        """Return the number of jobs running or queued."""
        return len(self._running) + len(self._queue)

    def offer(self, job: Job, incarnation: Incarnation) -> None:
        """Take a job dispatched in the belief that ``incarnation`` runs here."""
        if incarnation not in (0, self.incarnation):
            # The check on the new connection finds the restart.
            self.events.after(1, lambda: job.end(Outcome.FAILED_BEFORE_SENT))
            return
        self.arrivals += 1
        self._queue.append(job)
        self._note_load()
        self._start()

    def cancel(self, job: Job) -> None:
        """Give up a job."""
        job.is_over = True
        if job in self._running:
            self._running.discard(job)
            self._start()
        elif job in self._queue:
            self._queue.remove(job)

    def restart(self) -> None:
        """End all jobs and begin a new, cold incarnation."""
        jobs = [*self._running, *self._queue]
        self._running.clear()
        self._queue.clear()
        self.incarnation = Incarnation(self.incarnation + 1)
        self._turn_cold()
        for job in jobs:
            job.end(Outcome.FAILED_AFTER_SENT)

    def turn_cold(self) -> None:
        """Turn cold without a word; running jobs go on."""
        self._turn_cold()

    def _turn_cold(self) -> None:
        self.is_cold = True
        self._is_first_answered = False
        self._old_jobs = len(self._running)

    def _bears(self) -> int:
        endpoint = self.endpoint
        return endpoint.cold_capacity if self.is_cold else endpoint.capacity

    def _note_load(self) -> None:
        if self.is_cold:
            ratio = (self.in_flight - self._old_jobs) / self.endpoint.cold_capacity
            self.worst_cold_ratio = max(self.worst_cold_ratio, ratio)
        else:
            ratio = self.in_flight / self.endpoint.capacity
            self.worst_ratio = max(self.worst_ratio, ratio)

    def _start(self) -> None:
        while self._queue and len(self._running) < self._bears():
            job = self._queue.popleft()
            self._running.add(job)
            job.is_started = True
            self.events.after(PREFILL, lambda job=job: self._first_token(job))  # type: ignore[misc]
            self.events.after(job.service_time, lambda job=job: self._finish(job))  # type: ignore[misc]
        if self.is_cold:
            self._refuse_queued(Outcome.REFUSED_COLD)
        elif self.is_refusing:
            self._refuse_queued(Outcome.REFUSED_FULL)

    def _refuse_queued(self, outcome: Outcome) -> None:
        while self._queue:
            job = self._queue.popleft()
            self.refused += 1
            self.events.after(1, lambda job=job: job.end(outcome))  # type: ignore[misc]

    def _first_token(self, job: Job) -> None:
        if job in self._running:
            job.on_first_token()

    def _finish(self, job: Job) -> None:
        if job not in self._running:
            return
        self._running.discard(job)
        self._old_jobs = min(self._old_jobs, len(self._running))
        if self.is_cold and not self._is_first_answered:
            self._is_first_answered = True
            incarnation = self.incarnation
            self.events.after(self.endpoint.warm_up, lambda: self._warm_up(incarnation))
        job.end(Outcome.ANSWERED)
        self._start()

    def _warm_up(self, incarnation: Incarnation) -> None:
        if incarnation == self.incarnation:
            self.is_cold = False
