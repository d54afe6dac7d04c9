"""Connections to endpoints, kept apart by endpoint."""

from dataclasses import dataclass

import httpx

from fuchsiaroute.transport import HookedConnector, build_client

CONNECTIONS_PER_ENDPOINT = 256


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
        return build_client(
            max_connections=CONNECTIONS_PER_ENDPOINT,
            connector_class=HookedConnector,
        )
