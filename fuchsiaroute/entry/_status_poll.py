"""Load reports read from the endpoints themselves, at a bounded rate."""

from collections.abc import Iterator

from returns.result import Success

from fuchsiaroute.balancing import EndpointChooser
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.configuration import Endpoint
from fuchsiaroute.dispatch import Connections, read_status
from fuchsiaroute.endpoints import LoadReport
from fuchsiaroute.entry._current import CurrentConfiguration

#: Time between two readings: eight a second are about 2 KB/s.
READ_INTERVAL = Milliseconds(125)


class StatusPoll:
    """Asks one endpoint after another for its status."""

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
        self._turns: Iterator[Endpoint] = iter(())

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            await self.step()
            await self._clock.sleep(READ_INTERVAL)

    async def step(self) -> None:
        """Read the status of the next endpoint."""
        endpoint = next(self._turns, None)
        if endpoint is None:
            self._turns = iter(self._used())
            return
        taken_at = self._clock.wall()
        connections = self._connections.acquire(endpoint.url)
        try:
            read = await read_status(connections.client, endpoint.url)
        finally:
            await connections.release()
        if not isinstance(read, Success):
            return
        status = read.unwrap()
        if status.in_flight < 0:
            return
        report = LoadReport(
            endpoint=endpoint.id,
            incarnation=status.incarnation,
            in_flight=status.in_flight,
            taken_at=taken_at,
        )
        self._chooser.record_load_report(report)

    def _used(self) -> list[Endpoint]:
        used = self._chooser.used_endpoints()
        endpoints = self._current.configuration.endpoints
        return [endpoint for endpoint in endpoints if endpoint.id in used]
