"""A circuit breaker with jittered exponential backoff."""

import random
from enum import Enum

from fuchsiaroute.clock import Milliseconds

#: Failures in a row that open the circuit.
FAILURE_THRESHOLD = 3
#: Backoff after the first opening; doubles with each failed probe.
FIRST_BACKOFF = Milliseconds(500)
#: Longest backoff.
LAST_BACKOFF = Milliseconds(5_000)
#: Share of a backoff that is random.
JITTER = 0.5


class CircuitState(Enum):
    """Whether calls pass."""

    CLOSED = "closed"
    #: Calls are refused until the backoff has passed.
    OPEN = "open"
    #: One probe is under way; other calls are refused.
    PROBING = "probing"


class CircuitBreaker:
    """Decides whether a call to a failing service is worth making."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._state = CircuitState.CLOSED
        self._failures = 0
        self._probes = 0
        self._retry_at = Milliseconds(0)

    @property
    def state(self) -> CircuitState:
        """Return the state."""
        return self._state

    def allows(self, now: Milliseconds) -> bool:
        """Return whether a call may be made at ``now``; may make it the probe."""
        if self._state is CircuitState.CLOSED:
            return True
        if self._state is CircuitState.OPEN and now >= self._retry_at:
            self._state = CircuitState.PROBING
            return True
        return False

    def retry_after(self, now: Milliseconds) -> Milliseconds:
        """Return the time until the next probe; 0 if calls pass."""
        if self._state is CircuitState.CLOSED:
            return Milliseconds(0)
        return Milliseconds(max(0, self._retry_at - now))

    def note_success(self) -> None:
        """Close the circuit after an answer in time."""
        self._state = CircuitState.CLOSED
        self._failures = 0
        self._probes = 0

    def note_failure(self, now: Milliseconds) -> None:
        """Count a failed or late call, and open the circuit after enough of them."""
        self._failures += 1
        is_probe = self._state is CircuitState.PROBING
        if is_probe or self._failures >= FAILURE_THRESHOLD:
            self._open(now)

    def abandon_probe(self, now: Milliseconds) -> None:
        """Let another call probe, since the caller of this one went away."""
        if self._state is CircuitState.PROBING:
            self._state = CircuitState.OPEN
            self._retry_at = now

    def _open(self, now: Milliseconds) -> None:
        longest = min(LAST_BACKOFF, FIRST_BACKOFF * 2**self._probes)
        backoff = longest * (1 - JITTER * self._rng.random())
        self._state = CircuitState.OPEN
        self._retry_at = Milliseconds(now + int(backoff))
        self._probes = min(self._probes + 1, 16)
