"""Load pattern: long prompts whose two runs in a cascade do not both start in time."""

from types import SimpleNamespace
from typing import Any

import pytest

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.forwarding import CascadeTimes, LatencyEstimator, ModelChoice

ROUTE: Any = SimpleNamespace(name="r", models=("small", "middle", "large"))


@pytest.mark.parametrize(
    ("smallest", "largest", "left", "backlog", "expected"),
    [
        # Both runs start in time.
        (200, 900, 2_000, 0.0, "small"),
        # Only one of them does, and nothing is known of the confidence yet.
        (700, 1_600, 2_000, 0.0, "large"),
        # Neither order is in time; the smallest model at least answers in time.
        (700, 1_900, 2_000, 0.0, "small"),
        # Requests wait at every endpoint.
        (700, 1_600, 2_000, 0.3, "small"),
        # Too few answers have been observed.
        (None, 1_600, 2_000, 0.0, "small"),
        (700, None, 2_000, 0.0, "small"),
    ],
)
def test_first_model(
    smallest: float | None,
    largest: float | None,
    left: float,
    backlog: float,
    expected: str,
) -> None:
    times = CascadeTimes(
        smallest=smallest, largest=largest, left=left, relative_backlog=backlog
    )
    assert ModelChoice().first(ROUTE, times) == expected


@pytest.mark.parametrize(("is_weak", "expected"), [(True, "large"), (False, "small")])
def test_largest_model_is_first_only_where_weak_answers_are_common(
    is_weak: bool, expected: str
) -> None:
    choice = ModelChoice()
    for _ in range(60):
        choice.record_smallest(ROUTE, is_weak=is_weak)
    times = CascadeTimes(smallest=700, largest=1_600, left=2_000, relative_backlog=0)
    assert choice.first(ROUTE, times) == expected


@pytest.mark.parametrize("models", [(), ("only",)])
def test_route_without_a_cascade(models: tuple[str, ...]) -> None:
    route: Any = SimpleNamespace(name="r", models=models)
    times = CascadeTimes(smallest=700, largest=1_600, left=2_000, relative_backlog=0)
    assert ModelChoice().first(route, times) == (models[0] if models else None)


def test_unanswered_attempts_lengthen_the_timeout() -> None:
    """
    Guards against timeouts that only the fast answers pass.

    Prompts whose shared part is not cached take four times as long as the others.
    Without their times, the timeout would stay below what they take.
    """
    latencies = LatencyEstimator()
    for _ in range(20):
        latencies.add("r", "large", 18_000, Milliseconds(400))
    timeout = latencies.upper("r", "large", 18_000, deviations=6.0)
    attempts = 0
    while timeout is not None and timeout < 1_600:
        latencies.add_unanswered("r", "large", 18_000, Milliseconds(round(timeout)))
        timeout = latencies.upper("r", "large", 18_000, deviations=6.0)
        attempts += 1
        assert attempts <= 10


def test_attempt_that_was_given_up_early_does_not_count_as_a_fast_answer() -> None:
    latencies = LatencyEstimator()
    for _ in range(20):
        latencies.add("r", "large", 18_000, Milliseconds(400))
    latencies.add_unanswered("r", "large", 18_000, Milliseconds(100))
    assert latencies.mean("r", "large", 18_000) == pytest.approx(400)
