"""The end of tunnels: callers that leave, idle ones, and peers that shut down."""

import asyncio
import sys

import pytest

from fuchsiaroute.clock import Milliseconds, SystemClock
from fuchsiaroute.http1 import BrokenResponseError, ConnectError
from fuchsiaroute.tunnel import open_tunnel
from fuchsiaroute.tunnel._messages import FORMAT, OpenRequest, encode_message
from fuchsiaroute.tunnel.tests.harness import (
    HOST,
    OK,
    REQUEST,
    WITHIN,
    Endpoint,
    Peer,
    Serve,
    accept,
    exchange,
    wait_until,
)

#: Time within which an endpoint learns that the caller has left.
PROMPT_SECONDS = 0.5
LARGE_BYTES = 200_000_000


async def answer_always(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while await reader.readuntil(b"\r\n\r\n"):
        writer.write(OK + b"Content-Length: 2\r\n\r\nab")


async def start_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Read the request, and nothing but the end of the connection then."""
    await reader.readuntil(b"\r\n\r\n")
    await reader.read()


async def stream_slowly(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b"\r\n\r\n")
    writer.write(OK + b"\r\n")
    while not writer.is_closing():
        writer.write(b"event")
        await writer.drain()
        await asyncio.sleep(0.02)


async def stream_fast(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b"\r\n\r\n")
    writer.write(OK + b"\r\n")
    while not writer.is_closing():
        writer.write(b"x" * 100_000)
        await writer.drain()


@pytest.mark.parametrize(
    "serve",
    [start_request, stream_slowly, stream_fast],
    ids=["before the answer", "during a stream", "while the instance does not read"],
)
async def test_instance_that_leaves_ends_the_run(serve: Serve) -> None:
    async with Peer() as peer, Endpoint(serve) as endpoint:
        connection = await peer.connect(endpoint)
        connection.send(REQUEST, accept)
        await asyncio.sleep(0.3)
        assert (endpoint.open, peer.server.active) == (1, 1)
        connection.abort()
        await wait_until(lambda: endpoint.open == 0, PROMPT_SECONDS)
        await wait_until(lambda: peer.server.count == 0, PROMPT_SECONDS)


async def test_instance_that_leaves_while_the_endpoint_does_not_read() -> None:
    """Guards against an end of the connection behind bytes that are not read."""
    is_gone = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.transport.pause_reading()
        await is_gone.wait()

    body = b"x" * LARGE_BYTES
    head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body)
    async with Peer() as peer, Endpoint(serve) as endpoint:
        connection = await peer.connect(endpoint)
        connection.send(head + body, accept)
        tunnel = next(iter(peer.server._context.tunnels))
        await wait_until(lambda: tunnel._is_input_paused)
        await asyncio.sleep(0.3)
        connection.abort()
        await wait_until(lambda: peer.server.count == 0, PROMPT_SECONDS)
        assert tunnel._endpoint is not None and tunnel._endpoint.is_closing()
        is_gone.set()


async def test_end_of_input_ends_the_run_before_unsent_bytes_are_read() -> None:
    """Guards against a close that waits until the instance has read the answer."""
    async with Peer() as peer, Endpoint(stream_fast) as endpoint:
        reader, writer = await asyncio.open_connection(HOST, peer.port)
        writer.write(
            encode_message(
                OpenRequest(format=FORMAT, host=HOST, port=endpoint.port, timeout=1_000)
            )
        )
        await wait_until(lambda: endpoint.open == 1)
        await reader.read(1)
        writer.transport.pause_reading()
        writer.write(REQUEST)
        tunnel = next(iter(peer.server._context.tunnels))
        await wait_until(lambda: tunnel._transport.get_write_buffer_size() > 0)
        await asyncio.sleep(0.2)
        writer.write_eof()
        await wait_until(lambda: endpoint.open == 0, PROMPT_SECONDS)
        await wait_until(lambda: peer.server.count == 0, PROMPT_SECONDS)
        writer.transport.abort()


async def test_idle_tunnel_is_closed() -> None:
    async with (
        Peer(idle_timeout=Milliseconds(400)) as peer,
        Endpoint(answer_always) as endpoint,
    ):
        connection = await peer.connect(endpoint)
        for _ in range(4):
            await asyncio.sleep(0.2)
            assert await exchange(connection) == b"ab"
        await wait_until(lambda: not connection.is_open, 2)
        await wait_until(lambda: endpoint.open == 0 and peer.server.count == 0)
        assert peer.reasons() == ["idle"]


async def test_tunnel_is_active_during_an_exchange() -> None:
    may_answer = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await may_answer.wait()
        writer.write(OK + b"Content-Length: 2\r\n\r\nab")
        await reader.read()

    async with Peer() as peer, Endpoint(serve) as endpoint:
        connection = await peer.connect(endpoint)
        connection.send(REQUEST, accept)
        await asyncio.sleep(1.2)
        assert peer.server.active == 1
        may_answer.set()
        assert (await connection.read_whole(limit=10)).data == b"ab"
        await wait_until(lambda: peer.server.active == 0, 2)
        assert peer.server.count == 1
        connection.abort()


async def test_leaving_between_exchanges() -> None:
    """An idle tunnel is closed, so that no request crosses the exit of the peer."""

    async with Peer() as peer, Endpoint(answer_always) as endpoint:
        used, unused = [await peer.connect(endpoint) for _ in range(2)]
        assert await exchange(used) == b"ab"
        peer.server.announce_leaving()
        peer.server.announce_leaving()
        await wait_until(lambda: not (used.is_open or unused.is_open), PROMPT_SECONDS)
        await wait_until(lambda: peer.server.count == 0, PROMPT_SECONDS)
        with pytest.raises(ConnectError):
            used.send(REQUEST, accept)


@pytest.mark.parametrize("has_length", [True, False])
@pytest.mark.parametrize("has_begun", [True, False])
async def test_leaving_during_an_exchange(has_length: bool, has_begun: bool) -> None:
    may_answer = asyncio.Event()
    head = OK + b"Content-Length: 4\r\n" * has_length + b"\r\n"

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if has_begun:
            writer.write(head + b"ab")
        await may_answer.wait()
        writer.write(b"cd" if has_begun else head + b"abcd")
        if has_length:
            await reader.read()

    async with Peer() as peer, Endpoint(serve) as endpoint:
        connection = await peer.connect(endpoint)
        connection.send(REQUEST, accept)
        await asyncio.sleep(0.1)
        peer.is_draining = True
        peer.server.announce_leaving()
        peer.server.announce_leaving()
        await asyncio.sleep(1.2)
        assert peer.server.active == 1
        may_answer.set()
        async with asyncio.timeout(2):
            found = await connection.read_whole(limit=10)
        assert found.data == b"abcd"
        assert not connection.is_open
        await wait_until(lambda: peer.server.count == 0, PROMPT_SECONDS)


async def test_request_that_crosses_the_leaving_is_answered() -> None:
    """The instance sends it before it has read that the peer leaves."""

    async with Peer() as peer, Endpoint(answer_always) as endpoint:
        connection = await peer.connect(endpoint)
        peer.server.announce_leaving()
        assert connection.is_open
        assert await exchange(connection) == b"ab"
        assert not connection.is_open


#: A peer in a process of its own, which prints its port.
PEER_PROCESS = """
import asyncio
from fuchsiaroute.tunnel.tests.harness import Peer

async def run():
    async with Peer() as peer:
        print(peer.port, flush=True)
        await asyncio.sleep(60)

asyncio.run(run())
"""


async def test_killed_peer_fails_an_answer_without_a_length() -> None:
    """The kernel closes the sockets of a killed process as if it had ended them."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", PEER_PROCESS, stdout=asyncio.subprocess.PIPE
    )
    assert process.stdout is not None
    port = int(await process.stdout.readline())
    async with Endpoint(stream_slowly) as endpoint:
        connection = await open_tunnel(
            HOST,
            port,
            host=HOST,
            port=endpoint.port,
            clock=SystemClock(),
            within=WITHIN,
        )
        connection.send(REQUEST, accept)
        assert await connection.read()
        process.kill()
        with pytest.raises(BrokenResponseError):
            async with asyncio.timeout(2):
                while await connection.read():
                    pass
        await process.wait()
        await wait_until(lambda: endpoint.open == 0, PROMPT_SECONDS)
