"""Which broken answers of an endpoint have a cause of their own."""

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.ids import EndpointId

#: Time within which broken answers of one endpoint have one cause: the end of its
#: process, or of its path, breaks all of them.
SAME_CAUSE_TIME = Milliseconds(200)
#: Endpoints that are remembered.
MAX_ENDPOINTS = 1_000


class BreakCounter:
    """
    Tells the first broken answer of an endpoint from those that broke with it.

    The sequential test on a roll-out takes answers as independent. All the answers that
    one crash breaks would be as many bad answers of the endpoint's version.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        #: Latest broken answer, the endpoint of the least recent one first.
        self._broken_at: dict[EndpointId, Milliseconds] = {}

    def is_independent(self, endpoint: EndpointId) -> bool:
        """Record a broken answer; return whether it is the first of its cause."""
        now = self._clock.now()
        former = self._broken_at.pop(endpoint, None)
        self._broken_at[endpoint] = now
        if len(self._broken_at) > MAX_ENDPOINTS:
            del self._broken_at[next(iter(self._broken_at))]
        return former is None or now - former >= SAME_CAUSE_TIME
