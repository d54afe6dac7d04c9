"""Event splitting, latency estimates and retry budgets, without a network."""

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.forwarding import LatencyEstimator
from fuchsiaroute.forwarding._events import (
    EventOutOfOrderError,
    EventSplitter,
    EventTooLongError,
)
from fuchsiaroute.retry import WindowedRetryBudget

STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nx-weights: 4\nid: 3\ndata: c\n\n"


@pytest.mark.parametrize("size", [1, 2, 7, 1_000])
def test_events_are_returned_complete_for_any_chunk_size(size: int) -> None:
    splitter = EventSplitter()
    returned = b""
    for start in range(0, len(STREAM), size):
        part = splitter.feed(STREAM[start : start + size])
        assert not part or part.endswith((b"\n\n", b"\r\n\r\n"))
        returned += part
    assert returned == STREAM
    assert (splitter.last_id, splitter.count) == (b"3", 3)


def test_incomplete_event_is_held_back_and_discarded_on_resumption() -> None:
    splitter = EventSplitter()
    assert splitter.feed(STREAM[:20]) == STREAM[:15]
    assert splitter.last_id == b"1"
    splitter.begin_rest()
    assert splitter.feed(STREAM[15:]) == STREAM[15:]


@pytest.mark.parametrize(
    ("rest", "is_rest"),
    [
        (b"id: 2\ndata: b\n\nid: 5\ndata: c\n\n", True),
        (b": comment\n\nid: 2\ndata: b\n\n", True),
        (b"x-weights: 4\r\nid: 2\r\ndata: b\r\n\r\n", True),
        (b"id: 1\ndata: a\n\n", False),
        (b"id: 2\ndata: b\n\nid: 2\ndata: b\n\n", False),
        (b"id: x\ndata: b\n\n", False),
        (b"event: error\ndata: out of memory\n\n", False),
        (b"out of memory\n\n", False),
    ],
)
def test_rest_of_a_stream_follows_its_last_event(rest: bytes, is_rest: bool) -> None:
    """Guards against pieces that come twice, and errors in a stream (ORDER)."""
    splitter = EventSplitter()
    splitter.feed(STREAM[:20])
    splitter.begin_rest()
    if is_rest:
        assert splitter.feed(rest) == rest
        return
    with pytest.raises(EventOutOfOrderError):
        splitter.feed(rest)
    assert splitter.last_id == b"1"
    assert not splitter.has_incomplete


def test_stream_without_event_boundaries_raises() -> None:
    splitter = EventSplitter()
    with pytest.raises(EventTooLongError):
        for _ in range(2_000):
            splitter.feed(b"x" * 1_000)


def test_latencies_are_comparable_across_prompt_sizes() -> None:
    latencies = LatencyEstimator()
    assert latencies.mean("k", "m", 100) is None
    for tokens in (0, 2_000, 6_000, 8_000, 18_000):
        latencies.add("k", "m", tokens, Milliseconds((2_000 + tokens) // 20))
    assert latencies.mean("k", "m", 8_000) == pytest.approx(500)
    assert latencies.mean("k", "other", 8_000) is None
    upper = latencies.upper("k", "m", 8_000, deviations=6.0)
    assert upper is not None
    assert upper > 500


@pytest.mark.parametrize("instances", [1, 8, 85, 195, 300, 1_000])
def test_retries_of_all_instances_stay_within_the_bound(instances: int) -> None:
    """Guards against retry storms: half of the endpoints fail, all requests retry."""
    clock = ManualClock()
    window = Milliseconds(10_000)
    budgets = [
        WindowedRetryBudget(
            clock=clock, window=window, ratio=0.8, slack=lambda: 40.0 / instances
        )
        for _ in range(instances)
    ]
    requests: list[int] = []
    retries: list[int] = []
    for step in range(400):
        for budget in budgets:
            if step % 3 == 0:
                budget.record_first_attempt()
                requests.append(clock.now())
            if budget.spend():
                retries.append(clock.now())
        clock.tick(Milliseconds(100))
    for end in range(10_000, 40_000, 500):
        start = clock.now() - 40_000 + end - window
        retries_in_window = sum(1 for at in retries if start < at <= start + window)
        requests_in_window = sum(1 for at in requests if start < at <= start + window)
        assert retries_in_window <= 0.9 * requests_in_window + 56
    assert retries


def test_budget_reserve_is_left_to_retries_without_reserve_share() -> None:
    budget = WindowedRetryBudget(
        clock=ManualClock(),
        window=Milliseconds(10_000),
        ratio=1.0,
        slack=lambda: 0.0,
    )
    for _ in range(10):
        budget.record_first_attempt()
    spent = sum(budget.spend(reserve_share=0.2) for _ in range(20))
    assert spent == 8
    assert sum(budget.spend() for _ in range(20)) == 2


def test_spent_retries_leave_the_window() -> None:
    """Guards against a budget that stays exhausted after one bad window."""
    clock = ManualClock()
    budget = WindowedRetryBudget(
        clock=clock, window=Milliseconds(10_000), ratio=0.0, slack=lambda: 3.0
    )
    assert sum(budget.spend() for _ in range(10)) == 3
    clock.tick(Milliseconds(9_999))
    assert not budget.spend()
    clock.tick(Milliseconds(1))
    assert sum(budget.spend() for _ in range(10)) == 3
    clock.tick(Milliseconds(5_000))
    assert not budget.spend()
