"""State and statistics that an instance holds for one endpoint."""

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.lifecycle import EndpointEvent, EndpointState, Outcome, next_state
from fuchsiaroute.pool._cold_rate_limiter import ColdRateLimiter
from fuchsiaroute.pool._outcomes import (
    AVOIDANCE_TIME,
    MIN_TOLD,
    Outcomes,
    RecentOutcomes,
    is_failing,
)

#: Consecutive failures after which an endpoint is suspect and gets single trials only.
FAILURES_UNTIL_SUSPECT = 2
#: Delay of the first trial of a suspect endpoint; each failed trial doubles it.
INITIAL_TRIAL_DELAY = Milliseconds(500)
MAX_TRIAL_DELAY = Milliseconds(4_000)
#: Time for which an endpoint that answered "full" gets no requests.
FULL_BACKOFF = Milliseconds(100)
#: Time within which the load of an endpoint that has asked for a pause rises again to
#: its capacity.
RAMP_TIME = Milliseconds(2_000)
#: Time for which the connections that end at an endpoint have ended with its crash.
CRASH_NOTICE_TIME = Milliseconds(300)
#: Weight of the newest request in the moving averages of latency and success rate.
EWMA_WEIGHT = 0.2
#: Half-life with which latency and success rate of an unused endpoint return to 1.
STATISTICS_HALF_LIFE = Milliseconds(3_000)

#: Time for which peers are told of the end of a process that no other has followed yet.
#: What rests on this instance's own path only must not limit others for longer.
END_NOTICE_TIME = Milliseconds(10_000)
#: Time for which a silence is remembered of an endpoint that has sent nothing since.
SILENCE_TIME = Milliseconds(3_000)

_FAILURES = frozenset(
    {
        Outcome.FAILED_BEFORE_SENT,
        Outcome.FAILED_AFTER_SENT,
        Outcome.SILENT,
        Outcome.TRUNCATED,
    }
)
#: Failures that tell of the endpoint itself, beside refused connections; silence may be
#: load.
_BREAKS = frozenset({Outcome.FAILED_AFTER_SENT, Outcome.TRUNCATED})
_REJECTIONS = frozenset({Outcome.REFUSED_FULL, Outcome.REFUSED_UNNAMED})
_USABLE = frozenset({EndpointState.COLD, EndpointState.WARMING, EndpointState.WARM})


class Load(NamedTuple):
    """The requests that one instance has at an endpoint."""

    #: Requests in flight.
    requests: int
    #: Expected milliseconds of work of the requests whose answer has not started.
    work: float


@dataclass(slots=True)
class PeerLoad:
    """Sum of the loads that the other instances reported of an endpoint."""

    requests: int = 0
    work: float = 0.0


@dataclass(kw_only=True, slots=True)
class PoolMember:
    """State and statistics of one endpoint; times are of the monotonic clock."""

    clock: Clock
    endpoint: Endpoint
    cold_limiter: ColdRateLimiter
    state: EndpointState = EndpointState.WARM
    #: This instance's requests in flight.
    own_load: int = 0
    #: Expected milliseconds of work of own requests whose answer has not started.
    own_work: float = 0.0
    #: Updated by the pool whenever another instance reports its load.
    peers: PeerLoad = field(default_factory=PeerLoad)
    cold_until: Milliseconds = Milliseconds(0)
    #: Time for which a process of its service is cold after its start.
    cold_period: Milliseconds = Milliseconds(0)
    #: Time at which its process was found to have ended; None once a process answers.
    ended_at: Milliseconds | None = None
    #: End of the time for which the process that followed may be cold.
    restart_cold_until: Milliseconds = Milliseconds(0)
    full_until: Milliseconds = Milliseconds(0)
    #: End of the pause that the endpoint has asked for; 0 if it never did.
    paused_until: Milliseconds = Milliseconds(0)
    #: Whether the endpoint is suspect because nothing listened at its address.
    has_refused: bool = False
    #: Time of the latest crash; None if none is known.
    crashed_at: Milliseconds | None = None
    #: Time of the latest bytes that the endpoint sent.
    heard_at: Milliseconds = Milliseconds(0)
    #: Start of the time in which own requests have been in flight without any bytes.
    waiting_since: Milliseconds = Milliseconds(0)
    #: Time at which a run was found silent; None if the endpoint sent bytes since.
    silent_at: Milliseconds | None = None
    failures_in_row: int = 0
    trial_delay: Milliseconds = INITIAL_TRIAL_DELAY
    trial_at: Milliseconds = Milliseconds(0)
    is_on_trial: bool = False
    #: Moving average of the fraction of requests that succeeded.
    success_rate: float = 1.0
    #: Whether the connection of the request that ends now was refused.
    is_connection_refused: bool = False
    #: Moving average of the latency of requests relative to the mean of their kind.
    relative_latency: float = 1.0
    latency_updated_at: Milliseconds = Milliseconds(0)
    #: Time of the latest success or failure.
    success_rate_updated_at: Milliseconds = Milliseconds(0)

    #: Recent outcomes of the other instances' requests.
    peer_outcomes: Outcomes = Outcomes()
    #: End of the time for which it is avoided, as it fails several instances' requests.
    avoided_until: Milliseconds = Milliseconds(0)
    recent_outcomes: RecentOutcomes = field(init=False)

    def __post_init__(self) -> None:
        self.recent_outcomes = RecentOutcomes(self.clock)

    @property
    def is_failing(self) -> bool:
        """Return whether the endpoint has failed requests of several instances."""
        return self.clock.now() < self.avoided_until

    @property
    def load(self) -> int:
        """Return the requests in flight, including those of other instances."""
        return self.own_load + self.peers.requests

    @property
    def backlog(self) -> float:
        """Return the expected milliseconds of work queued before a new request."""
        return self.own_work + self.peers.work

    @property
    def is_cold(self) -> bool:
        """Return whether the endpoint is limited to its cold rate."""
        return self.clock.now() < self.cold_until

    @property
    def restart_cold_left(self) -> Milliseconds:
        """Return for how long the process after one that ended may be cold."""
        now = self.clock.now()
        if self.ended_at is None:
            return Milliseconds(max(self.restart_cold_until - now, 0))
        is_recent = now - self.ended_at < END_NOTICE_TIME
        return self.cold_period if is_recent else Milliseconds(0)

    @property
    def is_usable(self) -> bool:
        """Return whether the endpoint may get ordinary requests."""
        return self.state in _USABLE

    @property
    def is_trial_due(self) -> bool:
        """Return whether the endpoint is suspect and may get a trial request now."""
        return (
            self.state is EndpointState.SUSPECT
            and not self.is_on_trial
            and self.clock.now() >= self.trial_at
        )

    @property
    def silence(self) -> Milliseconds:
        """Return for how long own requests have been in flight without any bytes."""
        if not self.own_load:
            return Milliseconds(0)
        return Milliseconds(self.clock.now() - self.waiting_since)

    @property
    def is_silent(self) -> bool:
        """Return whether the endpoint was found silent and has sent nothing since."""
        if self.silent_at is None:
            return False
        return self.clock.now() - self.silent_at < SILENCE_TIME

    @property
    def is_full(self) -> bool:
        """Return whether the endpoint answered "full" within ``FULL_BACKOFF``."""
        return self.clock.now() < self.full_until

    @property
    def is_paused(self) -> bool:
        """Return whether the endpoint has asked for no requests until later."""
        return self.clock.now() < self.paused_until

    @property
    def ramp_share(self) -> float:
        """Return the share of its capacity to use, which rises after a pause."""
        if not self.paused_until:
            return 1.0
        return min((self.clock.now() - self.paused_until) / RAMP_TIME, 1.0)

    @property
    def current_relative_latency(self) -> float:
        """Return the relative latency, which returns to 1 while it is not updated."""
        return 1.0 + (self.relative_latency - 1.0) * self._decay(
            self.latency_updated_at
        )

    @property
    def current_success_rate(self) -> float:
        """Return the success rate, which returns to 1 while it is not updated."""
        return 1.0 + (self.success_rate - 1.0) * self._decay(
            self.success_rate_updated_at
        )

    def is_replaced_by(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint's id now belongs to a different process."""
        known = self.endpoint
        return (known.host, known.port, known.started_at, known.service) != (
            endpoint.host,
            endpoint.port,
            endpoint.started_at,
            endpoint.service,
        )

    def update_peer_outcomes(self, outcomes: Outcomes) -> None:
        """Replace the other instances' outcomes, and see whether the endpoint fails."""
        self.peer_outcomes = outcomes
        # The first comparison is false for almost all endpoints, and costs least.
        if outcomes.failed >= MIN_TOLD and is_failing(
            self.recent_outcomes.current, outcomes
        ):
            self.avoided_until = Milliseconds(self.clock.now() + AVOIDANCE_TIME)

    def apply(self, event: EndpointEvent) -> None:
        """Change the state according to the endpoint life cycle."""
        self.state = next_state(self.state, event)

    def mark_cold(self, duration: Milliseconds) -> None:
        """Limit the endpoint to its cold rate for ``duration``."""
        if duration > 0:
            until = Milliseconds(self.clock.now() + duration)
            self.cold_until = max(self.cold_until, until)

    def record_bytes(self) -> None:
        """Record that the endpoint has sent something."""
        self.heard_at = self.waiting_since = self.clock.now()
        self.silent_at = None

    def record_silence(self) -> None:
        """Record that a run has been without bytes for too long."""
        self.silent_at = self.clock.now()

    def add_request(self, work: float) -> None:
        """Count a request that is about to be sent."""
        if not self.own_load:
            self.waiting_since = self.clock.now()
        self.own_load += 1
        self.own_work += work
        if self.state is EndpointState.SUSPECT:
            self.is_on_trial = True
        if self.is_cold:
            self.cold_limiter.spend()

    def remove_work(self, work: float) -> None:
        """Remove the work of a request whose answer has started or that has ended."""
        self.own_work = max(self.own_work - work, 0.0)

    def finish_request(self, outcome: Outcome) -> None:
        """Remove a request and update state and statistics from its outcome."""
        self.own_load = max(self.own_load - 1, 0)
        self.is_on_trial = False
        is_break = outcome in _BREAKS or self.is_connection_refused
        if is_break or outcome is Outcome.ANSWERED:
            self.recent_outcomes.record(is_failed=is_break)
        if outcome in _REJECTIONS:
            self.full_until = Milliseconds(self.clock.now() + FULL_BACKOFF)
        elif outcome is Outcome.ANSWERED:
            self._succeeded()
        elif outcome in _FAILURES:
            self._failed()
        self.is_connection_refused = False

    @property
    def has_crashed(self) -> bool:
        """Return whether the endpoint crashed within ``CRASH_NOTICE_TIME``."""
        if self.crashed_at is None:
            return False
        return self.clock.now() - self.crashed_at < CRASH_NOTICE_TIME

    def record_crash(self) -> None:
        """Record that no process listens any more; it gets single trials only."""
        now = self.clock.now()
        self.crashed_at = self.ended_at = now
        self.has_refused = True
        if self.is_usable:
            self.trial_delay = INITIAL_TRIAL_DELAY
            self.trial_at = Milliseconds(now + self.trial_delay)
            self.apply(EndpointEvent.FAILED_REPEATEDLY)

    def record_path_change(self) -> None:
        """Drop a suspicion that may have come from this instance's own path."""
        self.failures_in_row = 0
        self.has_refused = False
        self.ended_at = None
        self.trial_delay = INITIAL_TRIAL_DELAY
        self.apply(EndpointEvent.RECOVERED)

    def record_duration(self, relative_duration: float) -> None:
        """Add a request's latency, relative to the mean of its kind."""
        current = self.current_relative_latency
        self.relative_latency = current + EWMA_WEIGHT * (relative_duration - current)
        self.latency_updated_at = self.clock.now()

    def _decay(self, instant: Milliseconds) -> float:
        """Return the weight, from 0 to 1, of a statistic updated at ``instant``."""
        return math.exp2((instant - self.clock.now()) / STATISTICS_HALF_LIFE)

    def _update_success_rate(self, success: float) -> None:
        current = self.current_success_rate
        self.success_rate = current + EWMA_WEIGHT * (success - current)
        self.success_rate_updated_at = self.clock.now()

    def _succeeded(self) -> None:
        self._update_success_rate(1.0)
        if self.ended_at is not None:
            # The announcement of the process that answers now, and with it the time
            # for which it is cold, may arrive late.
            self.ended_at = None
            self.mark_cold(self.cold_period)
            self.restart_cold_until = self.cold_until
        self.failures_in_row = 0
        self.trial_delay = INITIAL_TRIAL_DELAY
        self.apply(EndpointEvent.RECOVERED)

    def _failed(self) -> None:
        self._update_success_rate(0.0)
        self.failures_in_row += 1
        # One refused connection shows that no process listens at the address. A connect
        # timeout may be caused by this instance's own network.
        is_suspect = (
            self.is_connection_refused or self.failures_in_row >= FAILURES_UNTIL_SUSPECT
        )
        self.has_refused = self.is_connection_refused
        now = self.clock.now()
        if self.is_connection_refused:
            self.ended_at = now
        if self.state is EndpointState.SUSPECT:
            self.trial_delay = Milliseconds(min(self.trial_delay * 2, MAX_TRIAL_DELAY))
            self.trial_at = Milliseconds(now + self.trial_delay)
        elif is_suspect and self.is_usable:
            self.trial_delay = INITIAL_TRIAL_DELAY
            self.trial_at = Milliseconds(now + self.trial_delay)
            self.apply(EndpointEvent.FAILED_REPEATEDLY)
