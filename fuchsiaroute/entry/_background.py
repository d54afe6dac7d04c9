"""Periodic tasks of an entry."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from returns.result import Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.declaration import decode
from fuchsiaroute.entry._current import CurrentConfiguration
from fuchsiaroute.ids import Revision
from fuchsiaroute.platform import ABSENT, TableStore

#: Record that holds the accepted configuration; its version is the revision.
CONFIGURATION_KEY = "configuration/head"
CONFIGURATION_POLL_INTERVAL = Milliseconds(1_000)


class ConfigurationPoll:
    """Reads the accepted configuration again and again."""

    def __init__(
        self, *, store: TableStore, current: CurrentConfiguration, clock: Clock
    ) -> None:
        self._store = store
        self._current = current
        self._clock = clock

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await self._clock.sleep(CONFIGURATION_POLL_INTERVAL)

    async def poll(self) -> None:
        """Read the accepted configuration once and put it in force."""
        match await self._store.read([CONFIGURATION_KEY]):
            case Success((record,)) if record.version != ABSENT:
                self._current.apply(Revision(record.version), decode(record.value))


class Background:
    """Tasks that run beside the requests of an entry."""

    def __init__(self) -> None:
        self._work: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {}
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of the tasks."""
        return tuple(self._work)

    def add(self, name: str, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Have ``work`` run from ``start`` to ``stop``."""
        self._work[name] = work

    def start(self) -> None:
        """Start every task."""
        self._tasks = [
            asyncio.create_task(work(), name=name) for name, work in self._work.items()
        ]

    async def stop(self) -> None:
        """Cancel every task and wait for its end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
