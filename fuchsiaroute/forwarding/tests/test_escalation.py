"""Whether a weak answer is followed by a larger model's."""

from types import SimpleNamespace
from typing import Any

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.forwarding import AttemptRunner
from fuchsiaroute.retry import WindowedRetryBudget


def runner(*, is_stopping: bool = False, budget: int = 100) -> AttemptRunner:
    unused: dict[str, Any] = dict.fromkeys(
        (
            "pool",
            "queue",
            "client",
            "tracker",
            "latencies",
            "speeds",
            "counters",
            "clock",
            "log",
            "on_session",
            "admission",
            "quarantine",
            "is_refused",
            "limits",
        )
    )
    return AttemptRunner(
        **unused,
        new_budget=lambda: WindowedRetryBudget(
            clock=ManualClock(),
            window=Milliseconds(10_000),
            ratio=0.0,
            slack=lambda: float(budget),
        ),
        is_stopping=lambda: is_stopping,
    )


@pytest.mark.parametrize(
    ("runs", "is_resumable", "is_stopping", "expected"),
    [
        (1, True, False, True),
        # The larger model's stream could not be resumed if it broke.
        (2, True, False, False),
        (2, False, False, True),
        (3, False, False, False),
        # An instance that is stopping has no time for a second run.
        (1, True, True, False),
    ],
)
def test_escalation_leaves_an_attempt_for_the_rest_of_the_stream(
    runs: int, is_resumable: bool, is_stopping: bool, expected: bool
) -> None:
    route = SimpleNamespace(
        is_repeatable=True, is_resumable=is_resumable, max_attempts=3
    )
    call: Any = SimpleNamespace(
        route=route, possible_runs=runs, service="s", charged_retries=0
    )
    assert runner(is_stopping=is_stopping).may_escalate(call) is expected


def test_escalations_leave_a_part_of_the_retry_budget() -> None:
    route = SimpleNamespace(is_repeatable=True, is_resumable=True, max_attempts=3)
    call: Any = SimpleNamespace(
        route=route, possible_runs=1, service="s", charged_retries=0
    )
    limited = runner(budget=20)
    assert sum(limited.may_escalate(call) for _ in range(40)) == 19
