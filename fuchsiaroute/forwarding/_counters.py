"""Counters and histograms of an instance, independent of a metrics library."""

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field

from fuchsiaroute.clock import Milliseconds

#: Upper bounds of the latency histogram, in milliseconds.
LATENCY_BOUNDS_MS = (10, 25, 50, 100, 200, 300, 500, 750, 1_000, 2_000, 5_000, 10_000)


@dataclass(slots=True)
class Histogram:
    """Observations by upper bound; the last bucket is unbounded."""

    buckets: list[int] = field(
        default_factory=lambda: [0] * (len(LATENCY_BOUNDS_MS) + 1)
    )
    #: Sum of the observations in milliseconds.
    total: int = 0

    def add(self, duration: Milliseconds) -> None:
        """Add one observation."""
        self.buckets[bisect_left(LATENCY_BOUNDS_MS, duration)] += 1
        self.total += duration


class Counters:
    """Counters by name and labels, and latency histograms by route."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, tuple[str, ...]]] = Counter()
        self._latencies: dict[str, Histogram] = {}

    @property
    def counts(self) -> Counter[tuple[str, tuple[str, ...]]]:
        """Return the counts by name and labels."""
        return self._counts

    @property
    def latencies(self) -> dict[str, Histogram]:
        """Return the histograms of response times, by route."""
        return self._latencies

    def add(self, name: str, *labels: str) -> None:
        """Increment a counter."""
        self._counts[(name, labels)] += 1

    def observe(self, route: str, duration: Milliseconds) -> None:
        """Count the response time of a request, from its arrival to its end."""
        histogram = self._latencies.get(route)
        if histogram is None:
            histogram = self._latencies.setdefault(route, Histogram())
        histogram.add(duration)
