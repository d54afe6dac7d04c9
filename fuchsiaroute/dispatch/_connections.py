"""Connections to endpoints, kept apart by endpoint."""

import socket
import ssl
from dataclasses import dataclass

import httpx

from fuchsiaroute.clock import Milliseconds

CONNECT_TIMEOUT_SECONDS = 1.0
#: Longest wait until the request has been handed to the kernel.
WRITE_TIMEOUT_SECONDS = 5.0
CONNECTIONS_PER_ENDPOINT = 256
IDLE_SECONDS = 30.0
#: Time for which sent bytes may stay unacknowledged.
USER_TIMEOUT = Milliseconds(10_000)
#: Pings of the kernel on a quiet connection: begin, interval, and number.
KEEPALIVE_IDLE_SECONDS = 5
KEEPALIVE_INTERVAL_SECONDS = 2
KEEPALIVE_PROBES = 3

_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(USER_TIMEOUT)),
]


@dataclass(kw_only=True, eq=False)
class EndpointConnections:
    """The connections to one endpoint that were opened in one period."""

    client: httpx.AsyncClient
    #: Calls that use the connections now.
    users: int = 0
    is_retired: bool = False

    async def release(self) -> None:
        """Note that one call has ended; the last one closes what is retired."""
        self.users -= 1
        if self.is_retired and self.users == 0:
            await self.client.aclose()


class Connections:
    """Opens connections to each endpoint and can begin afresh with new ones."""

    def __init__(self) -> None:
        self._tls = ssl.create_default_context()
        self._current: dict[str, EndpointConnections] = {}

    def acquire(self, url: str) -> EndpointConnections:
        """Return the endpoint's connections for one call."""
        if url not in self._current:
            self._current[url] = EndpointConnections(client=self._client())
        connections = self._current[url]
        connections.users += 1
        return connections

    async def retire(self, url: str, suspected: EndpointConnections) -> None:
        """Use new connections from now on; open answers keep the suspected ones."""
        if self._current.get(url) is not suspected:
            return
        del self._current[url]
        suspected.is_retired = True
        if suspected.users == 0:
            await suspected.client.aclose()

    async def aclose(self) -> None:
        """Close all connections."""
        for connections in self._current.values():
            await connections.client.aclose()
        self._current.clear()

    def _client(self) -> httpx.AsyncClient:
        transport = httpx.AsyncHTTPTransport(
            verify=self._tls,
            limits=httpx.Limits(
                max_connections=CONNECTIONS_PER_ENDPOINT,
                max_keepalive_connections=CONNECTIONS_PER_ENDPOINT,
                keepalive_expiry=IDLE_SECONDS,
            ),
            socket_options=_SOCKET_OPTIONS,
        )
        timeout = httpx.Timeout(
            None, connect=CONNECT_TIMEOUT_SECONDS, write=WRITE_TIMEOUT_SECONDS
        )
        return httpx.AsyncClient(transport=transport, timeout=timeout)
