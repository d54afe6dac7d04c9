"""Connections to endpoints, kept open for reuse."""

from collections.abc import Callable, Sequence
from random import Random

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.forwarding._connect_records import ConnectRecords
from fuchsiaroute.forwarding._endpoint_paths import EndpointPaths
from fuchsiaroute.forwarding._peer_connector import PeerConnection, PeerConnector
from fuchsiaroute.http1 import (
    ClientConnection,
    ConnectError,
    MemoryBudget,
    NoConnectionLeftError,
    connect,
)
from fuchsiaroute.ids import EndpointId
from fuchsiaroute.lifecycle import Outcome
from fuchsiaroute.linelog import LineLog

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
#: Outcomes by which an exchange may end because its path was lost.
_DIRECT_PATH_OUTCOMES = frozenset(
    {Outcome.FAILED_AFTER_SENT, Outcome.TRUNCATED, Outcome.SILENT}
)
#: The same through a peer, whose own end closes its connections.
_PEER_PATH_OUTCOMES = frozenset({Outcome.FAILED_AFTER_SENT, Outcome.TRUNCATED})


class ConnectionPool:
    """
    Opens connections to endpoints and keeps them for reuse.

    The connection limit of each endpoint is divided evenly over the instances.
    ``budget`` counts the responses on all connections.
    ``on_path_change`` is called with an endpoint whose direct path was lost or is back.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        max_connections: Callable[[Endpoint], int],
        instances: Callable[[], int],
        records: ConnectRecords,
        peers: PeerConnector,
        random: Random,
        endpoints: Callable[[], Sequence[Endpoint]],
        on_path_change: Callable[[EndpointId], None],
        log: LineLog,
        budget: MemoryBudget | None = None,
    ) -> None:
        self._budget = budget
        self._clock = clock
        self._max_connections = max_connections
        self._instances = instances
        self._records = records
        self._on_path_change = on_path_change
        #: Paths to endpoints.
        self.paths = EndpointPaths(
            connect=self._connect_directly,
            peers=peers,
            records=records,
            clock=clock,
            log=log,
            random=random,
            endpoints=endpoints,
            on_cut=lambda endpoint: on_path_change(endpoint.id),
            on_hang=self._discard_idle,
            on_restored=self._path_restored,
        )
        #: Connections through peers.
        self._through_peers: set[ClientConnection] = set()
        self._idle: dict[EndpointId, list[ClientConnection]] = {}
        self._open: dict[EndpointId, int] = {}
        #: Connections opened so far.
        self.opened = 0

    async def acquire(
        self, endpoint: Endpoint, *, is_repeatable: bool, may_reuse: bool = True
    ) -> ClientConnection:
        """
        Return an idle or, unless it ``may_reuse`` one, a new connection.

        Raises ``ConnectError``.
        """
        idle = self._idle.get(endpoint.id, []) if may_reuse else []
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
            found = await self.paths.connect(endpoint)
        except BaseException:
            self._record_closed(endpoint.id)
            raise
        if isinstance(found, PeerConnection):
            self._through_peers.add(found.connection)
            found = found.connection
        self.opened += 1
        return found

    async def is_refused(self, endpoint: Endpoint) -> bool:
        """Return whether no process listens at an endpoint's address any more."""
        return await self.paths.is_refused(endpoint)

    def is_path_lost(
        self, endpoint: EndpointId, connection: ClientConnection, outcome: Outcome
    ) -> bool:
        """Return whether an exchange may have ended because its path was lost."""
        if connection in self._through_peers:
            return outcome in _PEER_PATH_OUTCOMES
        return outcome in _DIRECT_PATH_OUTCOMES and self.paths.was_cut_since(
            endpoint, connection.idle_since
        )

    def release(self, endpoint: EndpointId, connection: ClientConnection) -> None:
        """Keep a connection for reuse, or close it if it cannot be reused."""
        is_needless = connection in self._through_peers and not self.paths.is_cut(
            endpoint
        )
        if connection.is_open and not is_needless:
            self._idle.setdefault(endpoint, []).append(connection)
        else:
            self.discard(endpoint, connection)

    def discard(self, endpoint: EndpointId, connection: ClientConnection) -> None:
        """Close a connection that ``acquire`` returned."""
        connection.abort()
        self._through_peers.discard(connection)
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

    async def _connect_directly(
        self, endpoint: Endpoint, within: Milliseconds
    ) -> ClientConnection:
        try:
            connection = await connect(
                endpoint.host,
                endpoint.port,
                clock=self._clock,
                within=within,
                budget=self._budget,
            )
        except ConnectError as error:
            self._records.record_failure(endpoint.id, error)
            raise
        self._records.record_success(endpoint.id)
        return connection

    def _discard_idle(self, endpoint: Endpoint) -> None:
        """Close direct connections that may carry nothing more."""
        idle = self._idle.pop(endpoint.id, [])
        kept = [item for item in idle if item in self._through_peers]
        for connection in idle:
            if connection not in self._through_peers:
                self.discard(endpoint.id, connection)
        if kept:
            self._idle[endpoint.id] = kept

    def _path_restored(
        self, endpoint: Endpoint, connection: ClientConnection | None
    ) -> None:
        """Keep the new connection, if any, in place of those through peers."""
        kept: list[ClientConnection] = []
        for item in self._idle.pop(endpoint.id, []):
            if item in self._through_peers:
                self.discard(endpoint.id, item)
            else:
                kept.append(item)
        if connection is not None:
            kept.append(connection)
            self._open[endpoint.id] = self._open.get(endpoint.id, 0) + 1
            self.opened += 1
        if kept:
            self._idle[endpoint.id] = kept
        self._on_path_change(endpoint.id)

    def _record_closed(self, endpoint: EndpointId) -> None:
        left = self._open.get(endpoint, 0) - 1
        if left > 0:
            self._open[endpoint] = left
        else:
            self._open.pop(endpoint, None)
