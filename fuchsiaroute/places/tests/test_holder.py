"""When an instance may send to a brittle endpoint, and what it reports."""

from dataclasses import replace

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.ids import InstanceId
from fuchsiaroute.places import BrittleNotices, PlaceHolder
from fuchsiaroute.places._holder import (
    GIVEN_UP_TIME,
    LAPSE_TIME,
    REPORT_INTERVAL,
)
from fuchsiaroute.places.tests.test_notices import ENDPOINT, STRANGER

ISSUER, OTHER_ISSUER = InstanceId("i"), InstanceId("o")


class HolderHarness:
    def __init__(self, *, load: int = 0) -> None:
        self.clock = ManualClock()
        self.clock.tick(Milliseconds(5))
        self.notices = BrittleNotices(clock=self.clock)
        self.notices.record(ENDPOINT, 4.0)
        self.changed: list[Endpoint] = []
        self.holder = PlaceHolder(
            notices=self.notices, clock=self.clock, on_change=self.changed.append
        )
        self.holder.has_place(ENDPOINT, load)

    def receive(
        self,
        allowed: int,
        *,
        load: int = 0,
        number: int = 1,
        issuer: InstanceId = ISSUER,
        term: int = 1,
        is_contended: bool = False,
    ) -> None:
        self.holder.receive(
            ENDPOINT,
            load,
            issuer=issuer,
            term=term,
            number=number,
            allowed=allowed,
            is_contended=is_contended,
        )


def test_requests_in_flight_at_the_notice_keep_their_places() -> None:
    harness = HolderHarness(load=2)
    assert not harness.holder.has_place(ENDPOINT, 2)
    assert harness.holder.has_place(ENDPOINT, 1)


def test_other_endpoints_need_no_place() -> None:
    assert HolderHarness().holder.has_place(STRANGER, 100)


@pytest.mark.parametrize(
    ("number", "term", "issuer", "expected"),
    [
        (3, 1, ISSUER, True),
        (2, 1, ISSUER, False),
        (1, 1, ISSUER, False),
        (1, 2, ISSUER, True),
        (1, 1, OTHER_ISSUER, True),
    ],
)
def test_latest_allowance_counts(
    number: int, term: int, issuer: InstanceId, expected: bool
) -> None:
    harness = HolderHarness()
    harness.receive(0, number=2)
    harness.receive(1, number=number, term=term, issuer=issuer)
    assert harness.holder.has_place(ENDPOINT, 0) is expected


def test_places_lapse_without_the_issuer() -> None:
    harness = HolderHarness()
    harness.receive(1)
    harness.holder.report(ENDPOINT, 0)
    harness.clock.tick(LAPSE_TIME)
    assert harness.holder.has_place(ENDPOINT, 0)
    harness.clock.tick(Milliseconds(1))
    assert not harness.holder.has_place(ENDPOINT, 0)
    assert harness.holder.settle(ENDPOINT, 0)
    assert harness.holder.report(ENDPOINT, 0).held == 0


def test_place_of_a_rejected_request_is_lost() -> None:
    harness = HolderHarness()
    harness.receive(2)
    harness.holder.report(ENDPOINT, 2)
    harness.holder.release(ENDPOINT, 1, was_rejected=True, may_run=False)
    assert not harness.holder.has_place(ENDPOINT, 1)
    assert harness.changed == [ENDPOINT]
    assert harness.holder.settle(ENDPOINT, 1)
    report = harness.holder.report(ENDPOINT, 1)
    assert (report.held, report.used, report.rejected) == (1, 1, 1)


def test_request_that_was_given_up_counts_for_a_while() -> None:
    harness = HolderHarness()
    harness.receive(1)
    harness.holder.release(ENDPOINT, 0, was_rejected=False, may_run=True)
    assert not harness.holder.has_place(ENDPOINT, 0)
    harness.clock.tick(GIVEN_UP_TIME)
    harness.holder.settle(ENDPOINT, 0)
    assert harness.holder.has_place(ENDPOINT, 0)


@pytest.mark.parametrize("is_contended", [False, True])
def test_free_place_is_returned_if_others_want_it(is_contended: bool) -> None:
    harness = HolderHarness()
    harness.receive(1, is_contended=is_contended)
    harness.holder.report(ENDPOINT, 1)
    assert harness.holder.settle(ENDPOINT, 0) is is_contended
    assert harness.holder.has_place(ENDPOINT, 0) is not is_contended


def test_reports_are_repeated_while_places_are_held_or_wanted() -> None:
    harness = HolderHarness()
    holder = harness.holder
    assert not holder.settle(ENDPOINT, 0)
    holder.want(ENDPOINT, 0)
    assert holder.settle(ENDPOINT, 0)
    first = holder.report(ENDPOINT, 0)
    assert first.is_wanted
    holder.want(ENDPOINT, 0)
    assert not holder.settle(ENDPOINT, 0)
    harness.clock.tick(REPORT_INTERVAL)
    holder.want(ENDPOINT, 0)
    assert holder.settle(ENDPOINT, 0)
    assert holder.report(ENDPOINT, 0).sequence > first.sequence
    harness.receive(1)
    assert holder.settle(ENDPOINT, 1)
    assert not holder.report(ENDPOINT, 1).is_wanted
    assert not holder.settle(ENDPOINT, 1)
    harness.clock.tick(REPORT_INTERVAL)
    assert holder.settle(ENDPOINT, 1)


@pytest.mark.parametrize("allowed", [0, 1, 2, 3])
def test_allowance_is_acknowledged_at_once(allowed: int) -> None:
    harness = HolderHarness()
    harness.receive(2)
    harness.holder.report(ENDPOINT, 1)
    harness.receive(allowed, number=2)
    assert harness.holder.settle(ENDPOINT, 1)
    report = harness.holder.report(ENDPOINT, 1)
    assert (report.held, report.number) == (max(allowed, 1), 2)
    assert not harness.holder.settle(ENDPOINT, 1)


def test_return_is_reported_again_if_the_issuer_missed_it() -> None:
    harness = HolderHarness()
    harness.receive(1, is_contended=True)
    assert harness.holder.settle(ENDPOINT, 0)
    assert harness.holder.report(ENDPOINT, 0).held == 0
    harness.receive(1, is_contended=True)
    assert harness.holder.settle(ENDPOINT, 0)
    assert harness.holder.report(ENDPOINT, 0).held == 0


def test_return_of_a_recalled_place_is_reported_again() -> None:
    """Guards against a place that nobody uses, as its last report was lost."""
    harness = HolderHarness()
    harness.receive(1, number=1)
    harness.receive(0, load=1, number=2)
    assert harness.holder.report(ENDPOINT, 1).held == 1
    harness.holder.release(ENDPOINT, 0, was_rejected=False, may_run=False)
    assert harness.holder.settle(ENDPOINT, 0)
    assert harness.holder.report(ENDPOINT, 0).held == 0
    assert not harness.holder.settle(ENDPOINT, 0)
    # The issuer goes on to state the allowance of an instance that holds places.
    harness.receive(0, number=2)
    assert harness.holder.settle(ENDPOINT, 0)
    assert harness.holder.report(ENDPOINT, 0).held == 0


@pytest.mark.parametrize("has_given_up", [False, True])
def test_repeated_allowance_of_an_instance_with_requests_is_not_answered(
    has_given_up: bool,
) -> None:
    """Guards against reports and replies that follow each other without an end."""
    harness = HolderHarness()
    harness.receive(1, number=1)
    harness.receive(0, load=1, number=2)
    load = 1
    if has_given_up:
        load = 0
        harness.holder.release(ENDPOINT, 0, was_rejected=False, may_run=True)
    harness.holder.report(ENDPOINT, load)
    harness.receive(0, load=load, number=2)
    assert not harness.holder.settle(ENDPOINT, load)


def test_new_process_has_no_places() -> None:
    harness = HolderHarness()
    harness.receive(1)
    assert not harness.holder.has_place(
        replace(ENDPOINT, started_at=Milliseconds(2)), 0
    )
