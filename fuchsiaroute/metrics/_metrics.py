"""Metrics of one entry; a unit is part of the metric's name."""

from collections.abc import Iterable, Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import ProductId, Revision, VersionId
from fuchsiaroute.verdict import RefusalReason, Verdict

MILLISECONDS_PER_SECOND = 1_000
#: Media type of the rendered metrics.
CONTENT_TYPE = CONTENT_TYPE_LATEST
OUTCOME_ANSWERED = "answered"
#: The endpoint or the caller aborted the answer.
OUTCOME_BROKEN_OFF = "broken-off"
OUTCOME_REFUSED = "refused"
#: Upper bounds in seconds; 0.39 s is the target for the 95th percentile.
FIRST_TOKEN_BUCKETS = (0.05, 0.1, 0.2, 0.3, 0.39, 0.5, 0.75, 1.0, 2.0, 5.0, 10.0)
#: Upper bounds in seconds; 0.051 s is the target for the time between tokens.
BETWEEN_TOKENS_BUCKETS = (0.01, 0.025, 0.04, 0.051, 0.075, 0.1, 0.25, 0.5, 1.0, 5.0)
#: Upper bounds in seconds.
ANSWER_BUCKETS = (0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 120.0)


class Metrics:
    """Counters, gauges and histograms of one entry, in a separate registry."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._requests = self._counter(
            "requests", "Requests that ended, by outcome.", ("product", "outcome")
        )
        self._refusals = self._counter(
            "refusals", "Refusals by reason and verdict.", ("reason", "verdict")
        )
        self._answers = self._counter(
            "answers", "Billed answers by version, escalations included.", ("version",)
        )
        self._bytes = self._counter(
            "answer_bytes", "Bytes of answers, whole or not.", ("product",)
        )
        self._cost = self._counter(
            "cost_microunits",
            "Cost of answers in micro-units of the currency.",
            ("product",),
        )
        self._first_token = self._histogram(
            "first_token_seconds",
            "Time from a request's arrival to the first byte of its answer.",
            FIRST_TOKEN_BUCKETS,
        )
        self._between_tokens = self._histogram(
            "between_tokens_seconds",
            "Time between parts of an answer, over a sample of the streams.",
            BETWEEN_TOKENS_BUCKETS,
        )
        self._longest_gap = self._histogram(
            "longest_gap_seconds",
            "Longest time between two parts of an answer, over all streams.",
            BETWEEN_TOKENS_BUCKETS,
        )
        self._answer = self._histogram(
            "answer_seconds",
            "Time from a request's arrival to the end of its answer.",
            ANSWER_BUCKETS,
        )
        self._in_flight = self._gauge(
            "requests_in_flight", "Requests accepted and not yet ended."
        )
        self._revision = self._gauge(
            "configuration_revision", "Revision of the configuration in force."
        )
        self._age = self._gauge(
            "configuration_age_seconds",
            "Time since the configuration was last confirmed by the store or a peer.",
        )
        self._pending = self._gauge(
            "ledger_pending_records", "Ledger records not yet written to the store."
        )
        self._endpoints = Gauge(
            "fuchsiaroute_endpoints",
            "Endpoints by state, as this entry sees them.",
            ("state",),
            registry=self._registry,
        )
        self._ready = self._gauge("is_ready", "1 if the entry takes new requests.")

    def request_started(self) -> None:
        """Count an accepted request as in flight."""
        self._in_flight.inc()

    def request_ended(self) -> None:
        """Count the end of an accepted request, whatever its outcome."""
        self._in_flight.dec()

    def record_answer(
        self,
        product: ProductId,
        *,
        size: int,
        duration: Milliseconds,
        is_whole: bool,
    ) -> None:
        """Count the end of an answer of ``size`` bytes."""
        outcome = OUTCOME_ANSWERED if is_whole else OUTCOME_BROKEN_OFF
        self._requests.labels(product, outcome).inc()
        self._bytes.labels(product).inc(size)
        self._answer.labels(product).observe(duration / MILLISECONDS_PER_SECOND)

    def record_bill(
        self, product: ProductId, versions: Iterable[VersionId], cost_microunits: int
    ) -> None:
        """Count a cost and one answer per version; no version for a plain service."""
        self._cost.labels(product).inc(cost_microunits)
        for version in versions:
            self._answers.labels(version).inc()

    def record_refusal(
        self, product: ProductId, *, reason: RefusalReason, verdict: Verdict
    ) -> None:
        """Count a request without a complete answer; ``product`` may be empty."""
        self._requests.labels(product, OUTCOME_REFUSED).inc()
        self._refusals.labels(reason.value, verdict.value).inc()

    def observe_first_token(self, product: ProductId, delay: Milliseconds) -> None:
        """Observe the time to the first chunk of an answer."""
        self._first_token.labels(product).observe(delay / MILLISECONDS_PER_SECOND)

    def observe_token_gap(self, product: ProductId, gap: Milliseconds) -> None:
        """Observe the time between two chunks of an answer."""
        self._between_tokens.labels(product).observe(gap / MILLISECONDS_PER_SECOND)

    def observe_longest_gap(self, product: ProductId, gap: Milliseconds) -> None:
        """Observe the longest time between two chunks of one answer."""
        self._longest_gap.labels(product).observe(gap / MILLISECONDS_PER_SECOND)

    def set_configuration(self, revision: Revision, *, age: Milliseconds) -> None:
        """Set the revision in force and the time since it was confirmed."""
        self._revision.set(revision)
        self._age.set(age / MILLISECONDS_PER_SECOND)

    def set_ledger_pending(self, records: int) -> None:
        """Set the number of ledger records not yet written to the store."""
        self._pending.set(records)

    def set_endpoints(self, counts: Mapping[str, int]) -> None:
        """Set the number of endpoints by their state in this entry."""
        self._endpoints.clear()
        for state, number in counts.items():
            self._endpoints.labels(state).set(number)

    def set_ready(self, is_ready: bool) -> None:
        """Set whether the entry takes new requests."""
        self._ready.set(int(is_ready))

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _counter(self, name: str, text: str, labels: tuple[str, ...]) -> Counter:
        return Counter(f"fuchsiaroute_{name}", text, labels, registry=self._registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"fuchsiaroute_{name}", text, registry=self._registry)

    def _histogram(self, name: str, text: str, buckets: tuple[float, ...]) -> Histogram:
        return Histogram(
            f"fuchsiaroute_{name}",
            text,
            ("product",),
            buckets=buckets,
            registry=self._registry,
        )
