"""Background tasks that are started again when they fail."""

import asyncio
from collections.abc import Awaitable, Callable

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.linelog import LineLog

#: Delay before a task that failed starts again; doubles while it keeps failing. The
#: longest one is below the shortest time within which a change has to take effect.
MIN_RESTART_DELAY = Milliseconds(100)
MAX_RESTART_DELAY = Milliseconds(1_600)


class TaskRunner:
    """
    Runs background tasks; logs their exceptions and starts them again.

    Each start of a task may call the store, whose calls all instances share, so one
    that keeps failing starts more and more rarely.
    """

    def __init__(self, *, clock: Clock, log: LineLog) -> None:
        self._clock = clock
        self._log = log
        #: The tasks that were started.
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Run a task in the background until ``run`` returns or it is cancelled."""
        task = asyncio.get_running_loop().create_task(self._keep_running(name, run))
        self.tasks.add(task)

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self.tasks:
            task.cancel()

    async def _keep_running(
        self, name: str, run: Callable[[], Awaitable[None]]
    ) -> None:
        delay = MIN_RESTART_DELAY
        while True:
            started_at = self._clock.now()
            try:
                await run()
                return
            except Exception as error:
                if self._clock.now() - started_at > MAX_RESTART_DELAY:
                    delay = MIN_RESTART_DELAY
                self._log.write(
                    "task:failed", task=name, reason=repr(error), next_start_ms=delay
                )
                await self._clock.sleep(delay)
                delay = min(Milliseconds(delay * 2), MAX_RESTART_DELAY)
