"""Peers that send anything: frames without end, and cut ones."""

import asyncio

import pytest

from fuchsiaroute.clock import SystemClock
from fuchsiaroute.http1 import BrokenResponseError, ClientConnection
from fuchsiaroute.http1._client import MAX_OVERHEAD_BYTES
from fuchsiaroute.tunnel import open_tunnel
from fuchsiaroute.tunnel._frames import Frame, FrameKind, encode_frame
from fuchsiaroute.tunnel._messages import FORMAT, OpenReply, OpenStatus, encode_message
from fuchsiaroute.tunnel.tests.harness import (
    HOST,
    OK,
    REQUEST,
    WITHIN,
    Endpoint,
    accept,
    exchange,
    wait_until,
)

OPENED = encode_message(OpenReply(format=FORMAT, status=OpenStatus.OPENED))
LEAVING = encode_frame(Frame(FrameKind.LEAVING))
END = encode_frame(Frame(FrameKind.END))
#: Bytes that frames without end may make an instance receive. The sockets of both
#: sides buffer some more.
MAX_ENDLESS_BYTES = 16_000_000


def framed(data: bytes) -> bytes:
    return encode_frame(Frame(FrameKind.DATA, data))


async def connect_to_script(script: Endpoint) -> ClientConnection:
    return await open_tunnel(
        HOST, script.port, host=HOST, port=1, clock=SystemClock(), within=WITHIN
    )


@pytest.mark.parametrize(
    ("first", "piece"),
    [
        (b"", framed(b"")),
        (b"", LEAVING),
        (b"", END),
        (END, framed(b"a")),
        (b"", framed(b"a" * 10_000)),
        (framed(OK + b"\r\n"), framed(b"a" * 10_000)),
        (framed(OK + b"A: "), framed(b"a")),
        (b"", b"\xff" * 1_000),
    ],
    ids=[
        "empty",
        "leaving",
        "end",
        "after the end",
        "no response",
        "body",
        "small",
        "garbage",
    ],
)
async def test_endless_frames_end_soon(first: bytes, piece: bytes) -> None:
    """Guards against a faulty peer whose frames fill the memory."""
    sent = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        await reader.read(1_000)
        writer.write(OPENED)
        await reader.read(1_000)
        writer.write(first)
        while not writer.is_closing():
            writer.write(piece * 10)
            sent += len(piece) * 10
            await writer.drain()
            await asyncio.sleep(0)

    async with Endpoint(serve) as script:
        connection = await connect_to_script(script)
        with pytest.raises(BrokenResponseError):
            await exchange(connection, limit=1_000)
        connection.abort()
        assert sent < MAX_ENDLESS_BYTES
        await wait_until(lambda: script.open == 0)


@pytest.mark.parametrize(
    ("frames", "body"),
    [
        (framed(OK + b"\r\nab") + END, b"ab"),
        (framed(OK + b"\r\nab") + LEAVING + framed(b"cd") + END, b"abcd"),
        (framed(OK + b"\r\nab") + framed(b"cd"), None),
        (framed(OK + b"\r\nabcd")[:-1], None),
        (framed(OK + b"\r\nab") + END[:-1], None),
        (framed(OK + b"\r\nab") + LEAVING, None),
        (framed(OK + b"Content-Length: 3\r\n\r\nab") + END, None),
        (framed(OK + b"Content-Length: 2\r\n\r\nab"), b"ab"),
        (END, None),
        (b"", None),
    ],
)
@pytest.mark.parametrize("is_slow", [False, True], ids=["at once", "byte by byte"])
async def test_answer_without_length_needs_its_end(
    frames: bytes, body: bytes | None, is_slow: bool
) -> None:
    """``body`` is None for answers that must not look complete."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(1_000)
        writer.write(OPENED)
        await reader.read(1_000)
        step = 1 if is_slow else len(frames) or 1
        for start in range(0, len(frames), step):
            writer.write(frames[start : start + step])
            await asyncio.sleep(0.001)

    async with Endpoint(serve) as script:
        connection = await connect_to_script(script)
        if body is None:
            with pytest.raises(BrokenResponseError):
                await exchange(connection)
        else:
            assert await exchange(connection) == body
        await wait_until(lambda: not connection.is_open)


async def test_end_after_a_rejected_response_does_not_complete_it() -> None:
    """Guards against frames delivered after the connection was aborted."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(1_000)
        writer.write(OPENED)
        await reader.read()

    head = OK + b"A: " + b"x" * MAX_OVERHEAD_BYTES + b"\r\n\r\n"
    async with Endpoint(serve) as script:
        connection = await connect_to_script(script)
        connection.send(REQUEST, accept)
        tunnel = connection._transport._transport.get_protocol()
        tunnel.data_received(framed(head + b"ab") + END)
        with pytest.raises(BrokenResponseError):
            await connection.read_whole(limit=10)
        await wait_until(lambda: script.open == 0)
