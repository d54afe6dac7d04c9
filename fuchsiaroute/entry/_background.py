"""Periodic tasks of an entry."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.configuration import ConfigurationPoller, poll_interval
from fuchsiaroute.logs import TaskFailed, log_event

#: Pause before a task that has failed runs again.
RESTART_PAUSE = Milliseconds(1_000)

EntryCount = Callable[[], int]


def _one_entry() -> int:
    return 1


class ConfigurationPoll:
    """Reads the accepted configuration again and again."""

    def __init__(
        self,
        *,
        poller: ConfigurationPoller,
        clock: Clock,
        entry_count: EntryCount = _one_entry,
    ) -> None:
        self._poller = poller
        self._clock = clock
        self._entry_count = entry_count

    async def run(self) -> None:
        """Poll until cancelled, less often the more entries share the store."""
        while True:
            await self.poll()
            await self._clock.sleep(self._interval())

    async def poll(self) -> None:
        """Read the accepted configuration once and put it in force."""
        await self._poller.poll()

    def _interval(self) -> Milliseconds:
        return poll_interval(self._entry_count())


class BackgroundTasks:
    """
    Tasks that run beside the requests of an entry.

    A task that fails is logged and started again: an entry whose ledger or
    heartbeats had ended silently would seem healthy and would not be.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
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
            asyncio.create_task(self._keep_running(name, work), name=name)
            for name, work in self._work.items()
        ]

    async def stop(self) -> None:
        """Cancel every task and wait for its end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _keep_running(
        self, name: str, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        while True:
            try:
                await work()
            except Exception as error:
                failed = f"{type(error).__name__}: {error}"
                log_event(TaskFailed(task=name, error=failed))
                await self._clock.sleep(RESTART_PAUSE)
            else:
                return
