"""The opening of tunnels: what the instance learns of a failure, and the limits."""

import asyncio
import contextlib
import struct
from collections.abc import Callable

import pytest

from fuchsiaroute.clock import Milliseconds, SystemClock
from fuchsiaroute.http1 import ConnectError, NobodyListensError
from fuchsiaroute.tunnel import (
    PathMissingError,
    PeerUnavailableError,
    open_tunnel,
)
from fuchsiaroute.tunnel._messages import (
    FORMAT,
    MAX_MESSAGE_BYTES,
    OpenReply,
    OpenRequest,
    OpenStatus,
    encode_message,
)
from fuchsiaroute.tunnel._tunnel import MAX_UNUSED_CONNECTIONS
from fuchsiaroute.tunnel.tests.harness import (
    HOST,
    OK,
    Endpoint,
    Peer,
    exchange,
    wait_until,
)


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while await reader.readuntil(b"\r\n\r\n"):
        writer.write(OK + b"Content-Length: 2\r\n\r\nab")


async def never(*_: object) -> asyncio.Protocol:
    raise NobodyListensError("the peer tried to connect")


async def hang(
    _host: str,
    _port: int,
    _create: Callable[[], asyncio.Protocol],
    within: Milliseconds,
) -> asyncio.Protocol:
    await asyncio.sleep(within / 1_000)
    raise ConnectError("timed out")


async def hang_longer(*_: object) -> asyncio.Protocol:
    await asyncio.sleep(60)
    raise AssertionError("not reached")


async def refuse(*_: object) -> asyncio.Protocol:
    raise NobodyListensError("refused")


async def fail(*_: object) -> asyncio.Protocol:
    raise ValueError("a fault")


def _drain(peer: Peer) -> None:
    peer.is_draining = True


def _forget(peer: Peer) -> None:
    peer.is_known = False


def _nothing(_: Peer) -> None:
    pass


@pytest.mark.parametrize(
    ("options", "prepare", "error", "reason"),
    [
        ({"connect": refuse}, _nothing, NobodyListensError, "refused: refused"),
        ({"connect": hang}, _nothing, PathMissingError, "refused: timed out"),
        (
            {"connect": hang_longer},
            _nothing,
            PeerUnavailableError,
            "the instance closed it",
        ),
        (
            {"connect": fail},
            _nothing,
            PathMissingError,
            "refused: ValueError('a fault')",
        ),
        ({"connect": never}, _forget, PathMissingError, "refused: unknown-endpoint"),
        ({"connect": never}, _drain, PeerUnavailableError, "refused: draining"),
        (
            {"connect": never, "max_tunnels": 0},
            _nothing,
            PeerUnavailableError,
            "refused: limit",
        ),
    ],
    ids=["refused", "hangs", "peer hangs", "fault", "unknown", "draining", "limit"],
)
async def test_failures_to_open(
    options: dict[str, object],
    prepare: Callable[[Peer], None],
    error: type[ConnectError],
    reason: str,
) -> None:
    loop = asyncio.get_running_loop()
    async with Peer(**options) as peer:
        prepare(peer)
        started = loop.time()
        with pytest.raises(ConnectError) as found:
            await peer.connect_to(1, Milliseconds(400))
        assert found.type is error
        assert loop.time() - started < 1
        await wait_until(lambda: not peer.server._context.tunnels)
        assert peer.events() == ["tunnel:closed"]
        assert peer.reasons() == [reason]


async def test_endpoint_that_does_not_listen() -> None:
    async with Endpoint(serve) as endpoint:
        pass
    async with Peer() as peer:
        with pytest.raises(NobodyListensError):
            await peer.connect(endpoint)


async def test_peer_that_does_not_listen_is_not_taken_for_the_endpoint() -> None:
    """A refused connection to the peer said that no process serves the endpoint."""
    async with Peer() as peer:
        pass
    with pytest.raises(PeerUnavailableError):
        await peer.connect_to(1)


@pytest.mark.parametrize("sent", [None, b"", b"\x00\x00"])
async def test_peer_that_does_not_reply(sent: bytes | None) -> None:
    """``None`` closes the connection."""

    async def silent(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if sent is not None:
            writer.write(sent)
            await reader.read(1_000)
            await reader.read()

    async with Endpoint(silent) as peer:
        loop = asyncio.get_running_loop()
        started = loop.time()
        with pytest.raises(PeerUnavailableError):
            await open_tunnel(
                HOST,
                peer.port,
                host=HOST,
                port=1,
                clock=SystemClock(),
                within=Milliseconds(200),
            )
        assert loop.time() - started < 1
        await wait_until(lambda: peer.open == 0)


OPENED = encode_message(OpenReply(format=FORMAT, status=OpenStatus.OPENED))
REFUSED = encode_message(OpenReply(format=FORMAT, status=OpenStatus.REFUSED))


@pytest.mark.parametrize(
    "sent",
    [
        b"HTTP/1.1 400 Bad Request\r\n\r\n",
        b"\xff" * 100,
        struct.pack("!I", 3) + b"abc",
        struct.pack("!I", 0),
        encode_message(OpenReply(format=FORMAT + 1, status=OpenStatus.OPENED)),
        REFUSED + b"x",
        OPENED + b"\x09",
        OPENED + b"\x09\x00\x00\x00\x00",
    ],
)
async def test_malformed_reply(sent: bytes) -> None:
    async def reply(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(1_000)
        writer.write(sent)
        await reader.read()

    async with Endpoint(reply) as peer:
        try:
            connection = await open_tunnel(
                HOST,
                peer.port,
                host=HOST,
                port=1,
                clock=SystemClock(),
                within=Milliseconds(500),
            )
        except PeerUnavailableError:
            assert not sent.startswith(OPENED)
        else:
            # A part of a frame is no error until the rest has come.
            assert connection.is_open is (sent == OPENED + b"\x09")
            connection.abort()
        await wait_until(lambda: peer.open == 0)


def _request(**values: object) -> bytes:
    fields = {"format": FORMAT, "host": HOST, "port": 1, "timeout": 100} | values
    return encode_message(OpenRequest(**fields))  # type: ignore[arg-type]


MALFORMED_REQUESTS = {
    "http": b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    "garbage": bytes(range(256)),
    "empty": struct.pack("!I", 0),
    "oversized": struct.pack("!I", MAX_MESSAGE_BYTES + 1),
    "no array": struct.pack("!I", 1) + b"\xc0",
    "short array": struct.pack("!I", 2) + b"\x91\x01",
    "bytes after the message": struct.pack("!I", 2) + b"\x01\x01",
    "other format": _request(format=FORMAT + 1),
    "no host": _request(host=""),
    "long host": _request(host="a" * 300),
    "port 0": _request(port=0),
    "port too high": _request(port=70_000),
    "no time": _request(timeout=0),
    "long time": _request(timeout=10**9),
    "bytes before the reply": _request() + b"GET / HTTP/1.1\r\n\r\n",
}


@pytest.mark.parametrize("sent", MALFORMED_REQUESTS.values(), ids=MALFORMED_REQUESTS)
@pytest.mark.parametrize("is_slow", [False, True], ids=["at once", "byte by byte"])
async def test_malformed_request_closes_the_connection(
    sent: bytes, is_slow: bool
) -> None:
    async with Peer(connect=hang_longer) as peer:
        reader, writer = await asyncio.open_connection(HOST, peer.port)
        async with asyncio.timeout(2):
            pieces = [sent[i : i + 1] for i in range(len(sent))] if is_slow else [sent]
            for piece in pieces:
                writer.write(piece)
                await asyncio.sleep(0)
            with contextlib.suppress(ConnectionResetError):
                assert await reader.read() == b""
        writer.close()
        await wait_until(lambda: not peer.server._context.tunnels)
        assert peer.events() == ["tunnel:malformed", "tunnel:closed"]


@pytest.mark.parametrize("sent", [b"", b"\x00", _request()[:-1]])
async def test_request_that_does_not_come(sent: bytes) -> None:
    async with Peer(request_timeout=Milliseconds(200)) as peer:
        reader, writer = await asyncio.open_connection(HOST, peer.port)
        writer.write(sent)
        async with asyncio.timeout(2):
            assert await reader.read() == b""
        writer.close()
        assert peer.reasons() == ["no request in time"]


async def test_connections_without_a_request_are_limited() -> None:
    async with Peer(max_tunnels=2, request_timeout=Milliseconds(60_000)) as peer:
        writers = []
        for _ in range(MAX_UNUSED_CONNECTIONS + 10):
            _, writer = await asyncio.open_connection(HOST, peer.port)
            writers.append(writer)
        await wait_until(lambda: "too many connections" in peer.reasons())
        await wait_until(
            lambda: len(peer.server._context.tunnels) <= MAX_UNUSED_CONNECTIONS + 2
        )
        assert peer.server.count == 0
        for writer in writers:
            writer.close()


async def test_limit_of_tunnels_counts_those_that_are_open() -> None:
    async with Peer(max_tunnels=2) as peer, Endpoint(serve) as endpoint:
        first, second = [await peer.connect(endpoint) for _ in range(2)]
        with pytest.raises(PeerUnavailableError):
            await peer.connect(endpoint)
        assert await exchange(first) == b"ab"
        second.abort()
        await wait_until(lambda: peer.server.count == 1)
        third = await peer.connect(endpoint)
        assert await exchange(third) == b"ab"
        first.abort()
        third.abort()


async def test_drain_that_starts_while_the_peer_connects() -> None:
    async with Endpoint(serve) as endpoint:

        async def connect_late(
            host: str,
            port: int,
            create: Callable[[], asyncio.Protocol],
            within: Milliseconds,
        ) -> asyncio.Protocol:
            peer.is_draining = True
            loop = asyncio.get_running_loop()
            return (await loop.create_connection(create, host, port))[1]

        async with Peer(connect=connect_late) as peer:
            with pytest.raises(PeerUnavailableError):
                await peer.connect(endpoint)
            await wait_until(lambda: endpoint.open == 0 and peer.server.count == 0)


async def test_cancelled_opening_ends_the_connecting_of_the_peer() -> None:
    ended = asyncio.Event()

    async def connect(*_: object) -> asyncio.Protocol:
        try:
            await asyncio.sleep(60)
        finally:
            ended.set()
        raise AssertionError("not reached")

    async with Peer(connect=connect) as peer:
        opening = asyncio.create_task(peer.connect_to(1))
        await wait_until(lambda: peer.server.count == 1)
        assert peer.server.active == 1
        opening.cancel()
        async with asyncio.timeout(0.5):
            await ended.wait()
        assert peer.server.count == 0


async def test_endpoint_that_speaks_first_closes_the_connection() -> None:
    async def greet(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"220 ready\r\n")
        await reader.read()

    async with Peer() as peer, Endpoint(greet) as endpoint:
        connection = await peer.connect(endpoint)
        await wait_until(lambda: not connection.is_open)
        await wait_until(lambda: endpoint.open == 0)
