"""Measurement of the time between the events of a stream."""

from statistics import quantiles

from fuchsiaroute.clock import Milliseconds

#: Gaps between events after which the pace of a stream is known. With the gaps of whole
#: streams, slow streams would be counted later than fast ones.
SUFFICIENT_GAPS = 8
#: Gaps below which the pace is unknown: one or two can all be lengthened by the prompts
#: of other requests.
MIN_GAPS = 3


class EventPace:
    """
    Lower quartile of the times between the first events of a stream.

    Engines process requests in batches, and the prompts of other requests lengthen some
    of the gaps. The lower quartile is mostly free of that: it shows the engine's speed
    rather than its load.
    """

    def __init__(self) -> None:
        self._gaps: list[float] = []
        self._latest_at: Milliseconds | None = None
        self._is_taken = False

    @property
    def is_known(self) -> bool:
        """Return whether enough events have been received."""
        return len(self._gaps) >= SUFFICIENT_GAPS

    def record(self, now: Milliseconds, events: int) -> None:
        """Record ``events`` that were received together."""
        if self._latest_at is not None and not self.is_known:
            self._gaps.append((now - self._latest_at) / events)
        self._latest_at = now

    def take(self) -> float | None:
        """
        Return the quartile in milliseconds, once.

        None is returned with too few events and after the first call that returned it.
        """
        if self._is_taken or len(self._gaps) < MIN_GAPS:
            return None
        self._is_taken = True
        return quantiles(self._gaps, n=4, method="inclusive")[0]
