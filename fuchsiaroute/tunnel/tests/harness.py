"""A peer with its tunnels, scripted endpoints and connections through both."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from fuchsiaroute.clock import Milliseconds, SystemClock
from fuchsiaroute.http1 import ClientConnection, Headers, connect_protocol
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.tunnel import TunnelServer, open_tunnel

HOST = "127.0.0.1"
OK = b"HTTP/1.1 200 OK\r\n"
REQUEST = b"GET / HTTP/1.1\r\n\r\n"
WITHIN = Milliseconds(2_000)

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def accept(_status: int, _headers: Headers) -> bool:
    return True


def reset(writer: asyncio.StreamWriter) -> None:
    """Close without lingering, which sends a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def wait_until(is_true: Callable[[], bool], seconds: float = 5) -> None:
    async with asyncio.timeout(seconds):
        while not is_true():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


async def exchange(
    connection: ClientConnection, request: bytes = REQUEST, limit: int = 100_000_000
) -> bytes:
    connection.send(request, accept)
    async with asyncio.timeout(20):
        return (await connection.read_whole(limit=limit)).data


class Endpoint:
    """Runs ``serve`` for each connection, and counts those that are open."""

    def __init__(self, serve: Serve) -> None:
        self._serve = serve
        self.connections = 0
        self.open = 0

    async def __aenter__(self) -> "Endpoint":
        self._server = await asyncio.start_server(self._run, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *details: object) -> None:
        self._server.close()

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self.open += 1
        try:
            await self._serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open -= 1
            writer.close()


class Peer:
    """A tunnel server with a log, whose answers can be changed."""

    def __init__(self, **options: Any) -> None:
        self.is_draining = False
        self.is_known = True
        self.lines: list[dict[str, Any]] = []
        clock = SystemClock()
        values = {
            "connect": connect_protocol,
            "is_known": lambda host, port: self.is_known,
            "is_draining": lambda: self.is_draining,
            "max_tunnels": 8,
            "clock": clock,
            "log": LineLog(clock=clock, instance="peer", write=self._keep),
        }
        self.server = TunnelServer(**(values | options))

    async def __aenter__(self) -> "Peer":
        await self.server.open(HOST, 0)
        assert self.server._server is not None
        self.port = self.server._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *details: object) -> None:
        self.server.close()
        await asyncio.sleep(0)

    def events(self) -> list[str]:
        return [line["event"] for line in self.lines]

    def reasons(self) -> list[str]:
        return [line["reason"] for line in self.lines if "reason" in line]

    async def connect(
        self, endpoint: Endpoint, within: Milliseconds = WITHIN
    ) -> ClientConnection:
        return await self.connect_to(endpoint.port, within)

    async def connect_to(
        self, port: int, within: Milliseconds = WITHIN
    ) -> ClientConnection:
        return await open_tunnel(
            HOST, self.port, host=HOST, port=port, clock=SystemClock(), within=within
        )

    def _keep(self, data: bytes) -> int:
        for line in data.splitlines():
            self.lines.append(msgspec.json.decode(line))
        return len(data)
