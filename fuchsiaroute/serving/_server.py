"""HTTP server that runs in an existing event loop."""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable, Iterator
from functools import partial
from typing import Any

import uvicorn

from fuchsiaroute.serving._protocol import ConnectionLimits, LimitedProtocol
from fuchsiaroute.serving._stall_timer import MILLISECONDS_PER_SECOND

AsgiApp = Callable[[Any, Any, Any], Awaitable[None]]

LISTEN_BACKLOG = 512
DEFAULT_LIMITS = ConnectionLimits()


class _EmbeddedServer(uvicorn.Server):
    """Server without signal handlers that sets an event once it has started."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        #: Set when the server accepts connections.
        self.accepting = asyncio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signal handlers of the process unchanged."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start to accept connections."""
        await super().startup(sockets=sockets)
        self.accepting.set()


class HttpServer:
    """Serves an ASGI application on one address; port 0 selects a free port."""

    def __init__(
        self,
        *,
        app: AsgiApp,
        host: str,
        port: int,
        limits: ConnectionLimits = DEFAULT_LIMITS,
    ) -> None:
        self._is_draining = False
        self._socket = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
        config = uvicorn.Config(
            app,
            log_config=None,
            access_log=False,
            lifespan="off",
            # uvicorn accepts any callable that returns a protocol.
            http=partial(  # type: ignore[arg-type]
                LimitedProtocol, limits=limits, is_draining=lambda: self._is_draining
            ),
            ws="none",
            timeout_keep_alive=limits.idle_timeout // MILLISECONDS_PER_SECOND,
        )
        self._server = _EmbeddedServer(config)
        self._task: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        port: int = self._socket.getsockname()[1]
        return port

    @property
    def url(self) -> str:
        """Return the base URL of the server."""
        host = self._socket.getsockname()[0]
        return f"http://{host}:{self.port}"

    async def start(self) -> None:
        """Start the server; return when it accepts connections."""
        serving = self._server.serve(sockets=[self._socket])
        self._task = asyncio.create_task(serving)
        await self._server.accepting.wait()

    def drain(self) -> None:
        """Announce in each further response that its connection will be closed."""
        if self._is_draining:
            return
        self._is_draining = True
        for connection in self._server.server_state.connections:
            if isinstance(connection, LimitedProtocol):
                connection.close_after_response()

    async def stop(self) -> None:
        """Stop accepting connections, complete open requests, then return."""
        self.drain()
        self._server.should_exit = True
        if self._task is not None:
            await self._task
