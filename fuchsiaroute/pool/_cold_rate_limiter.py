"""This instance's share of what a cold endpoint bears."""

from collections.abc import Sequence

from fuchsiaroute.clock import Clock
from fuchsiaroute.hashing import rendezvous_order
from fuchsiaroute.ids import EndpointId, InstanceId

#: Requests a second that each owner of a cold endpoint gets at least; fewer would
#: make the bursts of all owners together larger than the rate.
LEAST_OWNER_RATE = 2.0
_MS = 1_000


class ColdRateLimiter:
    """
    Limits the requests of one instance to one cold endpoint.

    A few owners, chosen by rendezvous hash, share the endpoint's rate, so that the sum
    over all instances holds without a shared counter. Each owner may send one request
    at once and earns the next at its rate.
    """

    def __init__(self, endpoint: EndpointId, *, clock: Clock) -> None:
        self._endpoint = endpoint
        self._clock = clock
        self._rate = 0.0
        self._tokens = 1.0
        self._filled_at = clock.now()

    @property
    def rate(self) -> float:
        """Return the requests a second that this instance may send."""
        return self._rate

    def divide(
        self, rate: float, *, instance: InstanceId, instances: Sequence[InstanceId]
    ) -> None:
        """Work out the share of ``rate`` requests a second among ``instances``."""
        owners = min(len(instances), max(int(rate / LEAST_OWNER_RATE), 1))
        chosen = rendezvous_order(self._endpoint, instances)[:owners]
        self._rate = rate / owners if instance in chosen else 0.0

    def has_room(self) -> bool:
        """Return whether a request may be sent now."""
        self._fill()
        return self._rate > 0.0 and self._tokens >= 1.0

    def spend(self) -> None:
        """Count one request."""
        self._fill()
        self._tokens -= 1.0

    def _fill(self) -> None:
        now = self._clock.now()
        earned = (now - self._filled_at) / _MS * self._rate
        self._filled_at = now
        self._tokens = min(self._tokens + earned, 1.0)
