"""Retry budget that limits retries and hedges to a fraction of the requests."""

from fuchsiaroute.clock import Clock, Milliseconds

#: Retries allowed per first attempt.
RETRY_RATIO = 0.1
#: Maximum burst of retries.
MAX_BALANCE = 10.0
#: Retries per second allowed regardless of traffic, so that an entry with few requests
#: can retry.
MIN_RETRIES_PER_SECOND = 0.5
MILLISECONDS_PER_SECOND = 1_000


class RetryBudget:
    """
    Token bucket that first attempts fill and retries empty.

    While endpoints fail, retries are limited to ``RETRY_RATIO`` of the callers' load,
    apart from the burst and the minimum rate, so that they do not sustain an overload.
    """

    def __init__(self, *, clock: Clock, ratio: float = RETRY_RATIO) -> None:
        self._clock = clock
        self._ratio = ratio
        self._balance = MAX_BALANCE
        self._refilled_at = clock.now()
        #: Number of retries that were denied because the budget was exhausted.
        self.denied = 0

    def record_first_attempt(self) -> None:
        """Count a request's first attempt."""
        self._add(self._ratio)

    def spend(self) -> bool:
        """Return whether one more attempt may be made; count it if so."""
        now: Milliseconds = self._clock.now()
        elapsed = (now - self._refilled_at) / MILLISECONDS_PER_SECOND
        self._refilled_at = now
        self._add(elapsed * MIN_RETRIES_PER_SECOND)
        if self._balance < 1.0:
            self.denied += 1
            return False
        self._balance -= 1.0
        return True

    def _add(self, amount: float) -> None:
        self._balance = min(self._balance + amount, MAX_BALANCE)
