"""Callers that read slowly, and callers that read nothing."""

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.http1._unread_watch import MIN_UNREAD_TIMEOUT, UnreadWatch

STEP = Milliseconds(500)
IDLE_TIMEOUT = Milliseconds(15_000)


@pytest.mark.parametrize(
    ("taken_in_a_step", "written_in_a_step", "is_stalled"),
    [
        # Nothing is read, whether more is written or not.
        (0, 0, True),
        (0, 100, True),
        # A few bytes are read, although more is written than that.
        (1, 100, False),
        (1, 0, False),
    ],
)
def test_slow_callers_are_told_from_those_that_read_nothing(
    taken_in_a_step: int, written_in_a_step: int, is_stalled: bool
) -> None:
    clock = ManualClock()
    watch = UnreadWatch(clock=clock)
    written = unsent = 10_000
    found = False
    for _ in range(MIN_UNREAD_TIMEOUT // STEP + 2):
        written += written_in_a_step
        unsent += written_in_a_step - taken_in_a_step
        found = watch.is_stalled(
            written=written, unsent=unsent, idle_timeout=IDLE_TIMEOUT
        )
        clock.tick(STEP)
    assert found is is_stalled


def test_longer_idle_timeout_counts() -> None:
    clock = ManualClock()
    watch = UnreadWatch(clock=clock)
    longer = Milliseconds(2 * MIN_UNREAD_TIMEOUT)
    for expected in (False, False, True):
        found = watch.is_stalled(written=10, unsent=10, idle_timeout=longer)
        assert found is expected
        clock.tick(Milliseconds(MIN_UNREAD_TIMEOUT + 1))


def test_idle_connection_is_never_stalled() -> None:
    """Guards against a kept connection that is reset as it has nothing to send."""
    clock = ManualClock()
    watch = UnreadWatch(clock=clock)
    clock.tick(Milliseconds(10 * MIN_UNREAD_TIMEOUT))
    assert not watch.is_stalled(written=10, unsent=0, idle_timeout=IDLE_TIMEOUT)
