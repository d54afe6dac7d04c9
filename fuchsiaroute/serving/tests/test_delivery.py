"""Delivery of answers whose connection is closed, by the server or its stop."""

import asyncio
import contextlib
import socket

import pytest

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.serving import ConnectionLimits, HttpServer

LIMITS = ConnectionLimits(write_timeout=Milliseconds(300))
#: Above the buffer sizes below; less than a transport's high-water mark remains unsent.
BODY = b"x" * 60_000
LARGE_BODY = b"x" * 600_000
SMALL_BUFFER_BYTES = 4_096
REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
CLOSING_REQUEST = REQUEST.replace(b"host", b"connection: close\r\nhost")
TIMEOUT_SECONDS = 10.0


class Application:
    """Answers with ``body`` once ``is_released`` is set."""

    def __init__(self, body: bytes = b"done", *, status: int = 200) -> None:
        self.body = body
        self.status = status
        self.is_started = asyncio.Event()
        self.is_released = asyncio.Event()
        self.is_released.set()
        self.requests = 0

    async def __call__(self, scope, receive, send):
        self.requests += 1
        self.is_started.set()
        await self.is_released.wait()
        length = str(len(self.body)).encode()
        headers = [(b"content-length", length)]
        if self.status != 200:
            headers.append((b"connection", b"close"))
        await send(
            {"type": "http.response.start", "status": self.status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": self.body})


@contextlib.asynccontextmanager
async def connected(app, limits=LIMITS):
    """Yield a server with small buffers and a client socket, which is not read."""
    server = HttpServer(app=app, host="127.0.0.1", port=0, limits=limits)
    server._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
    await server.start()
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(client, ("127.0.0.1", server.port))
    try:
        yield server, client
    finally:
        client.close()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await server.stop()


async def receive_all(client, *, pause_s=0.0):
    loop = asyncio.get_running_loop()
    answer = b""
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while data := await loop.sock_recv(client, 16_384):
            answer += data
            await asyncio.sleep(pause_s)
    return answer


async def send(client, data):
    await asyncio.get_running_loop().sock_sendall(client, data)


async def test_stop_ends_although_a_caller_reads_nothing():
    """The rest of a complete answer was below the size at which timers started."""
    async with connected(Application(BODY)) as (server, client):
        await send(client, REQUEST)
        await asyncio.sleep(0.1)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await server.stop()


async def test_stop_waits_for_a_caller_that_reads_slowly():
    """The rest of a complete answer is not sent when the stop begins."""
    async with connected(Application(BODY)) as (server, client):
        await send(client, REQUEST)
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(server.stop())
        answer = await receive_all(client, pause_s=0.05)
        await stopping
    assert answer.endswith(BODY)


async def test_caller_that_reads_slowly_gets_the_whole_answer():
    """Reading a large answer takes longer than the write timeout."""
    async with connected(Application(LARGE_BODY)) as (_, client):
        await send(client, CLOSING_REQUEST)
        answer = await receive_all(client, pause_s=0.02)
    assert answer.endswith(LARGE_BODY)


async def test_answer_before_the_end_of_the_body_reaches_the_caller():
    """A reset for the unread rest of the body discards the answer on its way."""
    head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 400000\r\n\r\n"
    async with connected(Application(status=413)) as (_, client):
        await send(client, head)
        for _ in range(40):
            await send(client, b"x" * 10_000)
            await asyncio.sleep(0.002)
        answer = await receive_all(client)
    assert answer.startswith(b"HTTP/1.1 413")
    assert answer.endswith(b"done")


@pytest.mark.parametrize("is_sent_after_stop", [False, True])
@pytest.mark.parametrize("last", [REQUEST, CLOSING_REQUEST])
async def test_pipelined_requests_are_answered_by_a_stop(is_sent_after_stop, last):
    """A request was read behind one whose answer has not begun, and then dropped."""
    app = Application()
    app.is_released.clear()
    async with connected(app) as (server, client):
        await send(client, REQUEST)
        await app.is_started.wait()
        if not is_sent_after_stop:
            await send(client, last)
            await asyncio.sleep(0.05)
        stopping = asyncio.create_task(server.stop())
        await asyncio.sleep(0.3)
        if is_sent_after_stop:
            await send(client, last)
            await asyncio.sleep(0.05)
        app.is_released.set()
        answer = await receive_all(client)
        await stopping
    assert answer.count(b"HTTP/1.1 200") == 2
    assert answer.count(b"connection: close") == 1
    assert app.requests == 2


async def test_draining_server_announces_the_end_of_a_connection():
    """A request crossed the close of a connection that the caller held to be open."""
    async with connected(Application()) as (server, client):
        await send(client, REQUEST)
        first = await asyncio.get_running_loop().sock_recv(client, 65_536)
        server.drain()
        await send(client, REQUEST)
        second = await receive_all(client)
    assert b"connection: close" not in first
    assert b"connection: close" in second
    assert second.endswith(b"done")


@pytest.mark.parametrize("is_stopping", [False, True])
async def test_connection_without_announced_close_stays_open_for_a_request(is_stopping):
    """A connection was closed after a response whose head said that it stays open."""
    may_end = asyncio.Event()

    async def respond(scope, receive, send):
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": b"part", "more_body": True})
        await may_end.wait()
        await send({"type": "http.response.body", "body": b"end"})

    async with connected(respond) as (server, client):
        await send(client, REQUEST)
        await asyncio.sleep(0.05)
        server.drain()
        stopping = asyncio.create_task(server.stop()) if is_stopping else None
        await asyncio.sleep(0.3)
        may_end.set()
        first = b""
        while not first.endswith(b"0\r\n\r\n"):
            first += await asyncio.get_running_loop().sock_recv(client, 65_536)
        await send(client, REQUEST)
        second = await receive_all(client)
        if stopping is not None:
            await stopping
    assert b"connection: close" not in first
    assert b"connection: close" in second
    assert second.endswith(b"0\r\n\r\n")
