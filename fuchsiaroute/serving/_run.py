"""One entry as a process: start, serve until told to stop, finish, leave."""

import asyncio
import contextlib
import signal
from collections.abc import Coroutine
from typing import Any

from fuchsiaroute.clock import Clock, SystemClock
from fuchsiaroute.gateway import AdvisedEntry
from fuchsiaroute.platform import HttpInstanceList, HttpTableStore
from fuchsiaroute.serving._compose import ComposedEntry, EntryOptions, compose_entry
from fuchsiaroute.serving._server import HttpServer
from fuchsiaroute.settings import Settings
from fuchsiaroute.transport import build_client

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class EntryProcess:
    """A serving entry: its servers, its periodic tasks and its connections."""

    def __init__(self, *, settings: Settings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._platform = build_client(
            base_url=settings.platform.table_url,
            read_timeout=settings.platform.write_timeout,
        )
        options = EntryOptions(
            instance=settings.instance.id,
            failure_domain=settings.instance.failure_domain,
        )
        self._entry = compose_entry(
            options=options,
            store=HttpTableStore(self._platform),
            instances=HttpInstanceList(self._platform),
            clock=clock,
        )
        self._callers = HttpServer(
            app=self._entry.app,
            host=settings.callers.host,
            port=settings.callers.port,
        )
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def entry(self) -> ComposedEntry:
        """Return the parts of the entry."""
        return self._entry

    @property
    def url(self) -> str:
        """Return the base URL for callers."""
        return self._callers.url

    async def start(self) -> None:
        """Start periodic tasks, then accept callers."""
        self._start_task(self._entry.poll.run())
        await self._callers.start()
        self._entry.advice.entries = (
            AdvisedEntry(
                url=f"http://{self._settings.callers.advertised}",
                failure_domain=self._settings.instance.failure_domain,
            ),
        )

    async def stop(self) -> None:
        """Finish the open requests, then leave."""
        await self._callers.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._entry.client.aclose()
        await self._platform.aclose()

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))


async def serve(settings: Settings) -> None:
    """Serve callers until the process is told to stop."""
    process = EntryProcess(settings=settings, clock=SystemClock())
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stopping.set)
    await process.start()
    with contextlib.suppress(asyncio.CancelledError):
        await stopping.wait()
    await process.stop()
