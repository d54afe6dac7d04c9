"""Simulated endpoints for the load bench, each with a queue and several slots."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from benches._load_events import Events
from fuchsiaroute.configuration import Endpoint
from fuchsiaroute.endpoints import Outcome
from fuchsiaroute.ids import Incarnation

#: Time from the start of a request to its first token.
PREFILL_MS = 120.0


@dataclass(kw_only=True, eq=False)
class Job:
    """One request at one endpoint."""

    #: Time from the start to the last token, in milliseconds.
    service_time: float
    on_first_token: Callable[[], None]
    on_end: Callable[[Outcome], None]
    is_over: bool = False
    is_started: bool = False

    def end(self, outcome: Outcome) -> None:
        """Mark the job as ended and call ``on_end``."""
        self.is_over = True
        self.on_end(outcome)


@dataclass(kw_only=True, eq=False)
class FakeEndpoint:
    """An endpoint that runs ``capacity`` jobs at once and queues the rest."""

    events: Events
    endpoint: Endpoint
    incarnation: Incarnation = Incarnation(1)
    is_cold: bool = False
    #: Whether it refuses jobs that it cannot start at once instead of queueing them.
    is_refusing: bool = False
    #: Maximum load while cold, divided by the cold capacity.
    max_cold_load_ratio: float = 0.0
    #: Maximum load while warm, divided by the capacity.
    max_load_ratio: float = 0.0
    arrivals: int = 0
    #: Jobs refused because the endpoint was cold.
    refused: int = 0
    _running: set[Job] = field(default_factory=set)
    _queue: deque[Job] = field(default_factory=deque)
    _jobs_before_cold: int = 0
    _has_answered_since_cold: bool = True

    @property
    def in_flight(self) -> int:
        """Return the number of jobs running or queued."""
        return len(self._running) + len(self._queue)

    def submit(self, job: Job, incarnation: Incarnation) -> None:
        """Accept a job that an entry sent to ``incarnation``; 0 for any."""
        if incarnation not in (0, self.incarnation):
            # The entry detects the restart when it opens a connection.
            self.events.after(1, lambda: job.end(Outcome.FAILED_BEFORE_SENT))
            return
        self.arrivals += 1
        self._queue.append(job)
        self._record_load()
        self._start()

    def cancel(self, job: Job) -> None:
        """Remove a running or queued job."""
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
        """Become cold without a new incarnation; running jobs continue."""
        self._turn_cold()

    def _turn_cold(self) -> None:
        self.is_cold = True
        self._has_answered_since_cold = False
        self._jobs_before_cold = len(self._running)

    def _current_capacity(self) -> int:
        endpoint = self.endpoint
        return endpoint.cold_capacity if self.is_cold else endpoint.capacity

    def _record_load(self) -> None:
        if self.is_cold:
            ratio = (
                self.in_flight - self._jobs_before_cold
            ) / self.endpoint.cold_capacity
            self.max_cold_load_ratio = max(self.max_cold_load_ratio, ratio)
        else:
            ratio = self.in_flight / self.endpoint.capacity
            self.max_load_ratio = max(self.max_load_ratio, ratio)

    def _start(self) -> None:
        while self._queue and len(self._running) < self._current_capacity():
            job = self._queue.popleft()
            self._running.add(job)
            job.is_started = True
            self.events.after(PREFILL_MS, lambda job=job: self._first_token(job))  # type: ignore[misc]
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
        self._jobs_before_cold = min(self._jobs_before_cold, len(self._running))
        if self.is_cold and not self._has_answered_since_cold:
            self._has_answered_since_cold = True
            incarnation = self.incarnation
            self.events.after(self.endpoint.warm_up, lambda: self._warm_up(incarnation))
        job.end(Outcome.ANSWERED)
        self._start()

    def _warm_up(self, incarnation: Incarnation) -> None:
        if incarnation == self.incarnation:
            self.is_cold = False
