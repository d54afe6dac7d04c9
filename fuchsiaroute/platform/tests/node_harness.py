"""Harness: one instance with a store, endpoints and callers, all on loopback."""

import asyncio
import contextvars
import itertools
import os
import socket
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from random import Random
from typing import Any

from fuchsiaroute.clock import BootClock, Clock
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.node._run import Node
from fuchsiaroute.platform import parse_node_settings
from fuchsiaroute.platform.tests.standin import Endpoint, Store, StoreView

HOST = "front.example"
_ROUTE = {"Host": HOST, "TimeoutMs": 3000, "TargetLatencyMs": 400, "Service": "app"}
ROUTES = [
    {
        **_ROUTE,
        "Name": "read",
        "Prefix": "/read/",
        "Kind": "idempotent",
        "MaxAttempts": 3,
    },
    {
        **_ROUTE,
        "Name": "write",
        "Prefix": "/write/",
        "Kind": "non_idempotent",
        "MaxAttempts": 1,
    },
    {
        **_ROUTE,
        "Name": "stream",
        "Prefix": "/stream/",
        "Kind": "streaming",
        "MaxAttempts": 3,
        "Resumable": True,
    },
    {
        **_ROUTE,
        "Name": "once",
        "Prefix": "/once/",
        "Kind": "streaming",
        "MaxAttempts": 3,
    },
    {
        **_ROUTE,
        "Name": "sized",
        "Prefix": "/sized/",
        "Kind": "streaming",
        "MaxAttempts": 3,
        "Resumable": True,
        "Sizes": ["small", "middle", "large"],
    },
    {
        **_ROUTE,
        "Name": "short",
        "Prefix": "/short/",
        "Kind": "idempotent",
        "MaxAttempts": 1,
        "TimeoutMs": 300,
    },
    {
        **_ROUTE,
        "Name": "public",
        "Prefix": "/public/",
        "Kind": "idempotent",
        "Public": True,
    },
]
CONFIGURATION = {
    "Version": 1,
    "Routes": ROUTES,
    "Services": [{"Name": "app", "MaxConnections": 100}],
    "Tenants": [{"Name": "org", "ApiKeys": ["key"], "Priority": 1}],
}

#: Seeds of the processes. With equal ones, two could give the same id to two crashes.
_next_seed = itertools.count(1)


#: Name of the instance whose code runs, for tests that change what one instance sees.
running_instance: contextvars.ContextVar[str] = contextvars.ContextVar(
    "running_instance", default=""
)


@dataclass
class Reply:
    status: int
    headers: dict[bytes, bytes]
    body: bytes
    #: Whether the response is complete by its HTTP framing.
    is_whole: bool

    @property
    def is_signed(self) -> bool:
        return b"x-response-signature" in self.headers

    @property
    def closes(self) -> bool:
        return self.headers.get(b"connection", b"").lower() == b"close"


class Caller:
    """Sends requests over one persistent connection."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_connected(self) -> bool:
        reader = self._reader
        return reader is not None and not reader.at_eof()

    @property
    def local_port(self) -> int | None:
        writer = self._writer
        return None if writer is None else writer.get_extra_info("sockname")[1]

    async def connect(self) -> None:
        self._reader, self._writer = await self._open()

    async def send(
        self,
        path: str,
        *,
        method: str = "POST",
        key: str | None = "key",
        request_id: str = "q1",
        deadline: int | None = 3_000,
        body: bytes = b"body",
        extra: str = "",
    ) -> None:
        if self._writer is None:
            await self.connect()
        head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        head += f"X-Request-Id: {request_id}\r\n{extra}"
        if key is not None:
            head += f"X-Key: {key}\r\n"
        if deadline is not None:
            head += f"X-Deadline-Ms: {deadline}\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        self.write(head.encode() + body)

    def write(self, data: bytes) -> None:
        assert self._writer is not None
        self._writer.write(data)

    async def receive(self) -> Reply:
        assert self._reader is not None
        async with asyncio.timeout(20):
            head = await self._reader.readuntil(b"\r\n\r\n")
            lines = head.split(b"\r\n")
            headers = {
                name.lower(): value
                for name, _, value in (line.partition(b": ") for line in lines[1:-2])
            }
            is_whole, body = True, b""
            try:
                if b"content-length" in headers:
                    size = int(headers[b"content-length"])
                    body = await self._read(size)
                else:
                    while True:
                        size = int(await self._reader.readuntil(b"\r\n"), 16)
                        body += await self._read(size)
                        await self._reader.readexactly(2)
                        if size == 0:
                            break
            except (asyncio.IncompleteReadError, ConnectionError):
                is_whole = False
        return Reply(int(lines[0].split()[1]), headers, body, is_whole)

    async def _open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self._port)

    async def _read(self, size: int) -> bytes:
        assert self._reader is not None
        return await self._reader.readexactly(size)

    async def ask(self, path: str, **options: object) -> Reply:
        await self.send(path, **options)  # type: ignore[arg-type]
        return await self.receive()

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()


class NodeHarness:
    """Starts a store, endpoints and an instance; endpoints are announced first."""

    def __init__(
        self,
        *endpoints: Endpoint,
        configuration: dict[str, Any] | None = CONFIGURATION,
        clock: Clock | None = None,
        grace_s: float = 8,
        name: str = "me",
        store: Store | None = None,
        has_tunnel_port: bool = True,
    ) -> None:
        self.store = store or Store()
        self.name = name
        self.endpoints = endpoints
        self.lines: list[bytes] = []
        self._configuration = configuration
        self._grace_s = grace_s
        self._has_tunnel_port = has_tunnel_port
        self._callers: list[Caller] = []
        self._clock = clock or BootClock()

    async def __aenter__(self) -> "NodeHarness":
        await self.store.listen()
        for endpoint in self.endpoints:
            await endpoint.listen()
            self.store.put("servers", endpoint.id, endpoint.announcement())
        if self._configuration is not None:
            self.store.put("op", "config", self._configuration)
        self.frontend, self.control = free_ports(2)
        peer = free_port_pair()
        last_peer = peer + 1 if self._has_tunnel_port else peer
        self.settings_text = (
            f"NodeName={self.name}\nZone=z1\nIp=127.0.0.1\n"
            f"Listen.Frontend=127.0.0.1:{self.frontend}\n"
            f"Listen.Readiness=127.0.0.1:{self.control}\n"
            f"Listen.Directory=127.0.0.1:{self.control}\n"
            f"PortRange={peer},{last_peer}\n"
            f"Platform.Address=127.0.0.1:{self.store.port}\n"
            f"Bounds.GraceS={self._grace_s}\n"
        )
        settings = parse_node_settings(self.settings_text)
        clock = self._clock
        log = LineLog(clock=clock, instance=self.name, write=self._write)
        random = Random(next(_next_seed))
        self.node = Node(settings, clock=clock, log=log, random=random)
        context = contextvars.copy_context()
        context.run(running_instance.set, self.name)
        self.node_task = asyncio.create_task(self.node.run(), context=context)
        if self._configuration is not None:
            await self.until(lambda: self.node._parts.is_ready())
            await self.until(lambda: len(self.node._parts.pool) >= len(self.endpoints))
        else:
            await self.until(lambda: b"process:started" in b"".join(self.lines))
        return self

    async def __aexit__(self, *details: object) -> None:
        for caller in self._callers:
            caller.close()
        self.node._stop.set()
        self.node_task.cancel()
        await asyncio.gather(self.node_task, return_exceptions=True)
        self.node._parts.gossip.close()
        self.node._parts.tunnels.close()
        for task in self.node._tasks:
            task.cancel()
        for server in self.node._servers:
            server.close()
        for endpoint in self.endpoints:
            endpoint.close()
        self.store.close()

    def caller(self) -> Caller:
        caller = Caller(self.frontend)
        self._callers.append(caller)
        return caller

    async def ask_control(self, path: str) -> Reply:
        caller = Caller(self.control)
        self._callers.append(caller)
        return await caller.ask(path, method="GET", body=b"", key=None)

    async def until(self, condition) -> None:  # type: ignore[no-untyped-def]
        async with asyncio.timeout(20):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    def _write(self, data: bytes) -> int:
        self.lines.append(data)
        return len(data)


@asynccontextmanager
async def cluster(
    count: int, *endpoints: Endpoint, **options: Any
) -> AsyncIterator[list[NodeHarness]]:
    """Start some instances that know each other and all endpoints."""
    async with AsyncExitStack() as stack:
        harnesses = [
            await stack.enter_async_context(
                NodeHarness(*endpoints, name="n0", **options)
            )
        ]
        for number in range(1, count):
            view = StoreView(harnesses[0].store)
            harness = NodeHarness(name=f"n{number}", store=view, **options)
            harnesses.append(await stack.enter_async_context(harness))
        for harness in harnesses:
            parts = harness.node._parts
            await harness.until(
                lambda parts=parts: (
                    len(parts.liveness.alive()) == count - 1
                    and len(parts.pool) == len(endpoints)
                )
            )
        yield harnesses


#: Ports below the range that the system assigns to outgoing connections, since one of
#: these could take a port between its choice and its use. Each test process has a
#: range of 100 ports.
_FIRST_PORT, _PORTS_OF_PROCESS, _PROCESSES = 15_000, 100, 150
_next_port = itertools.count()


def free_port_pair() -> int:
    """Return the first of two consecutive ports."""
    first, second = free_ports(2)
    while second != first + 1:
        first, second = second, free_ports(1)[0]
    return first


def free_ports(count: int) -> list[int]:
    first = _FIRST_PORT + os.getpid() % _PROCESSES * _PORTS_OF_PROCESS
    ports: list[int] = []
    while len(ports) < count:
        port = first + next(_next_port) % _PORTS_OF_PROCESS
        with (
            socket.socket() as probe,
            socket.socket(type=socket.SOCK_DGRAM) as datagram_probe,
        ):
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
                # Instances exchange datagrams on one of the ports.
                datagram_probe.bind(("127.0.0.1", port))
            except OSError:
                # Used by a test in another process, or not released yet.
                continue
        ports.append(port)
    return ports
