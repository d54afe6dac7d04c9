"""A link injects the network faults of its state."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from soak._proxy import Link, LinkState

#: More than enough for data to arrive over an undisturbed link.
RECEIVE_TIMEOUT_S = 5.0
#: Time without data after which it counts as held back.
HELD_BACK_S = 0.2


@pytest.fixture
async def link() -> AsyncIterator[Link]:
    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionResetError):
            while data := await reader.read(100):
                writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    found = Link("127.0.0.1", server.sockets[0].getsockname()[1])
    await found.listen()
    yield found
    await found.close()
    server.close()


class Client:
    """The client end of a connection through the link."""

    def __init__(self, port: int) -> None:
        self._port = port

    async def __aenter__(self) -> "Client":
        opened = await asyncio.open_connection("127.0.0.1", self._port)
        self._reader, self._writer = opened
        return self

    async def __aexit__(self, *details: object) -> None:
        self._writer.transport.abort()

    def send(self, data: bytes) -> None:
        self._writer.write(data)

    async def received(self, within_s: float = RECEIVE_TIMEOUT_S) -> bytes | None:
        try:
            async with asyncio.timeout(within_s):
                return await self._reader.read(100)
        except TimeoutError:
            return None


async def test_sound_link_forwards_data_both_ways(link: Link) -> None:
    async with Client(link.port) as client:
        client.send(b"one")
        assert await client.received() == b"one"


@pytest.mark.parametrize(
    "state", [LinkState.CUT_TO, LinkState.CUT_FROM, LinkState.CUT_BOTH]
)
async def test_cut_link_delivers_data_once_sound(link: Link, state: LinkState) -> None:
    async with Client(link.port) as client:
        link.set_state(state)
        client.send(b"one")
        assert await client.received(HELD_BACK_S) is None
        link.set_state(LinkState.SOUND)
        assert await client.received() == b"one"


async def test_stalled_connection_never_resumes_while_new_ones_work(link: Link) -> None:
    async with Client(link.port) as old:
        old.send(b"one")
        assert await old.received() == b"one"
        link.stall()
        async with Client(link.port) as new:
            new.send(b"two")
            assert await new.received() == b"two"
        old.send(b"three")
        assert await old.received(HELD_BACK_S) is None


async def test_reset_reaches_the_caller(link: Link) -> None:
    async with Client(link.port) as client:
        client.send(b"one")
        assert await client.received() == b"one"
        link.reset()
        with pytest.raises(ConnectionResetError):
            await client.received()


async def test_refusing_link_resets_new_connections(link: Link) -> None:
    link.set_state(LinkState.REFUSING)
    with pytest.raises(ConnectionResetError):
        async with Client(link.port) as client:
            assert await client.received()


# Guards against reports of requests that were never sent to the server.
@pytest.mark.parametrize("state", [LinkState.SOUND, LinkState.REFUSING])
async def test_link_knows_the_connections_that_it_has_refused(
    link: Link, state: LinkState
) -> None:
    link.set_state(state)
    reader, writer = await asyncio.open_connection("127.0.0.1", link.port)
    port = writer.get_extra_info("sockname")[1]
    writer.write(b"one")
    with contextlib.suppress(ConnectionResetError):
        await reader.read(3)
    assert (port in link.refused_ports) == (state is LinkState.REFUSING)
    writer.close()


async def test_delayed_link_delivers(link: Link) -> None:
    link.set_state(LinkState.DELAYED)
    async with Client(link.port) as client:
        client.send(b"one")
        assert await client.received() == b"one"
