"""
Clients that send more than they may, or never read, beside an ordinary caller.

The tests guard against a process that runs out of memory or descriptors, or that is
busy with such clients for so long that it no longer answers others. They check nothing
that depends on the speed of the machine.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, suppress
from itertools import cycle, repeat
from pathlib import Path

import pytest

from fuchsiaroute.platform.tests.node_harness import HOST, Caller
from fuchsiaroute.platform.tests.node_process import PATIENCE_SECONDS, NodeProcess

CLIENTS = 12
BYTES_OF_CLIENT = 1_500_000
MEMORY_MB = 64
MAX_DESCRIPTORS = 160
#: Connections of the crowd that opens more than there are descriptors.
CONNECTIONS = 320
_WRITE_BYTES = 65_536

_HEAD = f"POST /read/x HTTP/1.1\r\nHost: {HOST}\r\nX-Key: key\r\n".encode()
_CHUNKED = _HEAD + b"X-Request-Id: crowd\r\nTransfer-Encoding: chunked\r\n\r\n"
_UNKNOWN = f"GET /nowhere HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
_STATUS = b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n"
_METRICS = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"


def chunks(size: int) -> bytes:
    return b"%x\r\n%s\r\n" % (size, b"a" * size)


def body_in_chunks(size: int) -> Iterator[bytes]:
    """Yield a body that never ends; the client stops in the midst of it."""
    yield _CHUNKED
    yield from repeat(chunks(size) * max(_WRITE_BYTES // (size + 6), 1))


def pipelined(request: bytes) -> Iterator[bytes]:
    return repeat(request * (_WRITE_BYTES // len(request)))


def endless_head() -> Iterator[bytes]:
    yield _HEAD
    yield from repeat(b"X-More: " + b"a" * 1_000 + b"\r\n")


def endless_field() -> Iterator[bytes]:
    yield _HEAD + b"X-More: "
    yield from repeat(b"a" * _WRITE_BYTES)


def endless_target() -> Iterator[bytes]:
    yield b"GET /"
    yield from repeat(b"a" * _WRITE_BYTES)


def empty_lines() -> Iterator[bytes]:
    return repeat(b"\r\n" * (_WRITE_BYTES // 2))


def empty_lines_after_a_request() -> Iterator[bytes]:
    yield _UNKNOWN
    yield from empty_lines()


def trailers() -> Iterator[bytes]:
    yield _CHUNKED + chunks(4) + b"0\r\n"
    yield from repeat(b"X-More: " + b"a" * 1_000 + b"\r\n")


@asynccontextmanager
async def crowd(port: int, inputs: list[Iterator[bytes]]) -> AsyncIterator[None]:
    """Send each input over a connection that stays open; no answers are read."""
    writers: list[asyncio.StreamWriter] = []

    async def send(data: Iterator[bytes]) -> None:
        # A client that is refused or cut off stops there.
        with suppress(OSError):
            _, writer = await asyncio.open_connection("127.0.0.1", port, limit=1)
            writers.append(writer)
            left = BYTES_OF_CLIENT
            while left > 0:
                part = next(data)[:left]
                left -= len(part)
                writer.write(part)
                # One whose bytes are no longer read waits for ever.
                async with asyncio.timeout(5):
                    await writer.drain()

    async with asyncio.timeout(PATIENCE_SECONDS):
        await asyncio.gather(*(send(item) for item in inputs), return_exceptions=True)
    try:
        yield
    finally:
        for writer in writers:
            writer.transport.abort()


CROWDS: dict[str, tuple[str, tuple[Callable[[], Iterator[bytes]], ...]]] = {
    "tiny chunks": ("frontend", (lambda: body_in_chunks(2),)),
    "chunks": ("frontend", (lambda: body_in_chunks(1_000),)),
    "large chunks": ("frontend", (lambda: body_in_chunks(65_536),)),
    "requests at an unknown path": ("frontend", (lambda: pipelined(_UNKNOWN),)),
    "requests to the control port": ("control", (lambda: pipelined(_STATUS),)),
    "requests for metrics": ("metrics", (lambda: pipelined(_METRICS),)),
    "endless head": ("frontend", (endless_head,)),
    "endless field": ("frontend", (endless_field,)),
    "endless target": ("frontend", (endless_target,)),
    "empty lines": ("frontend", (empty_lines,)),
    "empty lines after a request": ("frontend", (empty_lines_after_a_request,)),
    "trailers": ("frontend", (trailers,)),
    "mixed": (
        "frontend",
        (
            lambda: body_in_chunks(2),
            lambda: pipelined(_UNKNOWN),
            lambda: body_in_chunks(65_536),
            endless_head,
        ),
    ),
}


@pytest.mark.parametrize("name", CROWDS)
async def test_process_and_ordinary_caller_beside_a_crowd(
    name: str, tmp_path: Path
) -> None:
    port, kinds = CROWDS[name]
    inputs = [kind() for kind, _ in zip(cycle(kinds), range(CLIENTS), strict=False)]
    async with NodeProcess(
        tmp_path, memory_mb=MEMORY_MB, max_descriptors=MAX_DESCRIPTORS
    ) as node:
        async with crowd(getattr(node, port), inputs):
            reply = await node.ask("beside")
            assert node.is_alive
            assert node.peak_memory_mb < MEMORY_MB
            assert node.descriptors < MAX_DESCRIPTORS
            assert (reply.status, reply.is_whole) == (200, True)
        assert (await node.ask("after")).status == 200
        assert node.peak_memory_mb < MEMORY_MB


@pytest.mark.parametrize("first", [b"", b"GET /read/x HTT"])
async def test_more_connections_than_descriptors(first: bytes, tmp_path: Path) -> None:
    """Guards against a process that has no descriptor left for endpoints and store."""
    async with NodeProcess(
        tmp_path, memory_mb=MEMORY_MB, max_descriptors=MAX_DESCRIPTORS
    ) as node:
        writers: list[asyncio.StreamWriter] = []
        try:
            for _ in range(CONNECTIONS):
                with suppress(OSError):
                    _, writer = await asyncio.open_connection(
                        "127.0.0.1", node.frontend
                    )
                    writers.append(writer)
                    writer.write(first)
            reply = await node.ask("beside")
            assert node.is_alive
            assert node.descriptors < MAX_DESCRIPTORS
            assert reply.status == 200
        finally:
            for writer in writers:
                writer.transport.abort()


@pytest.mark.parametrize("size", [1, 2, 65_536])
async def test_single_request_in_chunks_is_served(size: int, tmp_path: Path) -> None:
    """Guards against limits that a single proper request meets."""
    async with NodeProcess(
        tmp_path, memory_mb=MEMORY_MB, max_descriptors=MAX_DESCRIPTORS
    ) as node:
        caller = Caller(node.frontend)
        await caller.connect()
        caller.write(_CHUNKED + chunks(size) * (400_000 // size) + b"0\r\n\r\n")
        async with asyncio.timeout(PATIENCE_SECONDS):
            reply = await caller.receive()
        caller.close()
        assert reply.status == 200
