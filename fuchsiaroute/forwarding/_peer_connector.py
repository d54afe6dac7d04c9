"""Connections to endpoints through peers, as forwarding uses them."""

from dataclasses import dataclass
from typing import Protocol

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.http1 import ClientConnection, ConnectError
from fuchsiaroute.ids import InstanceId


class PathCutError(ConnectError):
    """
    No connection to an endpoint whose path is cut, and no peer to connect through.

    This tells nothing of the endpoint.
    """


@dataclass(frozen=True, kw_only=True)
class PeerConnection:
    """A connection to an endpoint through a peer."""

    connection: ClientConnection
    peer: InstanceId


class PeerConnector(Protocol):
    """Opens connections to endpoints through peers."""

    def has_peers(self) -> bool:
        """Return whether there is a peer to ask."""

    async def open(self, endpoint: Endpoint, *, within: Milliseconds) -> PeerConnection:
        """
        Open a connection through one of the peers; ``within`` is the timeout.

        Raises ``NobodyListensError`` if the peers found that nobody listens,
        ``PathMissingError`` if they do not reach the endpoint, and
        ``PeerUnavailableError`` if none could be asked.
        """
