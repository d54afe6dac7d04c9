"""A link that carries a few bytes a second, between an instance and the store."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

#: Time between two parts that the link delivers.
STEP_S = 0.02


class NarrowLink:
    """Forwards connections to a port; what comes back takes its time."""

    def __init__(self, target: int, *, bytes_per_second: int) -> None:
        self._target = target
        self._step_bytes = round(bytes_per_second * STEP_S)
        self._is_delivering = asyncio.Event()
        self._is_delivering.set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """Return the port on which the link accepts connections."""
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def fall_silent(self) -> None:
        """Deliver nothing any more, also of responses that have begun."""
        self._is_delivering.clear()

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)

    def close(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        back, out = await asyncio.open_connection("127.0.0.1", self._target)
        for work in (self._send(reader, out), self._deliver(back, writer)):
            task = asyncio.ensure_future(work)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65_536):
            writer.write(data)
        writer.close()

    async def _deliver(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(self._step_bytes):
            await self._is_delivering.wait()
            writer.write(data)
            await asyncio.sleep(STEP_S * len(data) / self._step_bytes)
        writer.close()


@asynccontextmanager
async def narrow_link(
    target: int, *, bytes_per_second: int
) -> AsyncIterator[NarrowLink]:
    """Open a link to ``target`` on loopback for the time of the context."""
    link = NarrowLink(target, bytes_per_second=bytes_per_second)
    await link.open()
    try:
        yield link
    finally:
        link.close()
