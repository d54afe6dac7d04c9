"""Which requests a stopping instance admits, and when it may exit."""

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.draining import (
    EXIT_MARGIN,
    LATE_ARRIVAL,
    MIN_DRAIN_TIME,
    MIN_SEND_TIME,
    SIGKILL_MARGIN,
    Drain,
    Phase,
)

GRACE = Milliseconds(8_000)


def drain_at(
    after: int | None, *, longest: float | None = None
) -> tuple[Drain, ManualClock]:
    """Return a drain ``after`` milliseconds of a shutdown; None for none."""
    clock = ManualClock()
    drain = Drain(clock=clock, longest=lambda route: longest)
    if after is not None:
        drain.begin(grace=GRACE, signalled_at=clock.now())
        clock.tick(Milliseconds(after))
    return drain, clock


@pytest.mark.parametrize(
    ("after", "phase", "may_exit"),
    [
        (None, Phase.SERVING, False),
        (0, Phase.DRAINING, False),
        (LATE_ARRIVAL, Phase.DRAINING, False),
        (LATE_ARRIVAL + 1, Phase.DRAINING_LATE, False),
        (MIN_DRAIN_TIME, Phase.DRAINING_LATE, True),
        (7_499, Phase.DRAINING_LATE, True),
        (7_500, Phase.ENDED, True),
    ],
)
def test_phase_and_exit_follow_the_time_since_the_signal(
    after: int | None, phase: Phase, may_exit: bool
) -> None:
    drain, _ = drain_at(after)
    assert (drain.phase, drain.may_exit()) == (phase, may_exit)


# Streams that took longer than the time until the exit were admitted and then cut.
@pytest.mark.parametrize(
    ("after", "is_stream", "deadline", "longest", "expected"),
    [
        # Nothing is known of the route but its latency target of 400 ms.
        (500, False, 25_000, None, True),
        (7_200, False, 25_000, None, False),
        (None, True, 25_000, 15_000.0, True),
        # What is known to be short is admitted; a deadline is a bound as well.
        (500, True, 25_000, 5_000.0, True),
        (500, True, 25_000, 9_000.0, False),
        (500, True, 25_000, None, False),
        (500, True, 5_000, None, True),
        (500, True, 5_000, 9_000.0, True),
        # Later, only the deadline of a stream is certain.
        (3_001, True, 8_000, 1_000.0, False),
        (3_001, True, 4_000, 9_000.0, True),
        (3_001, False, 8_000, 1_000.0, True),
        (3_001, False, 8_000, 5_000.0, False),
        (7_300, False, 4_000, 100.0, True),
        (7_300, False, 4_000, 300.0, False),
        (7_500, False, 4_000, 0.0, False),
    ],
)
def test_request_is_admitted_only_if_it_ends_before_the_exit(
    after: int | None,
    is_stream: bool,
    deadline: int,
    longest: float | None,
    expected: bool,
) -> None:
    drain, _ = drain_at(after, longest=longest)
    assert (
        drain.admits(
            "route",
            is_stream=is_stream,
            deadline=Milliseconds(deadline),
            latency_target=Milliseconds(400),
        )
        is expected
    )


def test_nothing_is_admitted_after_an_early_end() -> None:
    drain, _ = drain_at(4_000, longest=10.0)
    drain.end()
    assert drain.phase is Phase.ENDED
    assert not drain.admits("route", is_stream=False, deadline=Milliseconds(10))


# The grace was counted from the handling of the signal, which a busy event loop delays.
def test_grace_is_counted_from_the_signal() -> None:
    clock = ManualClock()
    drain = Drain(clock=clock, longest=lambda route: None)
    signalled_at = clock.now()
    clock.tick(Milliseconds(1_000))
    drain.begin(grace=GRACE, signalled_at=signalled_at)
    assert drain.time_left() == GRACE - SIGKILL_MARGIN - 1_000
    assert drain.since_begin(clock.now()) == 1_000


def test_short_grace_ends_before_the_minimum_drain_time() -> None:
    clock = ManualClock()
    drain = Drain(clock=clock, longest=lambda route: None)
    drain.begin(grace=Milliseconds(2_000), signalled_at=clock.now())
    clock.tick(Milliseconds(1_500))
    assert drain.may_exit()


@pytest.mark.parametrize(
    ("after", "expected"),
    [
        # What is left until shortly before SIGKILL, and a minimum after a suspension.
        (3_500, GRACE - EXIT_MARGIN - 3_500),
        (7_500, 400),
        (60_000, MIN_SEND_TIME),
    ],
)
def test_time_to_send_final_responses(after: int, expected: int) -> None:
    drain, _ = drain_at(after)
    drain.end()
    assert drain.time_to_exit() == expected
