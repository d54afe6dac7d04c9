"""Endpoints that say that they leave, or ask for a pause."""

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.ids import (
    EndpointId,
    FailureDomainId,
)
from fuchsiaroute.lifecycle import Outcome
from fuchsiaroute.pool import (
    NoChoice,
    Reservation,
)
from fuchsiaroute.pool.tests.test_pool import (
    DEMAND,
    chosen,
    endpoint,
    new_pool,
    service,
)

#: Start of the process of ``endpoint``.
BORN = 1


def test_endpoint_that_says_it_leaves_gets_no_new_requests() -> None:
    clock = ManualClock()
    pool = new_pool(clock, endpoint("a"))
    reservation = pool.choose(DEMAND)
    assert isinstance(reservation, Reservation)
    assert pool.mark_leaving(EndpointId("a"), BORN)
    assert not reservation.is_usable
    assert chosen(pool) is NoChoice.NONE
    assert pool.leaving() == [(EndpointId("a"), BORN)]
    assert not pool.mark_leaving(EndpointId("a"), BORN)


@pytest.mark.parametrize(
    ("changes", "is_used"),
    [
        # The process renews its announcement, which does not say that it leaves.
        ({}, False),
        # A new process has started under the same id.
        ({"started_at": Milliseconds(9)}, True),
    ],
)
@pytest.mark.parametrize("is_removed", [False, True])
def test_leaving_ends_with_the_process(
    changes: dict[str, object], is_used: bool, is_removed: bool
) -> None:
    pool = new_pool(ManualClock(), endpoint("a"))
    pool.mark_leaving(EndpointId("a"), BORN)
    if is_removed:
        pool.withdraw(EndpointId("a"))
    pool.announce(endpoint("a", **changes))
    assert (chosen(pool) == "a") is is_used


def test_late_report_of_a_former_process_does_not_stop_the_new_one() -> None:
    pool = new_pool(ManualClock(), endpoint("a", started_at=Milliseconds(9)))
    pool.mark_leaving(EndpointId("a"), BORN)
    assert chosen(pool) == "a"


def test_leaving_endpoint_of_an_evacuated_domain_stays_out_afterwards() -> None:
    pool = new_pool(ManualClock(), endpoint("a"))
    pool.mark_leaving(EndpointId("a"), BORN)
    pool.update_evacuated({FailureDomainId("z1")})
    pool.update_evacuated(())
    assert chosen(pool) is NoChoice.NONE


def test_paused_endpoint_gets_no_requests_until_the_end_of_its_pause() -> None:
    clock = ManualClock()
    pool = new_pool(clock, endpoint("a"), endpoint("b"))
    reservations = [pool.choose(DEMAND) for _ in range(2)]
    assert pool.pause(EndpointId("a"), BORN, Milliseconds(3_000))
    for reservation in reservations:
        assert isinstance(reservation, Reservation)
        assert reservation.is_usable is (reservation.endpoint.id == "b")
        reservation.revoke()
    assert {chosen(pool) for _ in range(20)} == {"b"}
    # A shorter pause does not end a longer one.
    pool.pause(EndpointId("a"), BORN, Milliseconds(10))
    clock.tick(Milliseconds(2_999))
    assert {chosen(pool) for _ in range(20)} == {"b"}
    clock.tick(Milliseconds(1))
    assert "a" in {chosen(pool) for _ in range(40)}


def test_suspect_endpoint_gets_no_trial_during_its_pause() -> None:
    clock = ManualClock()
    pool = new_pool(clock, endpoint("a"))
    for _ in range(2):
        reservation = pool.choose(DEMAND)
        assert isinstance(reservation, Reservation)
        reservation.finish(Outcome.SILENT)
    pool.pause(EndpointId("a"), BORN, Milliseconds(60_000))
    clock.tick(Milliseconds(30_000))
    assert isinstance(pool.choose(DEMAND), NoChoice)


@pytest.mark.parametrize(
    ("changes", "is_used"), [({}, False), ({"started_at": Milliseconds(9)}, True)]
)
def test_pause_outlasts_an_announcement_but_not_a_process(
    changes: dict[str, object], is_used: bool
) -> None:
    pool = new_pool(ManualClock(), endpoint("a"))
    pool.pause(EndpointId("a"), BORN, Milliseconds(5_000))
    pool.withdraw(EndpointId("a"))
    pool.announce(endpoint("a", **changes))
    assert (chosen(pool) == "a") is is_used


def test_load_rises_slowly_after_a_pause() -> None:
    """Guards against all waiting requests reaching an endpoint as its pause ends."""
    clock = ManualClock()
    pool = new_pool(clock, endpoint("a"), declared=service(is_engine=True))
    pool.pause(EndpointId("a"), BORN, Milliseconds(1_000))
    clock.tick(Milliseconds(1_000))
    counts = []
    for _ in range(3):
        held = []
        while isinstance(reservation := pool.choose(DEMAND), Reservation):
            held.append(reservation)
        counts.append(len(held))
        for reservation in held:
            reservation.finish(Outcome.ANSWERED)
        clock.tick(Milliseconds(1_000))
    assert counts == [1, 4, 8]


def test_all_paused_is_told_apart_from_full() -> None:
    clock = ManualClock()
    pool = new_pool(clock, endpoint("a"), endpoint("b"))
    pool.pause(EndpointId("a"), BORN, Milliseconds(9_000))
    pool.pause(EndpointId("b"), BORN, Milliseconds(4_000))
    assert chosen(pool) is NoChoice.PAUSED
    assert pool.soonest_return(DEMAND) == 4_000
