"""
Answers of a larger model that cannot end before their deadline.

Guards against callers that wait for a better answer until their deadline, and get
nothing, while a whole one was ready.
"""

from types import SimpleNamespace
from typing import Any

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.contention import backlog_limits
from fuchsiaroute.deployment import RequestKind
from fuchsiaroute.forwarding import LatencyEstimator
from fuchsiaroute.forwarding._attempt_estimates import (
    MAX_ESCALATION_SHARE,
    AttemptEstimates,
)
from fuchsiaroute.forwarding._stream_durations import StreamDurations
from fuchsiaroute.ids import ModelId, ServiceId

LARGE = ModelId("large")
ROUTE = "r"


def streams(per_token: int, *, count: int = 20) -> StreamDurations:
    durations = StreamDurations()
    for _ in range(count):
        durations.add(ROUTE, LARGE, 100, Milliseconds(100 * per_token))
    return durations


def call(*, remaining: int, hint: int | None = 100, most: int = 400) -> Any:
    return SimpleNamespace(
        service=ServiceId("models"),
        session=1,
        rollout_key=0,
        priority=0,
        possible_runs=1,
        inbound=SimpleNamespace(arrived_at=Milliseconds(0)),
        route=SimpleNamespace(
            name=ROUTE,
            kind=RequestKind.STREAMING,
            latency_target=Milliseconds(2_000),
            models=("small", LARGE),
            is_repeatable=True,
            max_attempts=3,
        ),
        fields=SimpleNamespace(
            expected_output_tokens=hint, max_output_tokens=most, prompt_tokens=1_000
        ),
        remaining=lambda clock: Milliseconds(remaining),
    )


def estimates(durations: StreamDurations, *, backlog: float) -> AttemptEstimates:
    latencies = LatencyEstimator()
    for _ in range(20):
        latencies.add(ROUTE, LARGE, 1_000, Milliseconds(500))
    pool: Any = SimpleNamespace(
        min_backlog=lambda service, versions: backlog,
        versions=lambda service: frozenset(),
    )
    tracker: Any = SimpleNamespace(allowed_versions=lambda *args, **options: None)
    return AttemptEstimates(
        pool=pool,
        tracker=tracker,
        latencies=latencies,
        streams=durations,
        limits=lambda: backlog_limits(()),
        clock=ManualClock(),
    )


@pytest.mark.parametrize(
    ("per_token", "remaining", "hint", "backlog", "expected"),
    [
        # 500 ms to the first event and 1,000 ms to the end.
        (10, 2_000, 100, 0, True),
        (10, 1_600, 100, 0, False),
        # Engines that are slow under load, a long answer, a queue.
        (30, 2_000, 100, 0, False),
        (10, 2_000, 200, 0, False),
        (10, 2_000, 100, 400, False),
        # Without a hint, the caller's maximum counts.
        (10, 2_000, None, 0, False),
        (10, 6_000, None, 0, True),
    ],
)
def test_whole_answer_is_expected(
    per_token: int, remaining: int, hint: int | None, backlog: float, expected: bool
) -> None:
    found = estimates(streams(per_token), backlog=backlog)
    assert found.can_finish(call(remaining=remaining, hint=hint), LARGE) is expected


def test_unknown_model_is_tried() -> None:
    found = estimates(streams(30, count=2), backlog=0)
    assert found.can_finish(call(remaining=100), LARGE)


@pytest.mark.parametrize("backlog", [0, 5_000])
def test_better_answer_leaves_time_for_the_weak_one(backlog: float) -> None:
    """Guards against a wait until the deadline where the endpoints are loaded."""
    found = estimates(streams(10), backlog=backlog)
    timeout = found.head_timeout(
        call(remaining=1_000), LARGE, backlog, is_escalation=True
    )
    assert timeout <= 1_000 * MAX_ESCALATION_SHARE


def test_streams_that_were_cut_count_as_slow() -> None:
    """Guards against an estimate that knows only the streams that were fast enough."""
    durations = streams(10)
    before = durations.expected(ROUTE, LARGE, 100)
    durations.add_unfinished(ROUTE, LARGE, 100, Milliseconds(500))
    assert durations.expected(ROUTE, LARGE, 100) == before
    durations.add_unfinished(ROUTE, LARGE, 100, Milliseconds(5_000))
    after = durations.expected(ROUTE, LARGE, 100)
    assert before is not None and after is not None and after > before


@pytest.mark.parametrize("tokens", [0, -5, 10**18])
def test_absurd_lengths_are_bounded(tokens: int) -> None:
    durations = streams(10)
    durations.add(ROUTE, LARGE, tokens, Milliseconds(1_000))
    expected = durations.expected(ROUTE, LARGE, 100)
    assert expected is not None and 0 < expected < 100_000
