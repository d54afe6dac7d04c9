"""Flow control: neither direction makes the peer buffer what is not read."""

import asyncio
import hashlib

import pytest

from fuchsiaroute.http1._socket_options import DEAD_PATH_TIMEOUT
from fuchsiaroute.tunnel.tests.harness import (
    OK,
    REQUEST,
    Endpoint,
    Peer,
    accept,
    exchange,
)

#: Bytes that the peer may buffer for a tunnel: the high water of a write buffer, and
#: one read above it with its frame.
MAX_BUFFERED_BYTES = 64 * 1024 + 256 * 1024 + 100
#: What the sockets of two connections may hold, and the peer and the instance with it.
MAX_IN_TRANSIT_BYTES = 40_000_000
LARGE_BYTES = 200_000_000


class Sampler:
    """Records the largest write buffers of a peer's tunnels."""

    def __init__(self, peer: Peer) -> None:
        self._peer = peer
        self.largest = 0

    async def __aenter__(self) -> "Sampler":
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *details: object) -> None:
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            for tunnel in self._peer.server._context.tunnels:
                for transport in (tunnel._transport, tunnel._endpoint):
                    if transport is not None:
                        size = transport.get_write_buffer_size()
                        self.largest = max(self.largest, size)
            await asyncio.sleep(0)


@pytest.mark.parametrize("has_length", [True, False])
async def test_answer_to_a_reader_that_pauses(has_length: bool) -> None:
    """The pause is longer than the time in which the kernel detects a dead path."""
    block = b"x" * 100_000
    size = LARGE_BYTES // 4
    sent = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        await reader.readuntil(b"\r\n\r\n")
        writer.write(OK + (b"Content-Length: %d\r\n" % size) * has_length + b"\r\n")
        while sent < size:
            writer.write(block)
            sent += len(block)
            await writer.drain()

    async with Peer() as peer, Endpoint(serve) as endpoint, Sampler(peer) as sampler:
        connection = await peer.connect(endpoint)
        connection.send(REQUEST, accept)
        await connection.head()
        await asyncio.sleep((DEAD_PATH_TIMEOUT + 1_500) / 1_000)
        assert sent < MAX_IN_TRANSIT_BYTES
        assert peer.server.active == 1
        received = 0
        async with asyncio.timeout(20):
            while data := await connection.read():
                received += len(data)
        assert received == size
        assert sampler.largest <= MAX_BUFFERED_BYTES


async def test_request_to_an_endpoint_that_reads_late() -> None:
    """The pause is longer than the time in which the kernel detects a dead path."""
    body = bytes(range(256)) * (LARGE_BYTES // 4 // 256)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep((DEAD_PATH_TIMEOUT + 1_500) / 1_000)
        digest = hashlib.sha256(await reader.readexactly(len(body))).hexdigest()
        writer.write(OK + b"Content-Length: 64\r\n\r\n" + digest.encode())
        await reader.readuntil(b"\r\n\r\n")
        writer.write(OK + b"Content-Length: 4\r\n\r\nnext")

    head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body)
    async with Peer() as peer, Endpoint(serve) as endpoint, Sampler(peer) as sampler:
        connection = await peer.connect(endpoint)
        found = await exchange(connection, head + body)
        assert found.decode() == hashlib.sha256(body).hexdigest()
        assert await exchange(connection) == b"next"
        assert sampler.largest <= MAX_BUFFERED_BYTES
        connection.abort()
