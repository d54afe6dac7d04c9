"""Connections to endpoints, with one HTTP client per endpoint."""

from dataclasses import dataclass

import httpx

from fuchsiaroute.transport import HookedConnector, build_client

CONNECTIONS_PER_ENDPOINT = 256


@dataclass(kw_only=True, eq=False)
class EndpointConnections:
    """A client with connections to one endpoint, until they are retired."""

    client: httpx.AsyncClient
    #: Number of calls that use the connections now.
    users: int = 0
    is_retired: bool = False

    async def release(self) -> None:
        """End the use by one call; the last one closes retired connections."""
        self.users -= 1
        if self.is_retired and self.users == 0:
            await self.client.aclose()


class Connections:
    """Provides connections to each endpoint and replaces suspected ones."""

    def __init__(self) -> None:
        self._current: dict[str, EndpointConnections] = {}

    def acquire(self, url: str) -> EndpointConnections:
        """Return the endpoint's connections for one call, which must release them."""
        if url not in self._current:
            self._current[url] = EndpointConnections(client=self._client())
        connections = self._current[url]
        connections.users += 1
        return connections

    async def retire(self, url: str, suspected: EndpointConnections) -> None:
        """Use new connections for later calls; open answers keep the suspected ones."""
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
        return build_client(
            max_connections=CONNECTIONS_PER_ENDPOINT,
            connector_class=HookedConnector,
        )
