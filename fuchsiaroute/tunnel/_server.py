"""The peer's side: forwards bytes between instances and endpoints."""

import asyncio
from collections.abc import Callable

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.http1 import connect_protocol
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.tunnel._tunnel import Connect, Tunnel, TunnelContext

#: Interval at which timeouts, and instances that may have gone, are checked.
CHECK_INTERVAL_SECONDS = 0.1
#: Time within which the request for a tunnel has to arrive.
REQUEST_TIMEOUT = Milliseconds(1_000)
#: Time without bytes after which a tunnel is closed. Instances close idle connections
#: sooner; a request may run without bytes until its deadline.
IDLE_TIMEOUT = Milliseconds(120_000)


class TunnelServer:
    """Carries connections of other instances to endpoints."""

    def __init__(
        self,
        *,
        connect: Connect = connect_protocol,
        is_known: Callable[[str, int], bool],
        is_draining: Callable[[], bool],
        max_tunnels: int,
        clock: Clock,
        log: LineLog,
        request_timeout: Milliseconds = REQUEST_TIMEOUT,
        idle_timeout: Milliseconds = IDLE_TIMEOUT,
    ) -> None:
        """
        Create a server that ``open`` starts.

        ``connect`` opens a connection to an endpoint; ``is_known`` returns whether an
        endpoint is announced at a host and port. Others are not connected to.
        """
        self._context = TunnelContext(
            connect=connect,
            is_known=is_known,
            is_draining=is_draining,
            max_tunnels=max_tunnels,
            request_timeout=request_timeout,
            idle_timeout=idle_timeout,
            clock=clock,
            log=log,
        )
        self._server: asyncio.Server | None = None
        self._check: asyncio.TimerHandle | None = None

    @property
    def count(self) -> int:
        """Return the number of tunnels."""
        return self._context.count

    @property
    def active(self) -> int:
        """Return the number of tunnels with an exchange in progress or unsent bytes."""
        return sum(tunnel.is_active for tunnel in self._context.tunnels)

    async def open(self, host: str, port: int) -> None:
        """Listen on ``host`` and ``port``; raises ``OSError``."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._create_tunnel, host, port)

    def announce_leaving(self) -> None:
        """Tell the instances to send no further requests through open tunnels."""
        for tunnel in self._context.tunnels:
            tunnel.announce_leaving()

    def close(self) -> None:
        """Stop listening, and close all tunnels at once."""
        if self._server is not None:
            self._server.close()
        for tunnel in list(self._context.tunnels):
            tunnel.abort("the peer has shut down")

    def _create_tunnel(self) -> Tunnel:
        if self._check is None:
            self._schedule_check()
        return Tunnel(self._context)

    def _schedule_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._check = loop.call_later(CHECK_INTERVAL_SECONDS, self._check_tunnels)

    def _check_tunnels(self) -> None:
        self._check = None
        for tunnel in list(self._context.tunnels):
            tunnel.check()
        if self._context.tunnels:
            self._schedule_check()
