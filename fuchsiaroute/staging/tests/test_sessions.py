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
