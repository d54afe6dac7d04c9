"""A clock that is advanced explicitly, for tests and benches."""

import asyncio
import heapq
import itertools

from fuchsiaroute.clock._clock import Clock, Milliseconds

#: Iterations of the event loop in which woken tasks reach their next suspension.
SETTLE_ITERATIONS = 20


class ManualClock(Clock):
    """Clock whose time passes only in ``advance`` and ``tick``."""

    def __init__(self, *, start: Milliseconds = Milliseconds(1_000_000)) -> None:
        self._now = start
        self._order = itertools.count()
        self._sleepers: list[tuple[int, int, asyncio.Future[None]]] = []

    def now(self) -> Milliseconds:
        """Return the current instant in milliseconds."""
        return self._now

    def wall(self) -> Milliseconds:
        """Return the same instant as ``now``."""
        return self._now

    async def sleep(self, duration: Milliseconds) -> None:
        """Suspend the calling task until ``advance`` has passed ``duration``."""
        woken = asyncio.get_running_loop().create_future()
        entry = (self._now + max(duration, 0), next(self._order), woken)
        heapq.heappush(self._sleepers, entry)
        await woken

    def tick(self, duration: Milliseconds) -> None:
        """Advance time by ``duration`` without waking sleeping tasks."""
        self._now = Milliseconds(self._now + duration)

    async def advance(self, duration: Milliseconds) -> None:
        """Advance time by ``duration``, waking tasks in order of their instants."""
        end = self._now + duration
        await self._settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            instant, _, woken = heapq.heappop(self._sleepers)
            self._now = Milliseconds(max(self._now, instant))
            if not woken.done():
                woken.set_result(None)
            await self._settle()
        self._now = Milliseconds(end)

    async def _settle(self) -> None:
        for _ in range(SETTLE_ITERATIONS):
            await asyncio.sleep(0)
