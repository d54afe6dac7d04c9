"""Server connections: rejected input, pipelining, timeouts and cancellation."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from fuchsiaroute.clock import Milliseconds, SystemClock
from fuchsiaroute.http1 import (
    InboundRequest,
    MemoryBudget,
    Responder,
    ServerConnection,
    ServerLimits,
)

LIMITS = ServerLimits(
    header_bytes=400,
    body_bytes=64,
    header_timeout=Milliseconds(600),
    idle_timeout=Milliseconds(60_000),
)
HOST = b"Host: x\r\n"
Handler = Callable[[InboundRequest, Responder], Awaitable[None]]


class Server:
    """A listening server that records the requests passed to its handler."""

    def __init__(self, handler: Handler | None = None) -> None:
        self.is_draining = False
        self.requests: list[InboundRequest] = []
        self.cancelled = 0
        self._handler = handler or self._echo
        self._open: set[ServerConnection] = set()
        self.budget = MemoryBudget(limit=40_000, clock=SystemClock())

    async def __aenter__(self) -> "Server":
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(
                clock=SystemClock(),
                handler=self._handle,
                limits=lambda: LIMITS,
                budget=self.budget,
                open_connections=self._open,
                is_draining=lambda: self.is_draining,
            ),
            "127.0.0.1",
            0,
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *details: object) -> None:
        self._server.close()

    async def exchange(self, data: bytes) -> bytes:
        """Send ``data`` and return the bytes received until the end or for 0.3 s."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        received = b""
        try:
            async with asyncio.timeout(0.3):
                while part := await reader.read(65_536):
                    received += part
        except TimeoutError:
            pass
        writer.close()
        return received

    async def _handle(self, request: InboundRequest, responder: Responder) -> None:
        self.requests.append(request)
        try:
            await self._handler(request, responder)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    async def _echo(self, request: InboundRequest, responder: Responder) -> None:
        responder.send(200, [(b"X-Test", b"1")], request.body)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\n" + HOST + b"\r\n", 200),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n" + HOST + HOST + b"\r\n", 400),
        (b"GET http://x/ HTTP/1.1\r\n" + HOST + b"\r\n", 400),
        (b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 65\r\n\r\n", 413),
        (b"GET / HTTP/1.1\r\n" + HOST + b"A: " + b"a" * 400 + b"\r\n\r\n", 431),
        (
            b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: gzip, chunked\r\n\r\n",
            501,
        ),
        (
            b"POST / HTTP/1.1\r\n"
            + HOST
            + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (
            b"POST / HTTP/1.1\r\n"
            + HOST
            + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
            400,
        ),
        (
            b"POST / HTTP/1.1\r\n"
            + HOST
            + b"Transfer-Encoding: chunked\r\n\r\n60\r\n"
            + b"a" * 96
            + b"\r\n0\r\n\r\n",
            413,
        ),
        (b"nonsense\r\n\r\n", 400),
    ],
)
async def test_status_of_input(data: bytes, status: int) -> None:
    async with Server() as server:
        received = await server.exchange(data)
    assert received.startswith(b"HTTP/1.1 %d " % status)
    assert len(server.requests) == (1 if status == 200 else 0)


async def test_chunked_body_is_decoded_and_released_from_the_budget() -> None:
    data = (
        b"POST /a?b=1 HTTP/1.1\r\n"
        + HOST
        + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    async with Server() as server:
        received = await server.exchange(data)
    assert server.requests[0].body == b"abcde"
    assert server.requests[0].target == b"/a?b=1"
    assert received.endswith(b"abcde")
    async with asyncio.timeout(5):
        while server.budget.used:  # noqa: ASYNC110
            # The server has not noticed yet that the connection was closed.
            await asyncio.sleep(0.01)


async def test_body_in_the_form_of_a_request_is_not_handled_as_one() -> None:
    inner = b"GET /inner HTTP/1.1\r\nHost: x\r\n\r\n"
    data = (
        b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: %d\r\n\r\n" % len(inner)
    ) + inner
    async with Server() as server:
        await server.exchange(data)
    assert [request.target for request in server.requests] == [b"/"]


async def test_upgrade_is_ignored_and_later_requests_are_not_handled() -> None:
    data = (
        b"GET /a HTTP/1.1\r\n"
        + HOST
        + b"Upgrade: h2c\r\nConnection: Upgrade\r\n\r\n"
        + b"GET /b HTTP/1.1\r\n"
        + HOST
        + b"\r\n"
    )
    async with Server() as server:
        received = await server.exchange(data)
    assert [request.target for request in server.requests] == [b"/a"]
    assert b"Connection: close" in received


# Requests that had been read behind another one were dropped without an answer when the
# connection was to be closed after that one.
@pytest.mark.parametrize("is_draining", [False, True])
@pytest.mark.parametrize("is_followed_by_fault", [False, True])
async def test_requests_read_before_a_close_are_answered(
    is_draining: bool, is_followed_by_fault: bool
) -> None:
    async with Server() as server:

        async def begin_to_drain(request: InboundRequest, responder: Responder) -> None:
            await asyncio.sleep(0)
            server.is_draining = is_draining
            await server._echo(request, responder)

        server._handler = begin_to_drain
        one = b"POST /%d HTTP/1.1\r\n" + HOST + b"Content-Length: 1\r\n\r\n%d"
        data = b"".join(one % (n, n) for n in range(3))
        received = await server.exchange(
            data + (b"nonsense\r\n\r\n" if is_followed_by_fault else b"")
        )
    parts = received.split(b"HTTP/1.1 ")[1:]
    assert [part[-1:] for part in parts] == [b"0", b"1", b"2"]
    closes = [b"Connection: close" in part for part in parts]
    assert closes == [False, False, is_draining or is_followed_by_fault]


# A connection on which a fault arrived during a response that had begun stayed open but
# ignored all that its caller sent from then on.
async def test_connection_closes_after_a_begun_response_that_a_fault_follows() -> None:
    async def begin(request: InboundRequest, responder: Responder) -> None:
        responder.start(200, [])
        await asyncio.sleep(0.05)
        responder.write(b"rest")
        responder.finish()

    async with Server(begin) as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"GET / HTTP/1.1\r\n" + HOST + b"\r\n")
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"nonsense\r\n\r\n")
        async with asyncio.timeout(2):
            assert await reader.read() == b"4\r\nrest\r\n0\r\n\r\n"
        writer.close()


async def test_pipelined_requests_are_answered_in_order() -> None:
    one = b"POST /%d HTTP/1.1\r\n" + HOST + b"Content-Length: 1\r\n\r\n%d"
    async with Server() as server:
        received = await server.exchange(b"".join(one % (n, n) for n in range(6)))
    assert [request.target for request in server.requests] == [
        b"/%d" % n for n in range(6)
    ]
    assert [part[-1:] for part in received.split(b"HTTP/1.1 ")[1:]] == [
        b"%d" % n for n in range(6)
    ]


async def test_slow_header_section_is_rejected_with_408() -> None:
    async with Server() as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"GET / HT")
        async with asyncio.timeout(5):
            received = await reader.read()
        writer.close()
    assert received.startswith(b"HTTP/1.1 408 ")
    assert server.requests == []


async def test_request_is_cancelled_when_the_caller_disconnects() -> None:
    started = asyncio.Event()

    async def wait(request: InboundRequest, responder: Responder) -> None:
        started.set()
        await asyncio.Event().wait()

    async with Server(wait) as server:
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"GET / HTTP/1.1\r\n" + HOST + b"\r\n")
        await started.wait()
        writer.close()
        async with asyncio.timeout(5):
            while not server.cancelled:  # noqa: ASYNC110
                await asyncio.sleep(0.01)


async def test_response_of_a_failed_handler_does_not_end_as_complete() -> None:
    async def fail(request: InboundRequest, responder: Responder) -> None:
        responder.start(200, [])
        responder.write(b"part")
        raise RuntimeError

    async with Server(fail) as server:
        try:
            received = await server.exchange(b"GET / HTTP/1.1\r\n" + HOST + b"\r\n")
        except ConnectionResetError:
            received = b""
    assert not received.endswith(b"0\r\n\r\n")
