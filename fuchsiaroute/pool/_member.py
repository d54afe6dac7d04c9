"""What an instance knows about one endpoint."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.lifecycle import EndpointEvent, EndpointState, Outcome, next_state
from fuchsiaroute.pool._cold_rate_limiter import ColdRateLimiter

#: Failures in a row after which an endpoint is tried with single requests only.
FAILURES_UNTIL_SUSPECT = 2
#: Pause before the first trial of a suspect endpoint; doubles up to the longest.
FIRST_TRIAL_PAUSE = Milliseconds(500)
LONGEST_TRIAL_PAUSE = Milliseconds(4_000)
#: Pause after an endpoint has said that it is full.
FULL_PAUSE = Milliseconds(100)
#: Weight of the newest request in the mean time and in the share of successes.
SMOOTHING = 0.2
#: Time after which half of what was learned about an unused endpoint counts.
FORGET_HALF_LIFE = Milliseconds(3_000)

_FAILURES = frozenset(
    {
        Outcome.FAILED_BEFORE_SENT,
        Outcome.FAILED_AFTER_SENT,
        Outcome.SILENT,
        Outcome.TRUNCATED,
    }
)
_USABLE = frozenset({EndpointState.COLD, EndpointState.WARMING, EndpointState.WARM})


@dataclass(frozen=True, slots=True)
class Load:
    """What an instance has at an endpoint."""

    #: Requests in flight.
    requests: int
    #: Expected milliseconds of those that have not begun to be answered.
    work: float


@dataclass(kw_only=True, slots=True)
class PoolMember:
    """Mutable knowledge about one endpoint; instants are of the monotonic clock."""

    clock: Clock
    endpoint: Endpoint
    cold_limiter: ColdRateLimiter
    state: EndpointState = EndpointState.WARM
    #: This instance's requests in flight.
    own_load: int = 0
    #: Expected time of this instance's requests that have not begun to be answered.
    own_work: float = 0.0
    #: Requests in flight, and their work, that other instances reported.
    peer_load: int = 0
    peer_work: float = 0.0
    cold_until: Milliseconds = Milliseconds(0)
    full_until: Milliseconds = Milliseconds(0)
    failures_in_row: int = 0
    trial_pause: Milliseconds = FIRST_TRIAL_PAUSE
    trial_at: Milliseconds = Milliseconds(0)
    is_on_trial: bool = False
    #: Share of recent requests that succeeded.
    health: float = 1.0
    #: Whether the request that ends now found that nobody listens.
    is_connection_refused: bool = False
    #: Mean time of recent requests relative to their kind's mean.
    slowness: float = 1.0
    measured_at: Milliseconds = Milliseconds(0)
    #: Instant of the latest success or failure.
    judged_at: Milliseconds = Milliseconds(0)

    @property
    def load(self) -> int:
        """Return the requests in flight, those of other instances included."""
        return self.own_load + self.peer_load

    @property
    def backlog(self) -> float:
        """Return the expected milliseconds of work that a new request waits for."""
        return self.own_work + self.peer_work

    @property
    def is_cold(self) -> bool:
        """Return whether the endpoint bears only its cold rate."""
        return self.clock.now() < self.cold_until

    @property
    def is_usable(self) -> bool:
        """Return whether the endpoint may get ordinary requests."""
        return self.state in _USABLE

    @property
    def is_trial_due(self) -> bool:
        """Return whether a suspect endpoint may get one request."""
        return (
            self.state is EndpointState.SUSPECT
            and not self.is_on_trial
            and self.clock.now() >= self.trial_at
        )

    @property
    def is_full(self) -> bool:
        """Return whether the endpoint has just said that it is full."""
        return self.clock.now() < self.full_until

    @property
    def current_slowness(self) -> float:
        """Return the slowness, nearer to 1 the longer ago it was measured."""
        return 1.0 + (self.slowness - 1.0) * self._kept(self.measured_at)

    @property
    def current_health(self) -> float:
        """Return the share of successes, nearer to 1 the longer ago the last one."""
        return 1.0 + (self.health - 1.0) * self._kept(self.judged_at)

    def apply(self, event: EndpointEvent) -> None:
        """Change the state as the life cycle says."""
        self.state = next_state(self.state, event)

    def mark_cold(self, duration: Milliseconds) -> None:
        """Note that the endpoint bears little for ``duration``."""
        if duration > 0:
            until = Milliseconds(self.clock.now() + duration)
            self.cold_until = max(self.cold_until, until)

    def set_peer_loads(self, loads: Iterable[Load]) -> None:
        """Replace what other instances reported."""
        self.peer_load = 0
        self.peer_work = 0.0
        for load in loads:
            self.peer_load += load.requests
            self.peer_work += load.work

    def began(self, work: float) -> None:
        """Count a request that is about to be sent."""
        self.own_load += 1
        self.own_work += work
        if self.state is EndpointState.SUSPECT:
            self.is_on_trial = True
        if self.is_cold:
            self.cold_limiter.spend()

    def worked_off(self, work: float) -> None:
        """Note that a request has begun to be answered, or has been given up."""
        self.own_work = max(self.own_work - work, 0.0)

    def ended(self, outcome: Outcome) -> None:
        """Take the outcome of a request into account."""
        self.own_load = max(self.own_load - 1, 0)
        self.is_on_trial = False
        if outcome is Outcome.REFUSED_FULL:
            self.full_until = Milliseconds(self.clock.now() + FULL_PAUSE)
        elif outcome is Outcome.ANSWERED:
            self._succeeded()
        elif outcome in _FAILURES:
            self._failed()
        self.is_connection_refused = False

    def record_duration(self, relative_duration: float) -> None:
        """Take over a request's time relative to the mean of its kind."""
        current = self.current_slowness
        self.slowness = current + SMOOTHING * (relative_duration - current)
        self.measured_at = self.clock.now()

    def _kept(self, instant: Milliseconds) -> float:
        """Return the part of something learned at ``instant`` that still counts."""
        return math.exp2((instant - self.clock.now()) / FORGET_HALF_LIFE)

    def _judged(self, success: float) -> None:
        current = self.current_health
        self.health = current + SMOOTHING * (success - current)
        self.judged_at = self.clock.now()

    def _succeeded(self) -> None:
        self._judged(1.0)
        self.failures_in_row = 0
        self.trial_pause = FIRST_TRIAL_PAUSE
        self.apply(EndpointEvent.RECOVERED)

    def _failed(self) -> None:
        self._judged(0.0)
        self.failures_in_row += 1
        # One try shows that nobody listens; a connection that is not made in time may
        # be the fault of this instance's link.
        is_suspect = (
            self.is_connection_refused or self.failures_in_row >= FAILURES_UNTIL_SUSPECT
        )
        now = self.clock.now()
        if self.state is EndpointState.SUSPECT:
            self.trial_pause = Milliseconds(
                min(self.trial_pause * 2, LONGEST_TRIAL_PAUSE)
            )
            self.trial_at = Milliseconds(now + self.trial_pause)
        elif is_suspect and self.is_usable:
            self.trial_pause = FIRST_TRIAL_PAUSE
            self.trial_at = Milliseconds(now + self.trial_pause)
            self.apply(EndpointEvent.FAILED_REPEATEDLY)
