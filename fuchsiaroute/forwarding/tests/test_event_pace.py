"""Pace of streams whose gaps other requests lengthen."""

import pytest

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.forwarding._event_pace import EventPace


@pytest.mark.parametrize(
    ("gaps", "pace"),
    [
        ([], None),
        ([20, 20], None),
        ([20, 20, 20], 20.0),
        # Prompts of other requests are read between the events.
        ([20, 300, 20, 300, 20, 20, 300, 20], 20.0),
        ([20, 20, 300, 300, 300], 20.0),
        ([88, 88, 88, 120, 88, 300, 88, 88], 88.0),
        # Only the first gaps count.
        ([20, 20, 20, 20, 20, 20, 20, 20, 500, 500, 500, 500], 20.0),
    ],
)
def test_pace_of_a_stream(gaps: list[int], pace: float | None) -> None:
    """Guards against load that is taken for a slow engine, and the reverse."""
    measured = EventPace()
    now = Milliseconds(1_000)
    measured.record(now, 1)
    for gap in gaps:
        now = Milliseconds(now + gap)
        measured.record(now, 1)
    assert measured.is_known == (len(gaps) >= 8)
    assert measured.take() == pace
    assert measured.take() is None


def test_events_received_together_share_the_gap() -> None:
    measured = EventPace()
    for number in range(4):
        measured.record(Milliseconds(100 * number), 5)
    assert measured.take() == 20.0
