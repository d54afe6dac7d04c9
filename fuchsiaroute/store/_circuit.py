"""A circuit breaker with jittered exponential backoff."""

from enum import Enum
from random import Random

from fuchsiaroute.clock import Milliseconds

#: Consecutive failures that open the circuit.
FAILURE_THRESHOLD = 3
#: Backoff after the circuit opens; it doubles with each failed probe.
INITIAL_BACKOFF = Milliseconds(500)
MAX_BACKOFF = Milliseconds(5_000)
#: Largest share of a backoff that is randomly taken off.
JITTER = 0.5


class CircuitState(Enum):
    """State of a circuit breaker."""

    #: Calls are made.
    CLOSED = "closed"
    #: Calls are refused until the backoff has passed.
    OPEN = "open"
    #: One probe call is in progress; other calls are refused.
    PROBING = "probing"


class CircuitBreaker:
    """Refuses calls to a failing service, except for one probe after each backoff."""

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._state = CircuitState.CLOSED
        self._failures = 0
        self._probes = 0
        self._retry_at = Milliseconds(0)

    @property
    def state(self) -> CircuitState:
        """Return the state; ``OPEN`` lasts until a probe is allowed."""
        return self._state

    def allows(self, now: Milliseconds) -> bool:
        """Return whether a call may be made at ``now``; it may become the probe."""
        if self._state is CircuitState.CLOSED:
            return True
        if self._state is CircuitState.OPEN and now >= self._retry_at:
            self._state = CircuitState.PROBING
            return True
        return False

    def retry_after(self, now: Milliseconds) -> Milliseconds:
        """Return the time until the next probe; 0 if the circuit is closed."""
        if self._state is CircuitState.CLOSED:
            return Milliseconds(0)
        return Milliseconds(max(0, self._retry_at - now))

    def record_success(self) -> None:
        """Close the circuit after a successful call."""
        self._state = CircuitState.CLOSED
        self._failures = 0
        self._probes = 0

    def record_failure(self, now: Milliseconds) -> None:
        """Count a failed call; open the circuit after ``FAILURE_THRESHOLD`` of them."""
        self._failures += 1
        is_probe = self._state is CircuitState.PROBING
        if is_probe or self._failures >= FAILURE_THRESHOLD:
            self._open(now)

    def abandon_probe(self, now: Milliseconds) -> None:
        """Allow another probe, since the present one was cancelled."""
        if self._state is CircuitState.PROBING:
            self._state = CircuitState.OPEN
            self._retry_at = now

    def _open(self, now: Milliseconds) -> None:
        max_backoff = min(MAX_BACKOFF, INITIAL_BACKOFF * 2**self._probes)
        backoff = max_backoff * (1 - JITTER * self._random.random())
        self._state = CircuitState.OPEN
        self._retry_at = Milliseconds(now + int(backoff))
        # The backoff has reached its maximum long before; the cap bounds 2**probes.
        self._probes = min(self._probes + 1, 16)
