"""Choice of plans, weak answers, bounded exploration and hysteresis."""

from dataclasses import replace
from random import Random

import pytest

from fuchsiaroute.cascade import (
    Answer,
    CascadeChooser,
    WeakRates,
    candidate_plans,
    is_weak,
    read_answer,
)
from fuchsiaroute.configuration import Version
from fuchsiaroute.ids import ModelId, RequestClass, VersionId
from fuchsiaroute.request import Exclusion
from fuchsiaroute.routing import Estimate, Option

CLASS = RequestClass("question")
#: Answers recorded for a version, enough to outweigh the prior rate.
ANSWERS = 2_000


def option(name, cost, mean, lower=None):
    return Option(
        version=Version(
            id=VersionId(name), cost_per_1000_tokens=cost, prior_quality=mean
        ),
        model=ModelId(name),
        cost=cost,
        estimate=Estimate(mean=mean, lower=mean if lower is None else lower),
    )


def choose(chooser, options, *, target, can_escalate=False, seed=1):
    return chooser.order(
        options,
        request_class=CLASS,
        quality_target=target,
        can_escalate=can_escalate,
        random=Random(seed),
    )


def names(ordered):
    return tuple(item.version.id for item in ordered.chosen)


def weak_rates(version, share):
    rates = WeakRates()
    for number in range(ANSWERS):
        weak = number * 37 % 100 < share * 100
        rates.record_cascade_answer(VersionId(version), CLASS, is_weak=weak)
    return rates


def add_single_answers(rates, version):
    for _ in range(3 * ANSWERS):
        rates.record_single_answer(VersionId(version), CLASS)
    return rates


@pytest.mark.parametrize(
    ("target", "weak_share", "can_escalate", "expected"),
    [
        (0.85, 0.1, True, ("a",)),
        (0.90, 0.1, False, ("b",)),
        (0.905, 0.5, True, ("a", "b")),
        (0.905, 0.95, True, ("b",)),  # 10 + 0.95 * 100 is more than 100.
        (0.99, 0.1, True, ("b",)),  # No plan meets it: the highest mean.
    ],
)
def test_chooses_the_cheapest_plan_that_meets_the_target(
    target, weak_share, can_escalate, expected
):
    rates = add_single_answers(weak_rates("a", weak_share), "a")
    chooser = CascadeChooser(weak_rates=rates, exploration_rate=0.0)
    options = [option("b", 100, 0.95), option("a", 10, 0.88)]
    ordered = choose(chooser, options, target=target, can_escalate=can_escalate)
    assert names(ordered) == expected
    assert len(ordered.chosen) + len(ordered.rejected) == 2


def test_cascade_cost_includes_the_second_call_at_the_weak_rate():
    plans = candidate_plans(
        [option("a", 10, 0.88), option("b", 100, 0.95)],
        request_class=CLASS,
        weak_rates=weak_rates("a", 0.3),
        quality_target=0.9,
        can_escalate=True,
    )
    costs = {tuple(o.version.id for o in plan.options): plan.cost for plan in plans}
    assert costs[("a",)] == 10
    assert costs[("a", "b")] == pytest.approx(10 + 0.3 * 100, abs=2)


def test_replaced_answers_count_as_bad_for_a_single_version():
    rates = weak_rates("a", 0.2)
    chooser = CascadeChooser(weak_rates=rates, exploration_rate=0.0)
    options = [option("a", 10, 0.95), option("b", 100, 0.96)]
    assert names(choose(chooser, options, target=0.85)) == ("b",)
    add_single_answers(rates, "a")
    options = list(map(replace, options))
    assert names(choose(chooser, options, target=0.85)) == ("a",)


def test_rejected_options_carry_their_exclusion():
    options = [option("a", 10, 0.7), option("b", 20, 0.9), option("c", 30, 0.95)]
    ordered = choose(CascadeChooser(exploration_rate=0.0), options, target=0.85)
    exclusions = {item.version.id: exclusion for item, exclusion in ordered.rejected}
    assert exclusions == {
        "a": Exclusion.BELOW_QUALITY_TARGET,
        "c": Exclusion.COSTLIER,
    }


@pytest.mark.parametrize(
    ("mean", "min_explored", "max_explored"), [(0.84, 60, 140), (0.5, 0, 0)]
)
def test_explores_a_bounded_share_and_only_within_the_margin(
    mean, min_explored, max_explored
):
    chooser = CascadeChooser(exploration_rate=0.02)
    options = [option("a", 10, mean), option("b", 100, 0.95)]
    random = Random(3)
    explored = sum(
        names(
            chooser.order(
                options,
                request_class=CLASS,
                quality_target=0.85,
                can_escalate=False,
                random=random,
            )
        )
        == ("a",)
        for _ in range(5_000)
    )
    assert min_explored <= explored <= max_explored


def test_trusted_version_is_used_until_its_mean_falls_below_the_target():
    chooser = CascadeChooser(exploration_rate=0.0)
    expensive = option("b", 100, 0.95)
    steps = [(0.86, 0.84, "b"), (0.87, 0.86, "a"), (0.86, 0.84, "a")]
    steps += [(0.849, 0.83, "b"), (0.86, 0.84, "b")]
    for mean, lower, expected in steps:
        options = [option("a", 10, mean, lower), expensive]
        assert names(choose(chooser, options, target=0.85)) == (expected,)


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (Answer(tokens=10), False),
        (Answer(tokens=0), True),
        (Answer(tokens=10, is_truncated=True), True),
        (Answer(tokens=10, confidence=0.4), True),
        (Answer(tokens=10, confidence=0.5), False),
    ],
)
def test_empty_truncated_and_low_confidence_answers_are_weak(answer, expected):
    assert is_weak(answer) is expected


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (b'{"choices":[{"finish_reason":"stop"}],"confidence":0.9}', False),
        (b'{"choices":[{"finish_reason":"stop"}],"confidence":0.1}', True),
        (b'{"choices":[{"finish_reason":"length"}]}', True),
        (b'{"choices":[{}],"usage":{"completion_tokens":0}}', True),
        (b'{"choices":[{}]}', False),
        (b"data: not JSON", False),
        (b"", True),
    ],
)
def test_reads_weakness_from_a_completion_body(body, expected):
    assert is_weak(read_answer(body)) is expected


def test_removed_versions_return_to_the_prior_rate():
    rates = weak_rates("a", 0.9)
    rates.retain(frozenset({VersionId("b")}))
    assert rates.weak_rate(VersionId("a"), CLASS) == pytest.approx(0.1)
