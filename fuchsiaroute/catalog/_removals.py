"""When an endpoint whose announcement is gone is forgotten."""

from collections import Counter
from collections.abc import Iterable

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.ids import EndpointId, ServiceId

#: Time after the store's return within which announcements that lapsed while it was
#: away are renewed; one still missing after that is gone.
RENEWAL_TIME = Milliseconds(2_000)
#: Share of a service's endpoints whose removal at once looks like lapsed
#: announcements.
MASS_SHARE = 0.5
#: Part of the drain bound for which a mass removal is put off; the rest is left for
#: requests that are on their way.
MASS_DELAY_SHARE = 0.4


class PendingRemovals:
    """
    Puts off removals that may only be lapsed announcements.

    A removal is immediate while the store has been in reach. After an outage it waits
    until endpoints have had the time to announce themselves again.
    """

    def __init__(self, *, clock: Clock, drain: Milliseconds) -> None:
        self._clock = clock
        self._mass_delay = Milliseconds(round(drain * MASS_DELAY_SHARE))
        self._due: dict[EndpointId, Milliseconds] = {}
        self._regained_at: Milliseconds | None = None

    def store_recovered(self) -> None:
        """Note that the store answers again after an outage."""
        self._regained_at = self._clock.now()

    def announced(self, endpoint: EndpointId) -> None:
        """Keep an endpoint that has announced itself again."""
        self._due.pop(endpoint, None)

    def removed(
        self,
        endpoints: dict[EndpointId, ServiceId],
        *,
        sizes: Counter[ServiceId],
    ) -> None:
        """
        Take over which announcements are gone.

        ``sizes`` counts the announced endpoints of each service before that.
        """
        now = self._clock.now()
        gone = Counter(endpoints.values())
        for endpoint, service in endpoints.items():
            due = now
            if self._regained_at is not None:
                due = Milliseconds(max(due, self._regained_at + RENEWAL_TIME))
            is_mass = gone[service] > 1 and gone[service] >= MASS_SHARE * sizes[service]
            if is_mass:
                due = Milliseconds(max(due, now + self._mass_delay))
            self._due.setdefault(endpoint, due)

    def due(self) -> Iterable[EndpointId]:
        """Return and forget the endpoints to remove now."""
        now = self._clock.now()
        ready = [endpoint for endpoint, due in self._due.items() if due <= now]
        for endpoint in ready:
            del self._due[endpoint]
        return ready
