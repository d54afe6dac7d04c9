"""Connections to endpoints, kept open for reuse."""

from collections.abc import Callable

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.forwarding._connect_records import ConnectRecords
from fuchsiaroute.http1 import (
    ClientConnection,
    ConnectError,
    NobodyListensError,
    NoConnectionLeftError,
    connect,
)
from fuchsiaroute.ids import EndpointId

#: Timeout for opening a connection; endpoints are about a millisecond away.
CONNECT_TIMEOUT = Milliseconds(400)
#: Timeout for finding out whether an endpoint still listens.
PROBE_TIMEOUT = Milliseconds(100)
#: Idle timeout of a connection if the endpoint does not announce one.
IDLE_TIMEOUT = Milliseconds(4_000)
#: Share of the endpoint's idle timeout up to which a connection is reused; after that
#: the endpoint may close it at any moment.
SAFE_IDLE_SHARE = 0.6
#: Idle timeout of a connection for a request that must not be repeated: the endpoint
#: may have closed an older connection without this instance having noticed.
NON_REPEATABLE_IDLE_TIMEOUT = Milliseconds(250)
#: Share of an endpoint's connection limit that all instances together use.
CONNECTION_SHARE = 0.8
#: Connections to an endpoint that each instance may open, however many instances.
MIN_CONNECTIONS = 2


class ConnectionPool:
    """
    Opens connections to endpoints and keeps them for reuse.

    The connection limit of each endpoint is divided evenly over the instances.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        max_connections: Callable[[Endpoint], int],
        instances: Callable[[], int],
        records: ConnectRecords,
    ) -> None:
        self._clock = clock
        self._max_connections = max_connections
        self._instances = instances
        self._records = records
        self._idle: dict[EndpointId, list[ClientConnection]] = {}
        self._open: dict[EndpointId, int] = {}
        #: Connections opened so far.
        self.opened = 0

    async def acquire(
        self, endpoint: Endpoint, *, is_repeatable: bool
    ) -> ClientConnection:
        """Return an idle or new connection; raises ``ConnectError``."""
        idle = self._idle.get(endpoint.id, [])
        limit = IDLE_TIMEOUT if is_repeatable else NON_REPEATABLE_IDLE_TIMEOUT
        now = self._clock.now()
        while idle:
            connection = idle.pop()
            idle_for = now - connection.idle_since
            reusable_for = connection.idle_timeout(IDLE_TIMEOUT) * SAFE_IDLE_SHARE
            if connection.is_open and idle_for < min(limit, reusable_for):
                return connection
            self.discard(endpoint.id, connection)
        share = self._max_connections(endpoint) * CONNECTION_SHARE / self._instances()
        if self._open.get(endpoint.id, 0) >= max(share, MIN_CONNECTIONS):
            raise NoConnectionLeftError(
                "this instance's connections to the endpoint are all in use"
            )
        self._open[endpoint.id] = self._open.get(endpoint.id, 0) + 1
        try:
            connection = await connect(
                endpoint.host, endpoint.port, clock=self._clock, within=CONNECT_TIMEOUT
            )
        except BaseException as error:
            self._record_closed(endpoint.id)
            if isinstance(error, ConnectError):
                self._records.record_failure(endpoint.id, error)
            raise
        self._records.record_success(endpoint.id)
        self.opened += 1
        return connection

    async def is_refused(self, endpoint: Endpoint) -> bool:
        """Return whether no process listens at an endpoint's address any more."""
        try:
            connection = await connect(
                endpoint.host, endpoint.port, clock=self._clock, within=PROBE_TIMEOUT
            )
        except NobodyListensError:
            return True
        except ConnectError:
            # A path that is cut tells nothing of the process.
            return False
        connection.abort()
        return False

    def release(self, endpoint: EndpointId, connection: ClientConnection) -> None:
        """Keep a connection for reuse, or close it if it cannot be reused."""
        if connection.is_open:
            self._idle.setdefault(endpoint, []).append(connection)
        else:
            self.discard(endpoint, connection)

    def discard(self, endpoint: EndpointId, connection: ClientConnection) -> None:
        """Close a connection that ``acquire`` returned."""
        connection.abort()
        self._record_closed(endpoint)

    def close_idle(self) -> None:
        """Close connections that have been idle for ``IDLE_TIMEOUT``."""
        now = self._clock.now()
        for endpoint, idle in list(self._idle.items()):
            kept = []
            for connection in idle:
                is_old = now - connection.idle_since > IDLE_TIMEOUT
                if connection.is_open and not is_old:
                    kept.append(connection)
                else:
                    self.discard(endpoint, connection)
            if kept:
                self._idle[endpoint] = kept
            else:
                del self._idle[endpoint]

    def _record_closed(self, endpoint: EndpointId) -> None:
        left = self._open.get(endpoint, 0) - 1
        if left > 0:
            self._open[endpoint] = left
        else:
            self._open.pop(endpoint, None)
