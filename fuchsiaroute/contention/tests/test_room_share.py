"""
Requests that leave room to others, which wait at other instances.

The patterns: a burst of a less urgent kind beside an urgent one; an organisation that
sends many times its usual, at few and at all instances.
"""

from collections import Counter

import pytest

from fuchsiaroute.contention import (
    FleetDemand,
    Flow,
    FlowDemand,
    Reason,
    fair_share,
    room_share,
)
from fuchsiaroute.ids import InstanceId, OrganisationId, ServiceId

MODELS = ServiceId("models")
LARGE, SMALL, OTHER = (OrganisationId(item) for item in ("large", "small", "other"))


def fleet(*rows: tuple[int, OrganisationId, int, int]) -> FleetDemand:
    """Return the demand of one other instance, by priority and organisation."""
    found = FleetDemand()
    found.update(
        InstanceId("n"),
        [
            FlowDemand(Flow(MODELS, priority, organisation), running, waiting)
            for priority, organisation, running, waiting in rows
        ],
    )
    return found


@pytest.mark.parametrize(
    ("rows", "priority", "reason"),
    [
        # Nobody waits elsewhere: there is nothing to leave room for.
        ([], 2, Reason.NONE),
        ([(0, SMALL, 9, 0)], 2, Reason.NONE),
        # More urgent requests wait elsewhere; others do not count.
        ([(0, SMALL, 0, 1)], 2, Reason.MORE_URGENT),
        ([(1, SMALL, 0, 1)], 1, Reason.NONE),
        ([(2, SMALL, 0, 5)], 1, Reason.NONE),
    ],
)
def test_burst_of_a_less_urgent_kind_beside_an_urgent_one(
    rows: list[tuple[int, OrganisationId, int, int]], priority: int, reason: Reason
) -> None:
    """Guards against urgent requests that wait where the burst does not arrive."""
    found = room_share(
        priority=priority,
        organisation=OTHER,
        own_running=Counter(),
        others=fleet(*rows).service(MODELS),
    )
    assert found.reason is reason
    assert (found.share < 1.0) is (reason is not Reason.NONE)


@pytest.mark.parametrize("instances", [1, 70])
def test_organisation_that_sends_many_times_its_usual(instances: int) -> None:
    """Guards against a larger share for one that spreads over more instances."""
    found = FleetDemand()
    for number in range(instances):
        flow = Flow(MODELS, 1, LARGE)
        found.update(InstanceId(f"n{number}"), [FlowDemand(flow, 70 // instances, 1)])
    found.update(
        InstanceId("small"), [FlowDemand(Flow(MODELS, 1, SMALL), running=2, waiting=1)]
    )
    demand = found.service(MODELS)
    shares = {
        organisation: room_share(
            priority=1,
            organisation=organisation,
            own_running=Counter(),
            others=demand,
        ).reason
        for organisation in (LARGE, SMALL)
    }
    assert shares == {LARGE: Reason.OVER_SHARE, SMALL: Reason.NONE}


@pytest.mark.parametrize(
    ("running", "contending", "expected"),
    [
        ({LARGE: 10, SMALL: 2}, {LARGE, SMALL}, 6.0),
        # One that wants no more keeps what it has; the others share the rest.
        ({LARGE: 10, SMALL: 2, OTHER: 3}, {LARGE, SMALL}, 6.0),
        # One that has more than an equal share counts with that share.
        ({LARGE: 10, SMALL: 2}, {SMALL}, 6.0),
        ({LARGE: 10}, {SMALL, OTHER}, 10 / 3),
        ({}, {SMALL}, 0.0),
    ],
)
def test_max_min_fair_share(
    running: dict[OrganisationId, int],
    contending: set[OrganisationId],
    expected: float,
) -> None:
    assert fair_share(running, frozenset(contending)) == pytest.approx(expected)


def test_organisation_alone_uses_all_room() -> None:
    """Guards against room that stands empty for nobody."""
    found = room_share(
        priority=1,
        organisation=LARGE,
        own_running=Counter({LARGE: 50}),
        others=fleet((1, LARGE, 50, 9)).service(MODELS),
    )
    assert found.reason is Reason.NONE
