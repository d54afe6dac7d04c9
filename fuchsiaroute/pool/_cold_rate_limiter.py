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

    The share is computed when it is needed. Few endpoints are cold, and ranking the
    instances for every endpoint whenever one of them comes or goes would take most of
    the start of a large fleet.
    """

    def __init__(self, endpoint: EndpointId, *, clock: Clock) -> None:
        self._endpoint = endpoint
        self._clock = clock
        self._total_rate = 0.0
        self._instance = InstanceId("")
        self._instances: Sequence[InstanceId] = ()
        #: This instance's part of the rate; None until it is needed.
        self._share: float | None = 0.0
        self._tokens = 1.0
        self._refilled_at = clock.now()

    @property
    def rate(self) -> float:
        """Return the requests per second that this instance may send."""
        if self._share is None:
            self._share = self._compute_share()
        return self._share

    def set_share(
        self, rate: float, *, instance: InstanceId, instances: Sequence[InstanceId]
    ) -> None:
        """
        Set this instance's share of ``rate`` requests per second.

        The share is 0 for an instance that is not one of the owners among
        ``instances``.
        """
        self._total_rate = rate
        self._instance, self._instances = instance, instances
        self._share = None

    def is_allowed(self) -> bool:
        """Return whether a request may be sent now, without counting it."""
        self._refill()
        return self.rate > 0.0 and self._tokens >= 1.0

    def spend(self) -> None:
        """Count one request."""
        self._refill()
        self._tokens -= 1.0

    def _compute_share(self) -> float:
        names, rate = self._instances, self._total_rate
        owners = min(len(names), max(int(rate / MIN_OWNER_RATE), 1))
        chosen = rendezvous_order(self._endpoint, names)[:owners]
        return rate / owners if self._instance in chosen else 0.0

    def _refill(self) -> None:
        now = self._clock.now()
        added = (now - self._refilled_at) / MILLISECONDS_PER_SECOND * self.rate
        self._refilled_at = now
        self._tokens = min(self._tokens + added, 1.0)
