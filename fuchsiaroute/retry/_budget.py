"""A budget that keeps retries and hedges a small share of the requests."""

from fuchsiaroute.clock import Clock, Milliseconds

#: Retries for each first attempt.
RETRY_RATIO = 0.1
#: Retries that may be made at once after a quiet time.
LARGEST_BALANCE = 10.0
#: Retries a second that are always allowed, so that a quiet entry can retry.
LEAST_RATE = 0.5
_MILLISECONDS_PER_SECOND = 1_000


class RetryBudget:
    """
    Token bucket filled by first attempts.

    While endpoints fail, the load that retries add stays below ``RETRY_RATIO`` of
    the callers' own, so that retries cannot keep an overload alive.
    """

    def __init__(self, *, clock: Clock, ratio: float = RETRY_RATIO) -> None:
        self._clock = clock
        self._ratio = ratio
        self._balance = LARGEST_BALANCE
        self._filled_at = clock.now()
        #: Retries that were not made for want of budget.
        self.denied = 0

    def note_first_attempt(self) -> None:
        """Count a request's first attempt."""
        self._add(self._ratio)

    def spend(self) -> bool:
        """Return whether one more attempt may be made, and count it."""
        now: Milliseconds = self._clock.now()
        elapsed = (now - self._filled_at) / _MILLISECONDS_PER_SECOND
        self._filled_at = now
        self._add(elapsed * LEAST_RATE)
        if self._balance < 1.0:
            self.denied += 1
            return False
        self._balance -= 1.0
        return True

    def _add(self, amount: float) -> None:
        self._balance = min(self._balance + amount, LARGEST_BALANCE)
