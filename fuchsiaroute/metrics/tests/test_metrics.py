import pytest
from prometheus_client.parser import text_string_to_metric_families

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.ids import ProductId, Revision, VersionId
from fuchsiaroute.metrics import Metrics, StreamTimer
from fuchsiaroute.verdict import RefusalReason, Verdict

PRODUCT = ProductId("permit-desk")


def samples(metrics):
    families = text_string_to_metric_families(metrics.render().decode())
    return {
        (sample.name, *sorted(sample.labels.items())): sample.value
        for family in families
        for sample in family.samples
    }


@pytest.mark.parametrize(
    ("call", "name", "labels", "value"),
    [
        (
            lambda m: m.record_bill(PRODUCT, (VersionId("v"),), 40),
            "cost_microunits_total",
            {"product": PRODUCT},
            40,
        ),
        (
            lambda m: m.record_bill(PRODUCT, (VersionId("v"), VersionId("w")), 40),
            "answers_total",
            {"version": "w"},
            1,
        ),
        (
            lambda m: m.record_answer(
                PRODUCT, size=9, duration=Milliseconds(200), is_whole=False
            ),
            "requests_total",
            {"product": PRODUCT, "outcome": "broken-off"},
            1,
        ),
        (
            lambda m: m.set_endpoints({"warm": 3}),
            "endpoints",
            {"state": "warm"},
            3,
        ),
        (
            lambda m: m.record_refusal(
                PRODUCT, reason=RefusalReason.DEADLINE, verdict=Verdict.NOT_RUN
            ),
            "refusals_total",
            {"reason": "deadline", "verdict": "not-run"},
            1,
        ),
        (
            lambda m: m.observe_first_token(PRODUCT, Milliseconds(390)),
            "first_token_seconds_bucket",
            {"product": PRODUCT, "le": "0.39"},
            1,
        ),
        (
            lambda m: m.observe_token_gap(PRODUCT, Milliseconds(52)),
            "between_tokens_seconds_bucket",
            {"product": PRODUCT, "le": "0.051"},
            0,
        ),
        (
            lambda m: m.set_configuration(Revision(9), age=Milliseconds(1_500)),
            "configuration_age_seconds",
            {},
            1.5,
        ),
        (lambda m: m.set_ledger_pending(4), "ledger_pending_records", {}, 4),
        (lambda m: m.set_ready(True), "is_ready", {}, 1),
        (lambda m: m.request_started(), "requests_in_flight", {}, 1),
    ],
)
def test_method_changes_the_rendered_metric(call, name, labels, value):
    metrics = Metrics()
    call(metrics)
    key = (f"fuchsiaroute_{name}", *sorted(labels.items()))
    assert samples(metrics)[key] == value


@pytest.mark.parametrize(("sequence", "gaps"), [(0, 2), (1, 0), (8, 2)])
def test_every_gap_of_a_sampled_stream_is_observed(sequence, gaps):
    metrics, clock = Metrics(), ManualClock()
    timer = StreamTimer(metrics, clock, PRODUCT, arrived=clock.now(), sequence=sequence)
    for delay in (300, 20, 600):
        clock.tick(Milliseconds(delay))
        timer.record_chunk()
    timer.finish()
    values = samples(metrics)
    label = ("product", PRODUCT)
    count = "fuchsiaroute_between_tokens_seconds_count"
    assert values.get((count, label), 0) == gaps
    assert values["fuchsiaroute_first_token_seconds_sum", label] == 0.3
    assert values["fuchsiaroute_longest_gap_seconds_sum", label] == 0.6


def test_stream_without_a_chunk_is_not_observed():
    metrics, clock = Metrics(), ManualClock()
    StreamTimer(metrics, clock, PRODUCT, arrived=clock.now(), sequence=0).finish()
    assert not [key for key in samples(metrics) if "longest_gap" in key[0]]
