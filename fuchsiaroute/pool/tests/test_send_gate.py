"""Places and permits that requests need, where the pool chooses and releases."""

from random import Random

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.ids import EndpointId, InstanceId
from fuchsiaroute.lifecycle import Outcome
from fuchsiaroute.permits import NamedRates, PermitHolder
from fuchsiaroute.places import BrittleNotices, PlaceHolder
from fuchsiaroute.pool import (
    EndpointPool,
    Load,
    NoChoice,
    Reservation,
    SendGate,
)
from fuchsiaroute.pool.tests.test_pool import DEMAND, endpoint, service

BRITTLE, OTHER = endpoint("brittle", slots=2), endpoint("other", slots=2)
PEER = InstanceId("peer")


class GateHarness:
    def __init__(self) -> None:
        self.clock = ManualClock()
        self.clock.tick(Milliseconds(5))
        self.wanted: list[EndpointId] = []
        self.rates = NamedRates(clock=self.clock)
        self.permits = PermitHolder(
            rates=self.rates,
            clock=self.clock,
            on_want=lambda item: self.wanted.append(item.id),
        )
        notices = BrittleNotices(clock=self.clock)
        self.places = PlaceHolder(
            notices=notices,
            clock=self.clock,
            on_change=lambda item: self.wanted.append(item.id),
        )
        self.pool = EndpointPool(
            instance=InstanceId("me"),
            clock=self.clock,
            random=Random(1),
            gate=SendGate(clock=self.clock, permits=self.permits, places=self.places),
        )
        self.pool.update_services({BRITTLE.service: service()})
        self.pool.announce(BRITTLE)
        notices.record(BRITTLE, 4.0)
        notices.record(OTHER, None)

    def allow(self, count: int) -> None:
        self.places.receive(
            BRITTLE,
            0,
            issuer=PEER,
            term=1,
            number=1,
            allowed=count,
            is_contended=False,
        )


def test_request_without_a_place_waits_and_asks_for_one() -> None:
    harness = GateHarness()
    assert harness.pool.choose(DEMAND) is NoChoice.FULL
    assert harness.wanted == [BRITTLE.id]
    assert harness.pool.permit_wait(DEMAND, 0) is None


def test_request_without_a_place_goes_to_another_endpoint() -> None:
    harness = GateHarness()
    harness.pool.announce(OTHER)
    chosen = harness.pool.choose(DEMAND)
    assert isinstance(chosen, Reservation)
    assert chosen.endpoint == OTHER


@pytest.mark.parametrize("outcome", Outcome)
def test_place_is_used_until_the_request_ends(outcome: Outcome) -> None:
    harness = GateHarness()
    harness.allow(1)
    # Delayed loads of peers do not count: the issuer knows them.
    harness.pool.update_peer(PEER, {BRITTLE.id: Load(50, 0.0)})
    first = harness.pool.choose(DEMAND)
    assert isinstance(first, Reservation)
    assert harness.pool.choose(DEMAND) is NoChoice.FULL
    first.record_sent()
    first.finish(outcome)
    keeps_place = outcome not in (
        Outcome.REFUSED_FULL,
        Outcome.REFUSED_UNNAMED,
        Outcome.SILENT,
        Outcome.CANCELLED,
    )
    assert harness.places.has_place(BRITTLE, 0) is keeps_place


def test_place_of_a_request_that_was_not_sent_is_kept() -> None:
    harness = GateHarness()
    harness.allow(1)
    first = harness.pool.choose(DEMAND)
    assert isinstance(first, Reservation)
    first.finish(Outcome.REFUSED_FULL)
    assert harness.places.has_place(BRITTLE, 0)


def test_brittle_endpoint_that_names_a_rate_needs_both() -> None:
    harness = GateHarness()
    harness.allow(1)
    harness.rates.record(BRITTLE, 2.0)
    assert harness.pool.choose(DEMAND) is NoChoice.RATE_LIMITED
    harness.permits.receive(BRITTLE.id)
    assert isinstance(harness.pool.choose(DEMAND), Reservation)


def test_trial_of_a_suspect_endpoint_needs_a_place() -> None:
    harness = GateHarness()
    harness.pool.record_crash(BRITTLE.id)
    assert harness.pool.choose(DEMAND) is NoChoice.NONE
    harness.allow(1)
    assert isinstance(harness.pool.choose(DEMAND), Reservation)
