"""Answers cut at a stop are reported, unless a reason excuses the cut."""

from types import SimpleNamespace

import pytest

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.platform.tests.recording_endpoint import Run
from fuchsiaroute.platform.tests.soak_platform import (
    GRACE,
    KEY,
    LONG_TIMEOUT,
    LOSS_SLACK,
    POOL,
    RouteKind,
)
from soak._evidence import Evidence
from soak._record import STORE, CallerRequest, Record
from soak._stop_checks import check_stops, check_unread

STOPPED_AT = Milliseconds(100_000)
#: The default request of these tests is cut this long after SIGTERM.
CUT_AFTER = Milliseconds(5_000)


def from_stop(time: int) -> Milliseconds:
    return Milliseconds(STOPPED_AT + time)


def evidence_of(
    request: dict[str, object], *runs: dict[str, object], record: Record | None = None
) -> Evidence:
    """Return the record of one request, by default a stream cut at a stop."""
    values = {
        "request_id": "q1",
        "kind": RouteKind.LONG,
        "path": "/long/q1/100",
        "key": KEY,
        "events": 100,
        "instance": "n0",
        "process_index": 0,
        "sent_at": from_stop(-1_000),
        "ended_at": from_stop(CUT_AFTER),
        "status": 200,
        "is_signed": True,
        "is_closed": True,
    }
    run_values = {
        "request_id": "q1",
        "endpoint": "e1",
        "service": POOL,
        "version": "v1",
        "received_at": from_stop(-900),
        "ended_at": from_stop(CUT_AFTER),
    }
    record = record or Record()
    record.requests.append(CallerRequest(**(values | request)))  # type: ignore[arg-type]
    instance = SimpleNamespace(name="n0", stopped_at={0: STOPPED_AT})
    return Evidence(
        record,
        [Run(**(run_values | run)) for run in runs],  # type: ignore[arg-type]
        [instance],  # type: ignore[list-item]
    )


# Guards against a soak that does not see answers that a stop cuts.
@pytest.mark.parametrize(
    ("request_changes", "run_changes"),
    [
        pytest.param({}, {}, id="begun before SIGTERM"),
        pytest.param({"status": None}, {}, id="unanswered"),
        pytest.param({"kind": RouteKind.LARGE}, {}, id="not a stream"),
        pytest.param({}, {"ended_at": from_stop(0)}, id="endpoint had finished"),
        pytest.param({}, {"is_rejected": True}, id="rejected, then closed"),
        pytest.param(
            {"sent_at": from_stop(3_001), "ended_at": from_stop(7_700)},
            {"ended_at": from_stop(7_700)},
            id="sent late, still at work in the last sixth",
        ),
        pytest.param(
            {"sent_at": from_stop(3_000), "ended_at": from_stop(6_600)},
            {"ended_at": from_stop(6_600)},
            id="sent early, cut before the last sixth",
        ),
        pytest.param(
            {"ended_at": from_stop(GRACE + 1_000)},
            {"ended_at": from_stop(GRACE * 5 // 6 - 1)},
            id="last moment that belongs to the stop",
        ),
    ],
)
def test_cut_answer_is_reported(
    request_changes: dict[str, object], run_changes: dict[str, object]
) -> None:
    assert len(list(check_stops(evidence_of(request_changes, run_changes)))) == 1


# Guards against reports of cuts that no instance can avoid.
@pytest.mark.parametrize(
    ("request_changes", "run_changes"),
    [
        pytest.param({"is_closed": False}, {}, id="no closed connection"),
        pytest.param({"is_abandoned": True}, {}, id="caller disconnected"),
        pytest.param({}, {"is_broken_off": True}, id="endpoint broke off"),
        pytest.param(
            {"sent_at": from_stop(CUT_AFTER - LONG_TIMEOUT)}, {}, id="time was over"
        ),
        pytest.param(
            {"sent_at": from_stop(3_000), "ended_at": from_stop(7_700)},
            {"ended_at": from_stop(GRACE * 5 // 6 + 1)},
            id="sent early, still at work in the last sixth",
        ),
        pytest.param(
            {"ended_at": from_stop(7_700)}, {"ended_at": None}, id="run never ended"
        ),
        pytest.param({"ended_at": from_stop(-1)}, {}, id="before SIGTERM"),
        pytest.param({"ended_at": from_stop(GRACE + 1_001)}, {}, id="after the stop"),
        pytest.param({"instance": "n1"}, {}, id="another instance stopped"),
    ],
)
def test_excused_cut_is_not_reported(
    request_changes: dict[str, object], run_changes: dict[str, object]
) -> None:
    evidence = evidence_of(request_changes, run_changes)
    assert list(check_stops(evidence)) == []
    assert list(check_unread(evidence)) == []


# Guards against an excuse by an earlier run: its endpoint has been replaced since.
def test_only_the_last_run_excuses_as_broken_off() -> None:
    broken = {"received_at": from_stop(-900), "is_broken_off": True}
    sound = {"received_at": from_stop(-500), "endpoint": "e2"}
    assert len(list(check_stops(evidence_of({}, sound, broken)))) == 1


# Guards against an excuse that counts from the stop of another process.
@pytest.mark.parametrize(
    ("process_index", "is_reported"),
    [
        pytest.param(0, False, id="not stopped"),
        pytest.param(1, False, id="early, cut in the last sixth"),
        pytest.param(2, True, id="early, cut soon after SIGTERM"),
    ],
)
def test_cut_belongs_to_the_stop_of_its_process(
    process_index: int, is_reported: bool
) -> None:
    ended_at = from_stop(7_400)
    evidence = evidence_of(
        {"ended_at": ended_at, "process_index": process_index}, {"ended_at": ended_at}
    )
    evidence.instances[0].stopped_at = {1: STOPPED_AT, 2: from_stop(2_000)}
    assert len(list(check_stops(evidence))) == is_reported


# Guards against reports of what a fault has cut, and against an excuse by planned work.
@pytest.mark.parametrize(
    ("name", "begin", "end", "is_planned", "kind", "is_reported"),
    [
        ("n0", -5_000, -4_000, False, RouteKind.LONG, False),
        ("n0", -5_000, -4_001, False, RouteKind.LONG, True),
        ("n0", 5_000, 9_000, False, RouteKind.LONG, False),
        ("n0", 5_001, 9_000, False, RouteKind.LONG, True),
        ("n0", 0, 9_000, True, RouteKind.LONG, True),
        ("n1", 0, 9_000, False, RouteKind.LONG, True),
        ("e1", 0, 9_000, False, RouteKind.LONG, False),
        ("e2", 0, 9_000, False, RouteKind.LONG, True),
        (STORE, 0, 9_000, False, RouteKind.LONG, False),
        (STORE, 0, 9_000, False, RouteKind.LARGE, True),
    ],
)
def test_unplanned_disturbance_excuses_a_cut(
    name: str,
    begin: int,
    end: int,
    is_planned: bool,
    kind: RouteKind,
    is_reported: bool,
) -> None:
    record = Record()
    record.disturbances.add(
        name, from_stop(begin), from_stop(end), is_planned=is_planned
    )
    found = list(check_stops(evidence_of({"kind": kind}, {}, record=record)))
    assert len(found) == is_reported


# Guards against reports of requests that the close has crossed.
@pytest.mark.parametrize(
    ("took", "is_refused", "is_reported"),
    [
        (LOSS_SLACK, False, False),
        (LOSS_SLACK + 1, False, True),
        (LOSS_SLACK + 1, True, False),
    ],
)
def test_request_without_a_run_is_reported_if_the_close_came_late(
    took: Milliseconds, is_refused: bool, is_reported: bool
) -> None:
    request = {
        "is_refused": is_refused,
        "sent_at": from_stop(100),
        "ended_at": from_stop(100 + took),
        "status": None,
    }
    evidence = evidence_of(request)
    assert list(check_stops(evidence)) == []
    assert len(list(check_unread(evidence))) == is_reported
