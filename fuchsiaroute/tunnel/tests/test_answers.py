"""Answers through a tunnel: whole ones arrive, and cut ones never look complete."""

import asyncio

import pytest

from fuchsiaroute.http1 import BrokenResponseError
from fuchsiaroute.tunnel.tests.harness import (
    OK,
    REQUEST,
    Endpoint,
    Peer,
    Serve,
    accept,
    exchange,
    reset,
    wait_until,
)

CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
LARGE = bytes(range(256)) * 20_000


def answer(*parts: bytes, is_closing: bool = False) -> Serve:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await reader.readuntil(b"\r\n\r\n"):
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0.01)
            if is_closing:
                return

    return serve


@pytest.mark.parametrize(
    ("parts", "is_closing", "body", "is_reusable"),
    [
        ((OK + b"Content-Length: 2\r\n\r\nab",), False, b"ab", True),
        ((OK + b"Content-Length: 4\r\n\r\nab", b"cd"), False, b"abcd", True),
        ((CHUNKED, b"2\r\nab\r\n", b"1\r\nc\r\n0\r\n\r\n"), False, b"abc", True),
        ((OK + b"\r\nab", b"cd"), True, b"abcd", False),
        ((OK + b"\r\n" + LARGE,), True, LARGE, False),
        (
            (OK + b"Content-Length: %d\r\n\r\n" % len(LARGE) + LARGE,),
            False,
            LARGE,
            True,
        ),
        ((OK + b"Connection: close\r\nContent-Length: 1\r\n\r\na",), True, b"a", False),
        ((OK + b"Content-Length: 0\r\n\r\n",), False, b"", True),
    ],
    ids=[
        "length",
        "length in parts",
        "chunked",
        "no length",
        "large, no length",
        "large",
        "close",
        "empty",
    ],
)
async def test_whole_answers(
    parts: tuple[bytes, ...], is_closing: bool, body: bytes, is_reusable: bool
) -> None:
    async with (
        Peer() as peer,
        Endpoint(answer(*parts, is_closing=is_closing)) as endpoint,
    ):
        connection = await peer.connect(endpoint)
        assert await exchange(connection) == body
        assert connection.is_open is is_reusable
        connection.abort()


async def test_many_requests_on_one_tunnel() -> None:
    parts = OK + b"Content-Length: 2\r\n\r\nab"
    async with Peer() as peer, Endpoint(answer(parts)) as endpoint:
        connection = await peer.connect(endpoint)
        for _ in range(20):
            assert await exchange(connection) == b"ab"
        assert (connection.request_count, endpoint.connections) == (20, 1)
        assert peer.server.count == 1
        connection.abort()
        await wait_until(lambda: endpoint.open == 0)


HEADS = {
    "length": OK + b"Content-Length: 9\r\n\r\nab",
    "chunked": CHUNKED + b"2\r\nab\r\n",
    "no length": OK + b"\r\nab",
    "head only": OK + b"\r\n",
    "half a head": OK + b"Content-Le",
}


@pytest.mark.parametrize("sent", HEADS.values(), ids=HEADS)
@pytest.mark.parametrize("cut", ["endpoint resets", "peer dies"])
async def test_cut_answer_is_never_complete(sent: bytes, cut: str) -> None:
    """Guards against a lost connection that looks like the end of the answer."""
    is_cut = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(sent)
        await is_cut.wait()
        if cut == "endpoint resets":
            reset(writer)
        else:
            await reader.read()

    async with Peer() as peer, Endpoint(serve) as endpoint:
        connection = await peer.connect(endpoint)
        connection.send(REQUEST, accept)
        await asyncio.sleep(0.1)
        is_cut.set()
        if cut == "peer dies":
            peer.server.close()
        with pytest.raises(BrokenResponseError):
            async with asyncio.timeout(5):
                await connection.read_whole(limit=1_000)
        assert not connection.is_open
        await wait_until(lambda: peer.server.count == 0 and endpoint.open == 0)


@pytest.mark.parametrize(
    "sent",
    [HEADS["length"], HEADS["chunked"], HEADS["half a head"], b""],
    ids=["length", "chunked", "half a head", "nothing"],
)
async def test_answer_that_its_endpoint_ends_early_fails(sent: bytes) -> None:
    async with Peer() as peer, Endpoint(answer(sent, is_closing=True)) as endpoint:
        connection = await peer.connect(endpoint)
        with pytest.raises(BrokenResponseError):
            await exchange(connection)
