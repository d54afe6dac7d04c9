"""Polling of endpoints for their load, at a bounded rate."""

from collections.abc import Iterator

from returns.result import Success

from fuchsiaroute.balancing import EndpointChooser
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.configuration import Endpoint
from fuchsiaroute.dispatch import Connections, read_status
from fuchsiaroute.endpoints import LoadReport
from fuchsiaroute.entry._current import CurrentConfiguration

#: Interval between two status requests; eight per second are about 2 KB/s.
POLL_INTERVAL = Milliseconds(125)


class StatusPoll:
    """Polls the status of the endpoints in use, one after another."""

    def __init__(
        self,
        *,
        chooser: EndpointChooser,
        connections: Connections,
        current: CurrentConfiguration,
        clock: Clock,
    ) -> None:
        self._chooser = chooser
        self._connections = connections
        self._current = current
        self._clock = clock
        self._remaining: Iterator[Endpoint] = iter(())

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await self._clock.sleep(POLL_INTERVAL)

    async def poll(self) -> None:
        """Poll the next endpoint; after the last one, begin a new round."""
        endpoint = next(self._remaining, None)
        if endpoint is None:
            self._remaining = iter(self._used_endpoints())
            return
        taken_at = self._clock.wall()
        connections = self._connections.acquire(endpoint.url)
        try:
            result = await read_status(connections.client, endpoint.url)
        finally:
            await connections.release()
        if not isinstance(result, Success):
            return
        status = result.unwrap()
        if status.in_flight < 0:
            return
        report = LoadReport(
            endpoint=endpoint.id,
            incarnation=status.incarnation,
            in_flight=status.in_flight,
            taken_at=taken_at,
        )
        self._chooser.record_load_report(report)

    def _used_endpoints(self) -> list[Endpoint]:
        used = self._chooser.used_endpoints()
        endpoints = self._current.configuration.endpoints
        return [endpoint for endpoint in endpoints if endpoint.id in used]
