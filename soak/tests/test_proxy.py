"""A link harms its connections as its state says."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from soak._proxy import Link, LinkState

#: Time in which sound loopback data arrives, with much to spare.
SOON_S = 5.0
#: Silence that shows that data is held up.
QUIET_S = 0.2


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


class End:
    """A caller's end of a connection through the link."""

    def __init__(self, port: int) -> None:
        self._port = port

    async def __aenter__(self) -> "End":
        opened = await asyncio.open_connection("127.0.0.1", self._port)
        self._reader, self._writer = opened
        return self

    async def __aexit__(self, *details: object) -> None:
        self._writer.transport.abort()

    def send(self, data: bytes) -> None:
        self._writer.write(data)

    async def received(self, within_s: float = SOON_S) -> bytes | None:
        try:
            async with asyncio.timeout(within_s):
                return await self._reader.read(100)
        except TimeoutError:
            return None


async def test_sound_link_moves_data_both_ways(link: Link) -> None:
    async with End(link.port) as end:
        end.send(b"one")
        assert await end.received() == b"one"


@pytest.mark.parametrize(
    "state", [LinkState.CUT_TO, LinkState.CUT_FROM, LinkState.CUT_BOTH]
)
async def test_cut_link_holds_data_until_it_is_sound(
    link: Link, state: LinkState
) -> None:
    async with End(link.port) as end:
        link.change(state)
        end.send(b"one")
        assert await end.received(QUIET_S) is None
        link.change(LinkState.SOUND)
        assert await end.received() == b"one"


async def test_silenced_connection_stays_silent_and_new_ones_work(link: Link) -> None:
    async with End(link.port) as old:
        old.send(b"one")
        assert await old.received() == b"one"
        link.silence()
        async with End(link.port) as new:
            new.send(b"two")
            assert await new.received() == b"two"
        old.send(b"three")
        assert await old.received(QUIET_S) is None


async def test_reset_reaches_the_caller(link: Link) -> None:
    async with End(link.port) as end:
        end.send(b"one")
        assert await end.received() == b"one"
        link.reset()
        with pytest.raises(ConnectionResetError):
            await end.received()


async def test_refusing_link_resets_new_connections(link: Link) -> None:
    link.change(LinkState.REFUSING)
    with pytest.raises(ConnectionResetError):
        async with End(link.port) as end:
            assert await end.received()


async def test_delayed_link_delivers(link: Link) -> None:
    link.change(LinkState.DELAYED)
    async with End(link.port) as end:
        end.send(b"one")
        assert await end.received() == b"one"
