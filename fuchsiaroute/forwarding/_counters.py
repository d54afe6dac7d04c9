"""Counts of what an instance has done, without a metrics library."""

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field

from fuchsiaroute.clock import Milliseconds

#: Upper bounds of the latency histogram, in milliseconds.
LATENCY_BOUNDS_MS = (10, 25, 50, 100, 200, 300, 500, 750, 1_000, 2_000, 5_000, 10_000)


@dataclass(slots=True)
class Histogram:
    """Observations by upper bound; the last bucket has no bound."""

    buckets: list[int] = field(
        default_factory=lambda: [0] * (len(LATENCY_BOUNDS_MS) + 1)
    )
    total: int = 0

    def add(self, duration: Milliseconds) -> None:
        """Count one observation in milliseconds."""
        self.buckets[bisect_left(LATENCY_BOUNDS_MS, duration)] += 1
        self.total += duration


class Counters:
    """Counters by name and labels, and latency histograms by kind of request."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, tuple[str, ...]]] = Counter()
        self._latencies: dict[str, Histogram] = {}

    @property
    def counts(self) -> Counter[tuple[str, tuple[str, ...]]]:
        """Return the counters."""
        return self._counts

    @property
    def latencies(self) -> dict[str, Histogram]:
        """Return the histograms of the time to the first byte, by route."""
        return self._latencies

    def add(self, name: str, *labels: str) -> None:
        """Count one event."""
        self._counts[(name, labels)] += 1

    def observe(self, kind: str, duration: Milliseconds) -> None:
        """Count the time to the first byte of a response."""
        histogram = self._latencies.get(kind)
        if histogram is None:
            histogram = self._latencies.setdefault(kind, Histogram())
        histogram.add(duration)
