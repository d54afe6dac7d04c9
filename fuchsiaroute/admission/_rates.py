"""Averages that admission learns from the requests it has seen."""

from fuchsiaroute.clock import Milliseconds

#: Weight of the newest observation in a moving average.
SMOOTHING = 0.05
#: Time between starts that stands for "no rate is known yet".
_NO_INTERVAL = 0.0


class MovingAverage:
    """Exponentially weighted mean; zero before the first observation."""

    def __init__(self) -> None:
        #: The mean so far.
        self.value = 0.0
        self._is_empty = True

    def add(self, observation: float) -> None:
        """Take over one observation."""
        weight = 1.0 if self._is_empty else SMOOTHING
        self._is_empty = False
        self.value += weight * (observation - self.value)


class StartRate:
    """How fast waiting requests start."""

    def __init__(self) -> None:
        self._interval = MovingAverage()
        self._started_at: Milliseconds | None = None

    def started(self, now: Milliseconds, *, are_others_waiting: bool) -> None:
        """Note that a waiting request starts at ``now``."""
        if self._started_at is not None:
            self._interval.add(float(now - self._started_at))
        # The pause until the next start tells nothing while nobody waits.
        self._started_at = now if are_others_waiting else None

    def wait(self, ahead: float, now: Milliseconds) -> Milliseconds:
        """Return the expected time until ``ahead`` waiting requests have started."""
        interval = self._interval.value
        if self._started_at is not None:
            stall = float(now - self._started_at)
            # A stall longer than the mean shows that the mean is out of date.
            interval = max(interval, stall if stall > 10 * interval else _NO_INTERVAL)
        return Milliseconds(round(ahead * interval))
