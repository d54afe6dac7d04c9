"""Open connections to endpoints."""

from collections.abc import Callable

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.http1 import ClientConnection, NoConnectionLeftError, connect
from fuchsiaroute.ids import EndpointId

#: Time for a connection; the two ends are about a millisecond apart.
CONNECT_TIMEOUT = Milliseconds(400)
#: Time for which an unused connection is kept if the endpoint does not say.
IDLE_LIMIT = Milliseconds(4_000)
#: Part of the endpoint's idle time-out after which it may close at any moment.
SAFE_IDLE_SHARE = 0.6
#: Longest time since its last use of a connection that carries a request which cannot
#: be repeated: an endpoint may have dropped an older one unnoticed.
UNREPEATABLE_IDLE_LIMIT = Milliseconds(250)
#: Part of an endpoint's connections that all instances together use.
CONNECTION_SHARE = 0.8
#: Connections that an instance may have to an endpoint, however many instances.
LEAST_CONNECTIONS = 2


class ConnectionPool:
    """
    Keeps connections to endpoints for reuse.

    The limit on connections of each endpoint is divided evenly over the instances.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        max_connections: Callable[[Endpoint], int],
        instances: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._max_connections = max_connections
        self._instances = instances
        self._idle: dict[EndpointId, list[ClientConnection]] = {}
        self._open: dict[EndpointId, int] = {}
        #: Connections opened so far.
        self.opened = 0

    async def take(
        self, endpoint: Endpoint, *, is_repeatable: bool
    ) -> ClientConnection:
        """Return an open connection; raises ``ConnectError``."""
        idle = self._idle.get(endpoint.id, [])
        limit = IDLE_LIMIT if is_repeatable else UNREPEATABLE_IDLE_LIMIT
        now = self._clock.now()
        while idle:
            connection = idle.pop()
            idle_for = now - connection.idle_since
            longest = connection.idle_timeout(IDLE_LIMIT) * SAFE_IDLE_SHARE
            if connection.is_open and idle_for < min(limit, longest):
                return connection
            self.drop(endpoint.id, connection)
        share = self._max_connections(endpoint) * CONNECTION_SHARE / self._instances()
        if self._open.get(endpoint.id, 0) >= max(share, LEAST_CONNECTIONS):
            raise NoConnectionLeftError("all connections to it are in use")
        self._open[endpoint.id] = self._open.get(endpoint.id, 0) + 1
        try:
            connection = await connect(
                endpoint.host, endpoint.port, clock=self._clock, within=CONNECT_TIMEOUT
            )
        except BaseException:
            self._closed(endpoint.id)
            raise
        self.opened += 1
        return connection

    def give_back(self, endpoint: EndpointId, connection: ClientConnection) -> None:
        """Keep a connection for reuse, or close it if it cannot be reused."""
        if connection.is_open:
            self._idle.setdefault(endpoint, []).append(connection)
        else:
            self.drop(endpoint, connection)

    def drop(self, endpoint: EndpointId, connection: ClientConnection) -> None:
        """Close a connection that ``take`` has returned."""
        connection.abort()
        self._closed(endpoint)

    def close_idle(self) -> None:
        """Close connections that have been idle for long."""
        now = self._clock.now()
        for endpoint, idle in list(self._idle.items()):
            kept = []
            for connection in idle:
                is_old = now - connection.idle_since > IDLE_LIMIT
                if connection.is_open and not is_old:
                    kept.append(connection)
                else:
                    self.drop(endpoint, connection)
            if kept:
                self._idle[endpoint] = kept
            else:
                del self._idle[endpoint]

    def _closed(self, endpoint: EndpointId) -> None:
        left = self._open.get(endpoint, 0) - 1
        if left > 0:
            self._open[endpoint] = left
        else:
            self._open.pop(endpoint, None)
