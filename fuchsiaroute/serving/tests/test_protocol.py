import asyncio
import contextlib
import json

import pytest
from litestar import Litestar, get
from litestar.response import Stream

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.serving import ConnectionLimits, HttpServer

LIMITS = ConnectionLimits(max_head=1_024, max_connections=2)
SHORT_TIMEOUTS = ConnectionLimits(
    head_timeout=Milliseconds(50), write_timeout=Milliseconds(50)
)
REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
PART = b"x" * 65_536


async def respond_after_the_body(scope, receive, send):
    while (await receive()).get("more_body"):
        pass
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"done"})


@contextlib.asynccontextmanager
async def serving(app, limits):
    server = HttpServer(app=app, host="127.0.0.1", port=0, limits=limits)
    await server.start()
    try:
        yield server
    finally:
        await server.stop()


async def exchange(server, *parts):
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    for part in parts:
        writer.write(part)
        await writer.drain()
    answer = await reader.read()
    writer.close()
    return answer


@pytest.mark.parametrize(
    ("limits", "sent", "status", "reason"),
    [
        (LIMITS, b"nonsense\r\n\r\n", 400, "invalid-request"),
        (LIMITS, b"GET / HTTP/1.1\r\nx: " + b"y" * 2_000, 431, "too-large"),
        (
            LIMITS,
            b"GET / HTTP/1.1\r\nx: " + b"y" * 2_000 + b"\r\n\r\n",
            400,
            "invalid-request",
        ),
        (
            LIMITS,
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n"
            b"transfer-encoding: chunked\r\n\r\n",
            400,
            "invalid-request",
        ),
        (LIMITS, b"GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", 400, None),
        (
            LIMITS,
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n"
            b"content-length: 2\r\n\r\n",
            400,
            "invalid-request",
        ),
        (
            LIMITS,
            b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
            400,
            "invalid-request",
        ),
        (SHORT_TIMEOUTS, b"", 408, "too-slow"),
        (SHORT_TIMEOUTS, b"GET / HTTP/1.1\r\nhost: ", 408, "too-slow"),
    ],
)
async def test_malformed_request_gets_a_typed_error_and_the_server_continues(
    limits, sent, status, reason
):
    async with serving(respond_after_the_body, limits) as server:
        answer = await exchange(server, sent)
        head, _, body = answer.partition(b"\r\n\r\n")
        assert head.startswith(f"HTTP/1.1 {status}".encode())
        error = json.loads(body)["error"]
        assert error["verdict"] == "not-run"
        assert reason is None or error["reason"] == reason
        closing = REQUEST.replace(b"host", b"connection: close\r\nhost")
        assert (await exchange(server, closing)).endswith(b"done\r\n0\r\n\r\n")


async def test_slow_head_after_a_valid_request_is_refused():
    async with serving(respond_after_the_body, SHORT_TIMEOUTS) as server:
        answer = await exchange(server, REQUEST, b"GET / HT")
        assert answer.startswith(b"HTTP/1.1 200")
        assert b"HTTP/1.1 408" in answer


async def test_malformed_request_does_not_interrupt_the_response_before_it():
    async def respond_in_two_parts(scope, receive, send):
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": b"one", "more_body": True})
        await asyncio.sleep(0)
        await send({"type": "http.response.body", "body": b"two"})

    async with serving(respond_in_two_parts, LIMITS) as server:
        answer = await exchange(server, REQUEST + b"nonsense\r\n\r\n")
    valid, _, refused = answer.partition(b"0\r\n\r\n")
    assert valid.endswith(b"3\r\none\r\n3\r\ntwo\r\n")
    assert refused.startswith(b"HTTP/1.1 400")


async def test_connections_above_the_limit_are_refused():
    async with serving(respond_after_the_body, LIMITS) as server:
        held = [
            await asyncio.open_connection("127.0.0.1", server.port) for _ in range(2)
        ]
        for reader, writer in held:
            writer.write(REQUEST)
            await reader.readuntil(b"done")
        answer = await exchange(server)
        assert answer.startswith(b"HTTP/1.1 503")
        assert b'"overloaded"' in answer
        for _, writer in held:
            writer.close()


async def test_connection_of_a_caller_that_stops_reading_is_aborted():
    is_closed = asyncio.Event()

    async def parts():
        try:
            while True:
                yield PART
                await asyncio.sleep(0)
        finally:
            is_closed.set()

    @get("/")
    async def endless() -> Stream:
        return Stream(parts())

    app = Litestar([endless], openapi_config=None, logging_config=None)
    async with serving(app, SHORT_TIMEOUTS) as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(REQUEST)
        await reader.readuntil(b"200")
        # The client reads nothing more, so the server's write buffer fills up.
        await is_closed.wait()
        writer.close()
