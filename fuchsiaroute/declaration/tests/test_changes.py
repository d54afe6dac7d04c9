import pytest

from examples import timberline
from fuchsiaroute.configuration import Rollout, VersionState
from fuchsiaroute.declaration import (
    DifferenceKind,
    begin_outage,
    difference,
    end_outage,
    set_version_state,
    start_rollout,
)
from fuchsiaroute.ids import FailureDomainId, VersionId

BASE = timberline.declare()
LAKES_A = FailureDomainId("lakes-a")
OUTAGE = begin_outage(BASE, LAKES_A, reason="power").unwrap()
WITHDRAWN = set_version_state(
    BASE, VersionId("timber-4"), VersionState.WITHDRAWN
).unwrap()
ROLLOUT = Rollout(
    id="grow", model="sapling", base="sapling-1", target="sapling-2", stages=(0.1, 1.0)
)
STARTED = start_rollout(BASE, ROLLOUT).unwrap()
ADDED, REMOVED = DifferenceKind.ADDED, DifferenceKind.REMOVED
CHANGED = DifferenceKind.CHANGED


@pytest.mark.parametrize(
    ("before", "after", "expected"),
    [
        (BASE, BASE, []),
        (BASE, OUTAGE, [("outages[lakes-a]", ADDED)]),
        (OUTAGE, BASE, [("outages[lakes-a]", REMOVED)]),
        (BASE, WITHDRAWN, [("models[timber].versions[timber-4].state", CHANGED)]),
        (BASE, STARTED, [("rollouts[grow]", ADDED)]),
        (
            BASE,
            BASE.with_outages(OUTAGE.outages).with_rollouts(STARTED.rollouts),
            [("outages[lakes-a]", ADDED), ("rollouts[grow]", ADDED)],
        ),
    ],
)
def test_difference_names_each_place(before, after, expected):
    found = difference(before, after)
    assert [(item.place, item.kind) for item in found] == expected


def test_difference_shows_both_values_and_a_changed_order():
    (found,) = difference(BASE, WITHDRAWN)
    assert (found.before, found.after) == ('"active"', '"withdrawn"')
    two = BASE.with_outages(
        begin_outage(OUTAGE, FailureDomainId("lakes-b"), reason="").unwrap().outages
    )
    (found,) = difference(two, two.with_outages(two.outages[::-1]))
    assert found.place == "outages (order)"


@pytest.mark.parametrize(
    ("result", "message"),
    [
        (
            set_version_state(BASE, VersionId("x"), VersionState.ACTIVE),
            "there is no version 'x'",
        ),
        (
            begin_outage(BASE, FailureDomainId("x"), reason=""),
            "there is no failure domain 'x'",
        ),
        (end_outage(BASE, LAKES_A), "failure domain 'lakes-a' is not taken out"),
        (start_rollout(STARTED, ROLLOUT), "there is a roll-out 'grow' already"),
    ],
)
def test_impossible_edit_is_refused(result, message):
    assert result.failure() == message


def test_outage_can_be_declared_again_and_ended():
    again = begin_outage(OUTAGE, LAKES_A, reason="maintenance").unwrap()
    assert [outage.reason for outage in again.outages] == ["maintenance"]
    assert end_outage(again, LAKES_A).unwrap() == BASE
