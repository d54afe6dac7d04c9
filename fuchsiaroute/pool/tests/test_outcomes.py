"""
An endpoint that resets connections, seen by many instances a little each.

Guards against writes that are lost at it for as long as it fails, because no instance
sends it enough requests to find out alone.
"""

from dataclasses import replace
from random import Random

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.ids import EndpointId, InstanceId
from fuchsiaroute.lifecycle import Outcome
from fuchsiaroute.pool import EndpointPool, Outcomes, Reservation
from fuchsiaroute.pool._outcomes import (
    AVOIDANCE_TIME,
    HALF_LIFE,
    MIN_FAILURE_SHARE,
    RecentOutcomes,
    is_failing,
)
from fuchsiaroute.pool.tests.test_pool import DEMAND, SERVICE, endpoint, service

WRITE = replace(DEMAND, is_repeatable=False)
BAD, GOOD = EndpointId("bad"), EndpointId("good")


def pool() -> EndpointPool:
    found = EndpointPool(
        instance=InstanceId("me"), clock=ManualClock(), random=Random(1)
    )
    found.update_services({SERVICE: service()})
    for name in (BAD, GOOD):
        found.announce(endpoint(name, slots=64))
    return found


def send(found: EndpointPool, outcome: Outcome) -> EndpointId:
    reservation = found.choose(WRITE)
    assert isinstance(reservation, Reservation)
    reservation.finish(outcome)
    return reservation.endpoint.id


@pytest.mark.parametrize(
    ("own", "others", "expected"),
    [
        (Outcomes(0, 0), Outcomes(3, 0), True),
        (Outcomes(1, 0), Outcomes(2, 3), True),
        # Too few, or most requests succeed.
        (Outcomes(0, 0), Outcomes(2, 0), False),
        (Outcomes(1, 0), Outcomes(9, 30), False),
        (Outcomes(0, 9), Outcomes(4, 0), False),
        # Only this instance sees failures: its own path may be at fault.
        (Outcomes(20, 0), Outcomes(0, 0), False),
        (Outcomes(20, 0), Outcomes(0, 30), False),
    ],
)
def test_endpoint_is_failing(own: Outcomes, others: Outcomes, expected: bool) -> None:
    assert is_failing(own, others) is expected


def test_writes_avoid_an_endpoint_that_fails_elsewhere() -> None:
    found = pool()
    assert {send(found, Outcome.ANSWERED) for _ in range(40)} == {BAD, GOOD}
    found.use_peer_outcomes({BAD: Outcomes(40.0, 0.0)})
    assert {send(found, Outcome.ANSWERED) for _ in range(40)} == {GOOD}
    # Nobody sends it requests now, so the evidence goes before it is tried again.
    found.use_peer_outcomes({})
    assert {send(found, Outcome.ANSWERED) for _ in range(40)} == {GOOD}
    found._clock.tick(AVOIDANCE_TIME)
    assert {send(found, Outcome.ANSWERED) for _ in range(40)} == {BAD, GOOD}


def test_failing_endpoints_are_used_if_there_is_no_other() -> None:
    """Guards against a service that is given up as a whole."""
    found = pool()
    found.use_peer_outcomes({BAD: Outcomes(9.0, 0.0), GOOD: Outcomes(9.0, 0.0)})
    assert send(found, Outcome.ANSWERED) in (BAD, GOOD)


def test_outcomes_are_told_only_of_endpoints_that_fail() -> None:
    """Guards against messages that grow in calm."""
    found = pool()
    for _ in range(20):
        send(found, Outcome.ANSWERED)
    assert found.own_outcomes() == {}
    # Answers count against the failures that others report.
    found.use_peer_outcomes({BAD: Outcomes(1.0, 0.0)})
    told = found.own_outcomes()
    assert set(told) == {BAD}
    assert told[BAD].failed == 0 < told[BAD].answered


@pytest.mark.parametrize(
    ("outcome", "is_told"),
    [
        (Outcome.FAILED_AFTER_SENT, True),
        (Outcome.TRUNCATED, True),
        (Outcome.SILENT, False),
        (Outcome.PATH_LOST, False),
        (Outcome.REFUSED_FULL, False),
        (Outcome.CANCELLED, False),
    ],
)
def test_breaks_are_told(outcome: Outcome, is_told: bool) -> None:
    found = pool()
    name = send(found, outcome)
    assert (name in found.own_outcomes()) is is_told


@pytest.mark.parametrize("is_refused", [True, False])
def test_refused_connections_are_told(is_refused: bool) -> None:
    """
    Guards against a crash of many endpoints that each instance finds out alone.

    A connection that times out may fail for this instance's own path.
    """
    found = pool()
    reservation = found.choose(WRITE)
    assert isinstance(reservation, Reservation)
    if is_refused:
        reservation.record_connection_refused()
    reservation.finish(Outcome.FAILED_BEFORE_SENT)
    assert (reservation.endpoint.id in found.own_outcomes()) is is_refused


def test_answers_before_an_endpoint_failed_do_not_hide_its_failures() -> None:
    """Guards against an endpoint that is used for seconds after it began to fail."""
    clock = ManualClock()
    recent = RecentOutcomes(clock)
    for is_failed, count in ((False, 100), (True, 15)):
        for _ in range(count):
            recent.record(is_failed=is_failed)
            # 15 requests a second at all instances together.
            clock.tick(Milliseconds(67))
    failed, answered = recent.current
    assert failed / (failed + answered) >= MIN_FAILURE_SHARE


def test_outcomes_are_forgotten() -> None:
    """Guards against an endpoint that is avoided for ever, as it gets no requests."""
    clock = ManualClock()
    recent = RecentOutcomes(clock)
    recent.record(is_failed=True)
    recent.record(is_failed=False)
    clock.tick(HALF_LIFE)
    assert recent.current == pytest.approx((0.5, 0.5))
    clock.tick(Milliseconds(10 * HALF_LIFE))
    assert recent.current == pytest.approx((0.0, 0.0), abs=0.01)
