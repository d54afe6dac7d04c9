"""Periodic tasks of an entry."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.configuration import ConfigurationPoller, poll_interval
from fuchsiaroute.logs import TaskFailed, log_event

#: Delay before a failed task is restarted.
RESTART_DELAY = Milliseconds(1_000)

EntryCount = Callable[[], int]


def _one_entry() -> int:
    return 1


class ConfigurationPoll:
    """Polls the accepted configuration."""

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
        """Poll until cancelled; the interval grows with the number of entries."""
        while True:
            await self.poll()
            await self._clock.sleep(self._interval())

    async def poll(self) -> None:
        """Read the accepted configuration once and apply it."""
        await self._poller.poll()

    def _interval(self) -> Milliseconds:
        return poll_interval(self._entry_count())


class BackgroundTasks:
    """
    Supervises the background tasks of an entry.

    A task that fails is logged and restarted: an entry whose ledger or heartbeats
    had stopped would still appear healthy to callers and peers.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._functions: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {}
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of the tasks, in the order in which they were added."""
        return tuple(self._functions)

    def add(self, name: str, function: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Add a task that runs ``function`` from ``start`` until ``stop``."""
        self._functions[name] = function

    def start(self) -> None:
        """Start every task."""
        self._tasks = [
            asyncio.create_task(self._supervise(name, function), name=name)
            for name, function in self._functions.items()
        ]

    async def stop(self) -> None:
        """Cancel every task and wait until all have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _supervise(
        self, name: str, function: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        while True:
            try:
                await function()
            except Exception as error:
                message = f"{type(error).__name__}: {error}"
                log_event(TaskFailed(task=name, error=message))
                await self._clock.sleep(RESTART_DELAY)
            else:
                return
