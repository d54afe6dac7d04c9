import asyncio

import httpx
import pytest

from fuchsiaroute.transport import build_client

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


async def disconnect(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.close()


async def reset(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.transport.abort()


async def never_respond(reader, writer):
    await reader.read()


async def truncate_body(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(HEAD + b"5\r\nhello\r\n")
    await writer.drain()
    writer.close()


async def send_malformed_response(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"nonsense\r\n\r\n")
    await writer.drain()
    writer.close()


@pytest.mark.parametrize(
    ("behaviour", "expected"),
    [
        (disconnect, httpx.ReadError),
        (reset, httpx.ReadError),
        (never_respond, httpx.ReadTimeout),
        (truncate_body, httpx.ReadError),
        (send_malformed_response, httpx.RemoteProtocolError),
    ],
)
async def test_failure_after_sending_is_not_a_connection_error(behaviour, expected):
    server = await asyncio.start_server(behaviour, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with build_client(read_timeout=100) as client:
        with pytest.raises(expected):
            await client.post(f"http://127.0.0.1:{port}/", content=b"{}")
    server.close()


async def test_refused_connection_is_a_connection_error():
    server = await asyncio.start_server(disconnect, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    async with build_client() as client:
        with pytest.raises(httpx.ConnectError):
            await client.post(f"http://127.0.0.1:{port}/", content=b"{}")
