"""Versions that sessions are bound to, by reports that arrive in any order."""

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.ids import VersionId
from fuchsiaroute.staging._sessions import SessionVersions

OLD, NEW = VersionId("v1"), VersionId("v2")
PAUSE = Milliseconds(5_000)


@pytest.mark.parametrize(
    ("reports", "expected"),
    [
        ([(OLD, 0)], OLD),
        ([(OLD, 900), (NEW, 0)], NEW),
        # A peer's report of an earlier request arrives after a later one.
        ([(NEW, 0), (OLD, 900)], NEW),
        ([(NEW, 300), (OLD, 900), (NEW, 200), (OLD, 600)], NEW),
        # Two reports of one instant: the first one stays.
        ([(NEW, 0), (OLD, 0)], NEW),
        ([(NEW, 6_000)], None),
    ],
)
def test_latest_request_decides_the_version(
    reports: list[tuple[VersionId, int]], expected: VersionId | None
) -> None:
    """Guards against a session that turns back to its former version."""
    sessions = SessionVersions(clock=ManualClock(), pause=PAUSE)
    for version, age in reports:
        sessions.record_served(1, version, age=Milliseconds(age))
    assert sessions.version(1) == expected


def test_older_report_does_not_change_the_order_of_recent_sessions() -> None:
    clock = ManualClock()
    sessions = SessionVersions(clock=clock, pause=PAUSE)
    for session in (1, 2, 3):
        sessions.record_served(session, NEW)
        clock.tick(Milliseconds(100))
    sessions.record_served(1, OLD, age=Milliseconds(4_000))
    assert [session for session, _ in sessions.recent()] == [3, 2, 1]


def test_expired_sessions_are_removed() -> None:
    clock = ManualClock()
    sessions = SessionVersions(clock=clock, pause=PAUSE)
    for session in range(50):
        sessions.record_served(session, OLD)
    clock.tick(Milliseconds(10_000))
    sessions.record_served(99, NEW)
    assert [session for session, _ in sessions.recent()] == [99]
    assert len(sessions._bindings) == 1


def test_sessions_up_to_the_longest_pause_are_reported() -> None:
    """Guards against a session that changes version at another instance (review/5)."""
    clock = ManualClock()
    sessions = SessionVersions(clock=clock, pause=Milliseconds(8_500))
    sessions.record_served(1, OLD)
    clock.tick(Milliseconds(8_400))
    assert [session for session, _ in sessions.take_reports(any_, limit=40)] == [1]


def any_(session: int) -> bool:
    return True


@pytest.mark.parametrize("others", [0, 300])
def test_own_sessions_are_all_reported_soon_among_many(others: int) -> None:
    """Guards against sessions beyond the latest ones of a message (review/5)."""
    sessions = SessionVersions(clock=ManualClock(), pause=PAUSE)
    for session in range(100):
        sessions.record_served(session, OLD)
    for session in range(1_000, 1_000 + others):
        sessions.record_served(session, OLD, is_own=False)
    told: set[int] = set()
    for _ in range(3):
        told |= {name for name, _ in sessions.take_reports(any_, limit=40)}
    assert told >= set(range(100))
    assert len(told) <= 120


def test_session_that_is_served_again_is_reported_first() -> None:
    clock = ManualClock()
    sessions = SessionVersions(clock=clock, pause=PAUSE)
    for session in range(10):
        sessions.record_served(session, OLD)
    sessions.take_reports(any_, limit=10)
    clock.tick(Milliseconds(100))
    sessions.record_served(7, NEW)
    assert [name for name, _ in sessions.take_reports(any_, limit=1)] == [7]
    assert [
        name for name, _ in sessions.take_reports(lambda name: name == 3, limit=9)
    ] == [3]
