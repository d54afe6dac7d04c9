"""Evidence on several measures of one roll-out."""

import pytest

from fuchsiaroute.ids import RequestClass, RolloutId, VersionId
from fuchsiaroute.staging import Measure, RolloutCounts, speed_class
from fuchsiaroute.staging._measures import parse_class

OLD, NEW = VersionId("v1"), VersionId("v2")


@pytest.mark.parametrize(
    ("name", "route", "measure"),
    [
        ("r", "r", Measure.ANSWER),
        # Counted by instances of a former version.
        ("r:latency", "r:latency", Measure.ANSWER),
        ("r:start", "r:start", Measure.ANSWER),
        ("r:start:x", "r:start:x", Measure.ANSWER),
        ("r:answer:0", "r:answer:0", Measure.ANSWER),
        (speed_class("r", Measure.START, stage=0), "r", Measure.START),
        (speed_class("r:pace:1", Measure.START, stage=2), "r:pace:1", Measure.START),
        (speed_class("r", Measure.PACE, stage=1), "r", Measure.PACE),
    ],
)
def test_route_and_measure_of_a_class(name: str, route: str, measure: Measure) -> None:
    assert parse_class(RequestClass(name)) == (route, measure)


def counts(**bad_by_class: tuple[int, int, int, int]) -> RolloutCounts:
    """Return counts from (bad, all) of the target and (bad, all) of the base."""
    result = RolloutCounts(RolloutId("o"), target=NEW)
    for name, (target_bad, target, base_bad, base) in bad_by_class.items():
        request_class = RequestClass(name.replace("_", ":"))
        for number in range(target):
            result.add(request_class, NEW, is_bad=number < target_bad)
        for number in range(base):
            result.add(request_class, OLD, is_bad=number < base_bad)
    return result


@pytest.mark.parametrize(
    ("bad_by_class", "is_bad"),
    [
        ({"r_pace_0": (10, 10, 10, 150)}, True),
        # A measure in which the target is no worse must not outweigh another.
        ({"r_pace_0": (10, 10, 10, 150), "r_start_0": (2, 30, 75, 300)}, True),
        ({"r_pace_0": (10, 10, 10, 150), "r": (0, 30, 20, 300)}, True),
        # The same holds for routes.
        ({"r_pace_0": (10, 10, 10, 150), "q_pace_0": (2, 30, 75, 300)}, True),
        ({"r": (9, 16, 0, 90), "q": (2, 40, 30, 300)}, True),
        ({"r": (8, 30, 0, 300), "r_pace_0": (1, 20, 50, 200)}, True),
        ({"r_pace_0": (2, 2, 0, 150), "r_start_0": (2, 2, 0, 150)}, False),
        ({"r_pace_0": (3, 30, 30, 300), "r_start_0": (4, 30, 40, 300)}, False),
        # The share of slow answers and the target's share of requests both grow.
        ({"r_pace_0": (2, 40, 20, 400), "r_pace_2": (36, 60, 24, 40)}, False),
        ({}, False),
    ],
)
def test_each_measure_is_evidence_by_itself(
    bad_by_class: dict[str, tuple[int, int, int, int]], is_bad: bool
) -> None:
    """Guards against a slow version that is kept because it answers without errors."""
    assert counts(**bad_by_class).is_bad() is is_bad
