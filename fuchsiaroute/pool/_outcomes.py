"""Recent outcomes of requests at an endpoint, own and of other instances."""

import math
from dataclasses import dataclass
from typing import NamedTuple

from fuchsiaroute.clock import Clock, Milliseconds

#: Time in which the weight of an outcome halves. With a longer one, the answers before
#: an endpoint began to fail would hide its failures for seconds.
HALF_LIFE = Milliseconds(700)
#: Time for which a failing endpoint is avoided until it is tried again.
AVOIDANCE_TIME = Milliseconds(2_000)
#: Failures, of two instances at least, from which an endpoint may be failing.
MIN_FAILURES = 3.0
#: Share of failures from which it is.
MIN_FAILURE_SHARE = 0.5
#: Failures below which an outcome is not worth telling.
MIN_TOLD = 0.5


class Outcomes(NamedTuple):
    """Weighted numbers of requests."""

    failed: float = 0.0
    answered: float = 0.0


@dataclass(slots=True)
class RecentOutcomes:
    """Outcomes of own requests whose weights decrease with time."""

    clock: Clock
    _failed: float = 0.0
    _answered: float = 0.0
    _updated_at: Milliseconds = Milliseconds(0)

    @property
    def current(self) -> Outcomes:
        """Return the numbers as they weigh now."""
        factor = math.exp2((self._updated_at - self.clock.now()) / HALF_LIFE)
        return Outcomes(self._failed * factor, self._answered * factor)

    def record(self, *, is_failed: bool) -> None:
        """Add one request."""
        failed, answered = self.current
        self._failed = failed + is_failed
        self._answered = answered + (not is_failed)
        self._updated_at = self.clock.now()


def is_failing(own: Outcomes, others: Outcomes) -> bool:
    """
    Return whether an endpoint fails requests of several instances.

    Answers this load: an endpoint resets connections, and each of many instances sends
    it a request or two, too few to find out alone, which cannot be repeated. Failures
    that only this instance sees may be those of its own path.
    """
    failed = own.failed + others.failed
    if failed < MIN_FAILURES or others.failed < MIN_TOLD:
        return False
    return failed / (failed + own.answered + others.answered) >= MIN_FAILURE_SHARE
