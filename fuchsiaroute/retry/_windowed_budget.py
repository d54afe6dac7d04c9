"""Retry budget that limits the retries in every sliding window of time."""

from collections import deque
from collections.abc import Callable

from fuchsiaroute.clock import Clock, Milliseconds


class WindowedRetryBudget:
    """
    Allows ``ratio`` retries per request of the past window, plus ``slack()``.

    If every instance uses its part of the slack, the sum over all instances keeps to
    the same limit without a shared counter.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        window: Milliseconds,
        ratio: float,
        slack: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._window = window
        self._ratio = ratio
        self._slack = slack
        self._requests: deque[Milliseconds] = deque()
        self._retries: deque[Milliseconds] = deque()
        #: Number of retries that were denied because the budget was exhausted.
        self.denied = 0

    def record_first_attempt(self) -> None:
        """Count a request's first attempt."""
        self._requests.append(self._clock.now())
        self._discard_expired(self._requests)

    def spend(self, *, reserve_share: float = 0.0) -> bool:
        """
        Return whether one more attempt may be made; count it if so.

        ``reserve_share`` is the fraction of the budget to leave for attempts that are
        more important.
        """
        self._discard_expired(self._requests)
        self._discard_expired(self._retries)
        allowed = self._ratio * len(self._requests) + self._slack()
        if len(self._retries) + 1 > allowed * (1.0 - reserve_share):
            self.denied += 1
            return False
        self._retries.append(self._clock.now())
        return True

    def _discard_expired(self, instants: deque[Milliseconds]) -> None:
        oldest = self._clock.now() - self._window
        while instants and instants[0] <= oldest:
            instants.popleft()
