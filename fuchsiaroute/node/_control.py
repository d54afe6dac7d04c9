"""The readiness and directory addresses of an instance."""

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

#: Time for which callers may keep the directory's answer. Some keep it three times as
#: long, and a stopping instance serves for longer than that.
ANSWER_LIFETIME = Milliseconds(1_000)
#: Addresses that callers take from one answer.
MOST_ADDRESSES = 64


class ControlHandler:
    """Answers whether this instance is ready, and which addresses to use."""

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
        self._former: list[str] = []

    async def handle(self, request: InboundRequest, responder: Responder) -> None:
        """Answer one call."""
        match control_call(request):
            case ControlCall.READINESS:
                responder.send(200 if self._is_ready() else 503, [], b"")
            case ControlCall.DIRECTORY:
                self._send_addresses(request, responder)
            case _:
                responder.send(404, [], b"")

    def addresses(self) -> list[str]:
        """Return the addresses of the instances that callers may use."""
        addresses = [item.frontend for item in self._liveness.alive() if item.is_ready]
        if self._is_ready():
            addresses.append(str(self._settings.frontend))
        if len(addresses) > MOST_ADDRESSES:
            addresses = self._random.sample(addresses, MOST_ADDRESSES)
        return sorted(addresses)

    def _send_addresses(self, request: InboundRequest, responder: Responder) -> None:
        addresses = self.addresses()
        if addresses != self._former:
            self._former = addresses
            query = read_directory_query(request)
            self._log.write(
                "directory:changed",
                addresses=addresses,
                asked_from=query.failure_domain,
            )
        if not addresses:
            responder.send(503, [], b"")
            return
        lifetime = min(ANSWER_LIFETIME, self._settings.bounds.directory_lifetime)
        responder.send(200, JSON_HEADERS, encode_directory_answer(addresses, lifetime))
