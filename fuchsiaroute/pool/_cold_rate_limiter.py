"""Rate limit of the requests that one instance sends to a cold endpoint."""

from collections.abc import Sequence

from fuchsiaroute.clock import Clock
from fuchsiaroute.hashing import rendezvous_order
from fuchsiaroute.ids import EndpointId, InstanceId

#: Minimum requests per second of each owner of a cold endpoint; with a lower rate there
#: would be so many owners that their bursts together exceed the endpoint's rate.
MIN_OWNER_RATE = 2.0
MILLISECONDS_PER_SECOND = 1_000


class ColdRateLimiter:
    """
    Token bucket for the requests of one instance to one cold endpoint.

    A few owners, chosen by rendezvous hash, share the endpoint's rate, so that the sum
    over all instances is bounded without a shared counter. The bucket holds one token.
    """

    def __init__(self, endpoint: EndpointId, *, clock: Clock) -> None:
        self._endpoint = endpoint
        self._clock = clock
        self._rate = 0.0
        self._tokens = 1.0
        self._refilled_at = clock.now()

    @property
    def rate(self) -> float:
        """Return the requests per second that this instance may send."""
        return self._rate

    def set_share(
        self, rate: float, *, instance: InstanceId, instances: Sequence[InstanceId]
    ) -> None:
        """
        Set this instance's share of ``rate`` requests per second.

        The share is 0 for an instance that is not one of the owners among
        ``instances``.
        """
        owners = min(len(instances), max(int(rate / MIN_OWNER_RATE), 1))
        chosen = rendezvous_order(self._endpoint, instances)[:owners]
        self._rate = rate / owners if instance in chosen else 0.0

    def is_allowed(self) -> bool:
        """Return whether a request may be sent now, without counting it."""
        self._refill()
        return self._rate > 0.0 and self._tokens >= 1.0

    def spend(self) -> None:
        """Count one request."""
        self._refill()
        self._tokens -= 1.0

    def _refill(self) -> None:
        now = self._clock.now()
        added = (now - self._refilled_at) / MILLISECONDS_PER_SECOND * self._rate
        self._refilled_at = now
        self._tokens = min(self._tokens + added, 1.0)
