"""The permits that an instance holds, and what it knows of the next ones."""

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.ids import EndpointId
from fuchsiaroute.permits._named_rates import NamedRates

#: Time for which a permit can be used. With the tokens that the issuer keeps, it bounds
#: how far the requests of a few seconds can exceed the rate.
PERMIT_TIME = Milliseconds(1_000)
#: Minimum time between two requests for permits of an endpoint if none has arrived.
REQUEST_INTERVAL = Milliseconds(200)
#: The same once the issuer has said when the next one is due. A request lapses later.
REPEAT_INTERVAL = Milliseconds(500)
MILLISECONDS_PER_SECOND = 1_000


@dataclass(slots=True)
class _Held:
    #: Ends of the permits' validity, in order.
    expiries: deque[Milliseconds] = field(default_factory=deque)
    #: Requests that found no permit since the last request for permits.
    wanted: int = 0
    asked_at: Milliseconds | None = None
    #: When the next permit is expected.
    next_at: Milliseconds = Milliseconds(0)
    #: Instances that get permits in turns.
    sharers: int = 1


class PermitHolder:
    """
    Decides whether a request may be sent to an endpoint that names a rate.

    ``on_want`` is called with an endpoint for which permits are to be requested.
    """

    def __init__(
        self,
        *,
        rates: NamedRates,
        clock: Clock,
        on_want: Callable[[Endpoint], None] = lambda endpoint: None,
    ) -> None:
        self._rates = rates
        self._clock = clock
        self._on_want = on_want
        self._held: dict[EndpointId, _Held] = {}

    @property
    def is_needed(self) -> bool:
        """Return whether any endpoint names a rate."""
        return self._rates.has_rates

    def may_send(self, endpoint: Endpoint) -> bool:
        """Return whether a request may be sent now, without counting it."""
        if not self._is_limited(endpoint):
            return True
        held = self._held.get(endpoint.id)
        if held is None:
            return False
        self._drop_expired(held)
        return bool(held.expiries)

    def take(self, endpoint: Endpoint) -> Milliseconds | None:
        """Use up a permit; return the end of its validity, None if none was needed."""
        if not self._is_limited(endpoint):
            return None
        held = self._held.get(endpoint.id)
        return held.expiries.popleft() if held is not None and held.expiries else None

    def give_back(self, endpoint: Endpoint, expiry: Milliseconds) -> None:
        """Return a permit of a request that was not sent."""
        self._held.setdefault(endpoint.id, _Held()).expiries.appendleft(expiry)

    def want(self, endpoint: Endpoint) -> None:
        """Record that a request found no permit."""
        held = self._held.setdefault(endpoint.id, _Held())
        held.wanted += 1
        now = self._clock.now()
        interval = REPEAT_INTERVAL if held.next_at > now else REQUEST_INTERVAL
        if held.asked_at is None or now - held.asked_at >= interval:
            held.asked_at = now
            self._on_want(endpoint)

    def take_wanted(self, endpoint: Endpoint) -> int:
        """Return how many permits to request, at least one; resets their number."""
        held = self._held.setdefault(endpoint.id, _Held())
        rate = self._rates.rate_of(endpoint.id, endpoint.started_at) or 0.0
        useful = math.ceil(rate * REQUEST_INTERVAL / MILLISECONDS_PER_SECOND)
        count, held.wanted = min(held.wanted, useful), 0
        return max(count, 1)

    def receive(self, endpoint: EndpointId) -> None:
        """Add a permit that the issuer has sent."""
        held = self._held.setdefault(endpoint, _Held())
        held.expiries.append(Milliseconds(self._clock.now() + PERMIT_TIME))
        held.asked_at = None

    def expect(self, endpoint: EndpointId, wait: Milliseconds, *, sharers: int) -> None:
        """Record what the issuer says of the next permit."""
        held = self._held.setdefault(endpoint, _Held())
        held.next_at = Milliseconds(self._clock.now() + wait)
        held.sharers = max(sharers, 1)

    def expected_wait(
        self, endpoints: Iterable[Endpoint], ahead: float
    ) -> Milliseconds:
        """
        Return the time until a permit of one of ``endpoints``, all of which name rates.

        ``ahead`` requests are sent before. It is 0 as long as the issuer has not said
        when the next permit is due.
        """
        now = self._clock.now()
        first, rate = math.inf, 0.0
        for endpoint in endpoints:
            held = self._held.get(endpoint.id) or _Held()
            first = min(first, max(held.next_at - now, 0))
            named = self._rates.rate_of(endpoint.id, endpoint.started_at) or 0.0
            rate += named / held.sharers
        if not rate:
            return Milliseconds(0)
        return Milliseconds(round(first + ahead / rate * MILLISECONDS_PER_SECOND))

    def forget(self, *, is_announced: Callable[[EndpointId], bool]) -> None:
        """Forget endpoints that are gone; called periodically."""
        for name in [name for name in self._held if not is_announced(name)]:
            del self._held[name]

    def _is_limited(self, endpoint: Endpoint) -> bool:
        return self._rates.rate_of(endpoint.id, endpoint.started_at) is not None

    def _drop_expired(self, held: _Held) -> None:
        now = self._clock.now()
        while held.expiries and held.expiries[0] <= now:
            held.expiries.popleft()
