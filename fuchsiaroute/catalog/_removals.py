"""Defers the removal of endpoints whose announcement is gone."""

from collections import Counter
from collections.abc import Iterable

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.ids import EndpointId, ServiceId

#: Time after an outage of the store within which endpoints renew announcements that
#: expired during the outage.
RENEWAL_TIME = Milliseconds(2_000)
#: Share of a service's endpoints from which on their simultaneous removal is a mass
#: removal, which may be caused by expired announcements.
MASS_REMOVAL_SHARE = 0.5
#: Part of the drain bound for which a mass removal is deferred; the rest is left for
#: requests in flight.
MASS_DELAY_SHARE = 0.4


class PendingRemovals:
    """
    Defers removals that may be no more than expired announcements.

    A removal takes effect at once while the store is reachable. After an outage it is
    deferred until the endpoints have had time to renew their announcements.
    """

    def __init__(self, *, clock: Clock, drain: Milliseconds) -> None:
        self._clock = clock
        self._mass_delay = Milliseconds(round(drain * MASS_DELAY_SHARE))
        self._due: dict[EndpointId, Milliseconds] = {}
        self._recovered_at: Milliseconds | None = None

    @property
    def recovered_at(self) -> Milliseconds | None:
        """Return the end of the store's latest outage; None if there was none."""
        return self._recovered_at

    def store_recovered(self, instant: Milliseconds | None = None) -> None:
        """Record the end of an outage of the store, now or at ``instant``."""
        recovered_at = self._clock.now() if instant is None else instant
        if self._recovered_at is None or recovered_at > self._recovered_at:
            self._recovered_at = recovered_at

    def announced(self, endpoint: EndpointId) -> None:
        """Cancel the removal of an endpoint that has announced itself again."""
        self._due.pop(endpoint, None)

    def removed(
        self,
        endpoints: dict[EndpointId, ServiceId],
        *,
        sizes: Counter[ServiceId],
    ) -> Milliseconds:
        """
        Schedule the removal of ``endpoints``, whose announcements are gone.

        ``sizes`` counts the announced endpoints of each service before the removal.
        Returns the time until the last of them is removed.
        """
        now = self._clock.now()
        gone = Counter(endpoints.values())
        for endpoint, service in endpoints.items():
            due = now
            if self._recovered_at is not None:
                due = Milliseconds(max(due, self._recovered_at + RENEWAL_TIME))
            is_mass = (
                gone[service] > 1
                and gone[service] >= MASS_REMOVAL_SHARE * sizes[service]
            )
            if is_mass:
                due = Milliseconds(max(due, now + self._mass_delay))
            self._due.setdefault(endpoint, due)
        last = max((self._due[endpoint] for endpoint in endpoints), default=now)
        return Milliseconds(last - now)

    def due(self) -> Iterable[EndpointId]:
        """Return the endpoints to remove now; each endpoint is returned once."""
        now = self._clock.now()
        ready = [endpoint for endpoint, due in self._due.items() if due <= now]
        for endpoint in ready:
            del self._due[endpoint]
        return ready
