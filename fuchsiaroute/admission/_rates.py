"""Moving averages of request durations and start rates."""

from fuchsiaroute.clock import Milliseconds

#: Weight of the newest observation in a moving average.
EWMA_WEIGHT = 0.05
#: Stands for the time since the latest start while the mean interval is not outdated.
_NO_INTERVAL = 0.0


class MovingAverage:
    """Exponentially weighted mean; zero before the first observation."""

    def __init__(self) -> None:
        #: The mean so far.
        self.value = 0.0
        self._is_empty = True

    def add(self, observation: float) -> None:
        """Add one observation."""
        weight = 1.0 if self._is_empty else EWMA_WEIGHT
        self._is_empty = False
        self.value += weight * (observation - self.value)


class StartRate:
    """Rate at which the waiting requests of one target start."""

    def __init__(self) -> None:
        self._interval = MovingAverage()
        self._started_at: Milliseconds | None = None

    def record_start(self, now: Milliseconds, *, are_others_waiting: bool) -> None:
        """Record that a waiting request starts at ``now``."""
        if self._started_at is not None:
            self._interval.add(float(now - self._started_at))
        # Only intervals during which requests wait measure the start rate.
        self._started_at = now if are_others_waiting else None

    def expected_wait(self, ahead: float, now: Milliseconds) -> Milliseconds:
        """Return the expected time until ``ahead`` waiting requests have started."""
        interval = self._interval.value
        if self._started_at is not None:
            stall = float(now - self._started_at)
            # If starts have stalled for over ten mean intervals, the mean is outdated.
            interval = max(interval, stall if stall > 10 * interval else _NO_INTERVAL)
        return Milliseconds(round(ahead * interval))
