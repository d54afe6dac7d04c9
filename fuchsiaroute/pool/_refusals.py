"""Refusals of requests that get no endpoint, and when their callers may return."""

from dataclasses import dataclass
from random import Random

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.pool._demand import NoChoice

#: Bounds of the retry-after time of requests that are refused for want of room.
MIN_RETRY_AFTER = Milliseconds(100)
MAX_RETRY_AFTER = Milliseconds(2_000)
#: Maximum random increase of the retry-after time, so that callers who were refused
#: together do not all return at once.
RETRY_SPREAD = 0.5


@dataclass(frozen=True, kw_only=True)
class QueueRefusal:
    """Why a request got no endpoint; it has not been sent anywhere."""

    reason: NoChoice
    #: Time until an endpoint is expected to have capacity.
    retry_after: Milliseconds
    #: Expected wait when the request was refused, and requests that were before it.
    expected_wait: Milliseconds = Milliseconds(0)
    ahead: int = 0


class Refusals:
    """Spreads the callers of refused requests over time."""

    def __init__(self, random: Random) -> None:
        self._random = random

    def until(self, reason: NoChoice, soonest: Milliseconds) -> QueueRefusal:
        """Return a refusal until a known time."""
        return QueueRefusal(
            reason=reason,
            retry_after=Milliseconds(
                max(round(soonest * self._spread()), MIN_RETRY_AFTER)
            ),
        )

    def for_room(self, wait: float, *, ahead: float = 0.0) -> QueueRefusal:
        """Return a refusal for want of room, which is expected in ``wait`` ms."""
        bounded = min(max(round(wait), MIN_RETRY_AFTER), MAX_RETRY_AFTER)
        return QueueRefusal(
            reason=NoChoice.FULL,
            retry_after=Milliseconds(round(bounded * self._spread())),
            expected_wait=Milliseconds(round(wait)),
            ahead=round(ahead),
        )

    def _spread(self) -> float:
        return 1.0 + RETRY_SPREAD * self._random.random()
