"""A TCP proxy on loopback that injects network faults."""

import asyncio
import socket
import struct
from enum import Enum

_CHUNK_BYTES = 65_536
_SEGMENT_BYTES, _NARROW_BUFFER_BYTES = 1_460, 65_536
#: Delay of each chunk on a delayed link; a few round trips between failure domains.
_DELAY_S = 0.15
_LINGER_ZERO = struct.pack("ii", 1, 0)


class LinkState(Enum):
    """How a link handles data and new connections."""

    #: Data is forwarded at once, first the data that was held back.
    SOUND = "sound"
    DELAYED = "delayed"
    #: Data to the server is held back.
    CUT_TO = "cut-to"
    #: Data from the server is held back.
    CUT_FROM = "cut-from"
    CUT_BOTH = "cut-both"
    #: New connections are reset.
    REFUSING = "refusing"


_BLOCKED_TO_SERVER = {LinkState.CUT_TO, LinkState.CUT_BOTH}
_BLOCKED_FROM_SERVER = {LinkState.CUT_FROM, LinkState.CUT_BOTH}


class Link:
    """Forwards connections to one server and injects the faults of its state."""

    def __init__(self, host: str, port: int, *, is_narrow: bool = False) -> None:
        self._target = (host, port)
        #: Whether buffers and segments are small, as between machines.
        self._is_narrow = is_narrow
        self._state = LinkState.SOUND
        self._state_changed = asyncio.Event()
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.port = 0
        #: Ports of the callers whose connections were not established.
        self.refused_ports: set[int] = set()

    async def listen(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._start_task, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and reset all open connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_state(self, state: LinkState) -> None:
        """Apply ``state`` to open and new connections."""
        self._state = state
        self._state_changed.set()
        self._state_changed = asyncio.Event()

    def reset(self) -> None:
        """Reset all open connections at both ends."""
        for connection in list(self._connections):
            connection.reset()

    def stall(self) -> None:
        """Stop forwarding on the open connections for good; new ones still work."""
        for connection in self._connections:
            connection.is_stalled = True

    def _start_task(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.get_running_loop().create_task(self._accept(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        caller_port = writer.get_extra_info("peername")[1]
        self.refused_ports.add(caller_port)
        if self._state is LinkState.REFUSING:
            _reset(writer)
            return
        try:
            upstream = await self._connect()
        except OSError:
            _reset(writer)
            return
        self.refused_ports.discard(caller_port)
        if self._is_narrow:
            _socket_of(writer).setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, _NARROW_BUFFER_BYTES
            )
        connection = _Connection(writer, upstream[1])
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._forward(connection, reader, upstream[1], _BLOCKED_TO_SERVER),
                self._forward(connection, upstream[0], writer, _BLOCKED_FROM_SERVER),
            )
        except OSError:
            # One end reset the connection, so reset the other one too.
            connection.reset()
        finally:
            self._connections.discard(connection)
            writer.close()
            upstream[1].close()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if not self._is_narrow:
            return await asyncio.open_connection(*self._target)
        connected = socket.socket()
        connected.setblocking(False)
        # The server's send buffer grows with the size of segments, which on loopback
        # would hold a whole large response.
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SEGMENT_BYTES)
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _NARROW_BUFFER_BYTES)
        try:
            await asyncio.get_running_loop().sock_connect(connected, self._target)
        except OSError:
            connected.close()
            raise
        return await asyncio.open_connection(sock=connected)

    async def _forward(
        self,
        connection: "_Connection",
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocked_states: set[LinkState],
    ) -> None:
        while True:
            data = await reader.read(_CHUNK_BYTES)
            if self._state is LinkState.DELAYED:
                await asyncio.sleep(_DELAY_S)
            while self._state in blocked_states:
                await self._state_changed.wait()
            if connection.is_stalled:
                await connection.ended.wait()
                return
            if not data:
                # Servers and callers of the soak test close both directions at once.
                writer.close()
                return
            writer.write(data)
            await writer.drain()


class _Connection:
    """The two sockets of a forwarded connection."""

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self.is_stalled = False
        self.ended = asyncio.Event()
        self._writers = writers

    def reset(self) -> None:
        self.ended.set()
        for writer in self._writers:
            _reset(writer)


def _socket_of(writer: asyncio.StreamWriter) -> socket.socket:
    found: socket.socket = writer.get_extra_info("socket")
    return found


def _reset(writer: asyncio.StreamWriter) -> None:
    connected = _socket_of(writer)
    if connected is not None and connected.fileno() >= 0:
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    writer.transport.abort()
