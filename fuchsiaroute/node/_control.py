"""Handler of the readiness and directory addresses."""

from collections.abc import Callable
from random import Random

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.gossip import Liveness
from fuchsiaroute.http1 import InboundRequest, Responder
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.platform import (
    JSON_HEADERS,
    ControlCall,
    NodeSettings,
    control_call,
    encode_directory_answer,
    read_directory_query,
)

#: Time for which callers may cache a directory response. Some callers cache it three
#: times as long; a stopping instance serves for longer than that.
DIRECTORY_LIFETIME = Milliseconds(1_000)
#: Maximum number of addresses that callers use from one response.
MAX_ADDRESSES = 64


class ControlHandler:
    """Serves the readiness probe and the directory of instances."""

    def __init__(
        self,
        *,
        settings: NodeSettings,
        liveness: Liveness,
        is_ready: Callable[[], bool],
        random: Random,
        log: LineLog,
    ) -> None:
        self._settings = settings
        self._liveness = liveness
        self._is_ready = is_ready
        self._random = random
        self._log = log
        self._last_addresses: list[str] = []

    async def handle(self, request: InboundRequest, responder: Responder) -> None:
        """Respond to one call."""
        match control_call(request):
            case ControlCall.READINESS:
                responder.send(200 if self._is_ready() else 503, [], b"")
            case ControlCall.DIRECTORY:
                self._send_addresses(request, responder)
            case _:
                responder.send(404, [], b"")

    def addresses(self) -> list[str]:
        """Return up to ``MAX_ADDRESSES`` random addresses of ready instances."""
        addresses = [item.frontend for item in self._liveness.alive() if item.is_ready]
        if self._is_ready():
            addresses.append(str(self._settings.frontend))
        if len(addresses) > MAX_ADDRESSES:
            addresses = self._random.sample(addresses, MAX_ADDRESSES)
        return sorted(addresses)

    def _send_addresses(self, request: InboundRequest, responder: Responder) -> None:
        addresses = self.addresses()
        if addresses != self._last_addresses:
            self._last_addresses = addresses
            query = read_directory_query(request)
            self._log.write(
                "directory:changed",
                addresses=addresses,
                asked_from=query.failure_domain,
            )
        if not addresses:
            responder.send(503, [], b"")
            return
        lifetime = min(DIRECTORY_LIFETIME, self._settings.bounds.directory_lifetime)
        responder.send(200, JSON_HEADERS, encode_directory_answer(addresses, lifetime))
