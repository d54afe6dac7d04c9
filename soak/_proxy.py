"""A TCP link on loopback that can be harmed."""

import asyncio
import socket
import struct
from enum import Enum

_CHUNK = 65_536
#: Delay of each piece of data on a delayed link; a few round trips between domains.
_DELAY_S = 0.15
_RESET = struct.pack("ii", 1, 0)


class LinkState(Enum):
    """How a link treats data and new connections."""

    SOUND = "sound"
    DELAYED = "delayed"
    #: Data towards the server is held up.
    CUT_TO = "cut-to"
    #: Data from the server is held up.
    CUT_FROM = "cut-from"
    CUT_BOTH = "cut-both"
    #: New connections are reset.
    REFUSING = "refusing"


_HOLDS_TO = {LinkState.CUT_TO, LinkState.CUT_BOTH}
_HOLDS_FROM = {LinkState.CUT_FROM, LinkState.CUT_BOTH}


class Link:
    """Forwards connections to one server; data that is held up goes on afterwards."""

    def __init__(self, host: str, port: int) -> None:
        self._target = (host, port)
        self._state = LinkState.SOUND
        self._changed = asyncio.Event()
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def listen(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._begin, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and reset what is open."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def change(self, state: LinkState) -> None:
        """Treat data and new connections as ``state`` says from now on."""
        self._state = state
        self._changed.set()
        self._changed = asyncio.Event()

    def reset(self) -> None:
        """Reset all open connections, towards both ends."""
        for connection in list(self._connections):
            connection.reset()

    def silence(self) -> None:
        """Never move data on the open connections again; new ones are sound."""
        for connection in self._connections:
            connection.is_silent = True

    def _begin(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.get_running_loop().create_task(self._accept(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._state is LinkState.REFUSING:
            _reset(writer)
            return
        try:
            there = await asyncio.open_connection(*self._target)
        except OSError:
            _reset(writer)
            return
        connection = _Connection(writer, there[1])
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._move(connection, reader, there[1], _HOLDS_TO),
                self._move(connection, there[0], writer, _HOLDS_FROM),
            )
        except OSError:
            # One end reset the connection; so does the other.
            connection.reset()
        finally:
            self._connections.discard(connection)
            writer.close()
            there[1].close()

    async def _move(
        self,
        connection: "_Connection",
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        holding: set[LinkState],
    ) -> None:
        while True:
            data = await reader.read(_CHUNK)
            if self._state is LinkState.DELAYED:
                await asyncio.sleep(_DELAY_S)
            while self._state in holding:
                await self._changed.wait()
            if connection.is_silent:
                await connection.ended.wait()
                return
            if not data:
                # The servers and callers here close both directions at once.
                writer.close()
                return
            writer.write(data)
            await writer.drain()


class _Connection:
    """The two sockets of one forwarded connection."""

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self.is_silent = False
        self.ended = asyncio.Event()
        self._writers = writers

    def reset(self) -> None:
        self.ended.set()
        for writer in self._writers:
            _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    found = writer.get_extra_info("socket")
    if found is not None and found.fileno() >= 0:
        found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()
