"""Discrete-event loop for the load bench."""

import heapq
import itertools
from collections.abc import Callable

from fuchsiaroute.clock import ManualClock, Milliseconds


class Events:
    """Runs callbacks in order of simulated time, on the project's manual clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._order = itertools.count()
        self._heap: list[tuple[int, int, Callable[[], None]]] = []

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Run ``action`` after ``delay`` milliseconds."""
        instant = self.clock.now() + max(round(delay), 0)
        heapq.heappush(self._heap, (instant, next(self._order), action))

    def every(self, interval: float, action: Callable[[], None]) -> None:
        """Run ``action`` every ``interval`` milliseconds."""

        def run() -> None:
            action()
            self.after(interval, run)

        self.after(interval, run)

    def run(self, duration: float) -> None:
        """Advance the clock by ``duration`` milliseconds and run all due callbacks."""
        end = self.clock.now() + round(duration)
        while self._heap and self._heap[0][0] <= end:
            instant, _, action = heapq.heappop(self._heap)
            self.clock.tick(Milliseconds(instant - self.clock.now()))
            action()
        self.clock.tick(Milliseconds(end - self.clock.now()))
