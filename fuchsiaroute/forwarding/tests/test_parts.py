"""Parts of the path that need no network."""

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.forwarding import LatencyEstimator
from fuchsiaroute.forwarding._events import EventSplitter, EventTooLongError
from fuchsiaroute.retry import WindowedRetryBudget

STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nx-weights: 4\nid: 3\ndata: c\n\n"


@pytest.mark.parametrize("size", [1, 2, 7, 1_000])
def test_events_pass_whole_whatever_the_parts_they_come_in(size: int) -> None:
    splitter = EventSplitter()
    passed = b""
    for start in range(0, len(STREAM), size):
        part = splitter.feed(STREAM[start : start + size])
        assert not part or part.endswith((b"\n\n", b"\r\n\r\n"))
        passed += part
    assert passed == STREAM
    assert (splitter.last_id, splitter.count) == (b"3", 3)


def test_event_that_is_cut_is_held_back_and_dropped_at_a_resumption() -> None:
    splitter = EventSplitter()
    assert splitter.feed(STREAM[:20]) == STREAM[:15]
    assert splitter.last_id == b"1"
    splitter.restart()
    assert splitter.feed(STREAM[15:]) == STREAM[15:]


def test_stream_without_boundaries_is_given_up() -> None:
    splitter = EventSplitter()
    with pytest.raises(EventTooLongError):
        for _ in range(2_000):
            splitter.feed(b"x" * 1_000)


def test_times_are_comparable_over_prompt_sizes() -> None:
    durations = LatencyEstimator()
    assert durations.mean("k", "m", 100) is None
    for tokens in (0, 2_000, 6_000, 8_000, 18_000):
        durations.add("k", "m", tokens, Milliseconds((2_000 + tokens) // 20))
    assert durations.mean("k", "m", 8_000) == pytest.approx(500)
    assert durations.mean("k", "other", 8_000) is None
    upper = durations.upper("k", "m", 8_000, deviations=6.0)
    assert upper is not None
    assert upper > 500


@pytest.mark.parametrize("instances", [1, 8, 85])
def test_repeats_keep_to_the_bound_over_all_instances(instances: int) -> None:
    """Pattern: half of the endpoints fail and every request asks for a repeat."""
    clock = ManualClock()
    window = Milliseconds(10_000)
    budgets = [
        WindowedRetryBudget(
            clock=clock, window=window, ratio=0.8, slack=lambda: 40.0 / instances
        )
        for _ in range(instances)
    ]
    requests: list[int] = []
    repeats: list[int] = []
    for step in range(400):
        for budget in budgets:
            if step % 3 == 0:
                budget.note_first_attempt()
                requests.append(clock.now())
            if budget.spend():
                repeats.append(clock.now())
        clock.tick(Milliseconds(100))
    for end in range(10_000, 40_000, 500):
        start = clock.now() - 40_000 + end - window
        made = sum(1 for at in repeats if start < at <= start + window)
        asked = sum(1 for at in requests if start < at <= start + window)
        assert made <= 0.9 * asked + 56
    assert repeats


def test_reserve_is_left_to_more_important_repeats() -> None:
    budget = WindowedRetryBudget(
        clock=ManualClock(),
        window=Milliseconds(10_000),
        ratio=1.0,
        slack=lambda: 0.0,
    )
    for _ in range(10):
        budget.note_first_attempt()
    made = sum(budget.spend(reserve_share=0.2) for _ in range(20))
    assert made == 8
    assert sum(budget.spend() for _ in range(20)) == 2
