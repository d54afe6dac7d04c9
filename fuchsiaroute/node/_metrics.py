"""Metrics of an instance, rendered on request."""

from collections.abc import Callable, Iterable

from fuchsiaroute._tls_import import allow_tls_import
from fuchsiaroute.forwarding import LATENCY_BOUNDS_MS, Counters
from fuchsiaroute.http1 import InboundRequest, Responder

METRICS_PATH = b"/metrics"
MILLISECONDS_PER_SECOND = 1_000


class MetricsHandler:
    """
    Serves counters and gauges in the Prometheus text format.

    prometheus_client is imported at the first request, as it takes memory and most
    instances are never scraped.
    """

    def __init__(
        self, counters: Counters, *, gauges: Callable[[], dict[str, float]]
    ) -> None:
        self._counters = counters
        self._gauges = gauges

    async def handle(self, request: InboundRequest, responder: Responder) -> None:
        """Respond to one call."""
        if request.method != b"GET" or request.path != METRICS_PATH:
            responder.send(404, [], b"")
            return
        content_type, body = self._render()
        responder.send(200, [(b"Content-Type", content_type.encode())], body)

    def _render(self) -> tuple[str, bytes]:
        allow_tls_import()
        from prometheus_client import CollectorRegistry
        from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

        registry = CollectorRegistry()
        registry.register(_Collector(self._counters, self._gauges()))  # type: ignore[arg-type]
        return CONTENT_TYPE_LATEST, generate_latest(registry)


class _Collector:
    """Converts counts, which are kept without prometheus_client, to metric families."""

    def __init__(self, counters: Counters, gauges: dict[str, float]) -> None:
        self._counters = counters
        self._gauges = gauges

    def collect(self) -> Iterable[object]:
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        names = {name for name, _ in self._counters.counts}
        for name in sorted(names):
            family = CounterMetricFamily(
                f"fuchsiaroute_{name}",
                f"Number of {name}.",
                labels=("outcome", "detail"),
            )
            for (counter_name, labels), value in self._counters.counts.items():
                if counter_name == name:
                    family.add_metric((*labels, "", "")[:2], value)
            yield family
        latency = HistogramMetricFamily(
            "fuchsiaroute_response_seconds",
            "Time until a request was finished.",
            labels=("route",),
        )
        for route, histogram in self._counters.latencies.items():
            total = 0
            buckets: list[tuple[str, float]] = []
            for bound, count in zip(LATENCY_BOUNDS_MS, histogram.buckets, strict=False):
                total += count
                buckets.append((str(bound / MILLISECONDS_PER_SECOND), total))
            buckets.append(("+Inf", total + histogram.buckets[-1]))
            latency.add_metric(
                (route,), buckets, histogram.total / MILLISECONDS_PER_SECOND
            )
        yield latency
        for name, gauge in self._gauges.items():
            yield GaugeMetricFamily(f"fuchsiaroute_{name}", name, value=gauge)
