"""Sticky assignment to roll-outs, and their state transitions."""

import pytest

from fuchsiaroute.configuration import RolloutState
from fuchsiaroute.declaration import decode, encode
from fuchsiaroute.ids import OrganisationId, RolloutId
from fuchsiaroute.rollout import (
    RolloutAction,
    RolloutErrorKind,
    apply_action,
    is_assigned_to_target,
    unit_fraction,
    unit_key,
)
from fuchsiaroute.routing.tests.deployment import (
    ROLLOUT,
    make_configuration,
    make_rollout,
)

FIRM = OrganisationId("firm")
RUNNING, PAUSED = RolloutState.RUNNING, RolloutState.PAUSED
ABORTED, COMPLETE = RolloutState.ABORTED, RolloutState.COMPLETE
#: Fraction of session s1 in roll-out r. If a release changed it, sessions without a
#: pin would switch versions.
FRACTION_OF_S1 = 0.1086367693493745


def test_assigns_the_declared_share_of_units_to_the_target():
    rollout = make_rollout(stages=(0.05,))
    covered = sum(
        is_assigned_to_target(rollout, unit_key(FIRM, f"s{number}"))
        for number in range(20_000)
    )
    # Four standard deviations of a binomial count around 1,000.
    assert 877 <= covered <= 1_123


def test_larger_share_includes_every_unit_of_a_smaller_one():
    shares = [0.0, 0.01, 0.05, 0.25, 0.5, 1.0]
    for number in range(500):
        covered = [
            is_assigned_to_target(
                make_rollout(stages=(share,)), unit_key(FIRM, f"s{number}")
            )
            for share in shares
        ]
        assert covered == sorted(covered)
        assert covered[-1]


def test_assignment_is_stable_across_releases():
    fraction = unit_fraction(RolloutId("r"), unit_key(FIRM, "s1"))
    assert fraction == pytest.approx(FRACTION_OF_S1, abs=1e-12)


def test_rollouts_assign_different_units_to_their_targets():
    units = [unit_key(FIRM, f"s{number}") for number in range(2_000)]
    first = {unit for unit in units if unit_fraction(RolloutId("a"), unit) < 0.1}
    second = {unit for unit in units if unit_fraction(RolloutId("b"), unit) < 0.1}
    assert len(first & second) < 50


@pytest.mark.parametrize(
    ("state", "stage", "action", "expected"),
    [
        (RUNNING, 0, RolloutAction.ADVANCE, (RUNNING, 1)),
        (RUNNING, 1, RolloutAction.ADVANCE, (COMPLETE, 1)),
        (RUNNING, 0, RolloutAction.PAUSE, (PAUSED, 0)),
        (RUNNING, 1, RolloutAction.ABORT, (ABORTED, 1)),
        (RUNNING, 0, RolloutAction.COMPLETE, (COMPLETE, 0)),
        (PAUSED, 1, RolloutAction.RESUME, (RUNNING, 1)),
        (PAUSED, 1, RolloutAction.PAUSE, (PAUSED, 1)),
        (PAUSED, 1, RolloutAction.ABORT, (ABORTED, 1)),
        (PAUSED, 1, RolloutAction.ADVANCE, None),
        (PAUSED, 1, RolloutAction.COMPLETE, None),
        (ABORTED, 1, RolloutAction.RESUME, None),
        (ABORTED, 1, RolloutAction.PAUSE, None),
        (ABORTED, 1, RolloutAction.COMPLETE, None),
        (COMPLETE, 1, RolloutAction.PAUSE, None),
        (COMPLETE, 1, RolloutAction.ABORT, None),
    ],
)
def test_action_leads_to_the_expected_state_or_is_not_allowed(
    state, stage, action, expected
):
    before = make_configuration(rollouts=(make_rollout(state=state, stage=stage),))
    outcome = apply_action(before, ROLLOUT, action)
    if expected is None:
        assert outcome.failure().kind is RolloutErrorKind.NOT_ALLOWED
        return
    (after,) = outcome.unwrap().rollouts
    assert (after.state, after.stage) == expected


def test_action_on_an_unknown_rollout_fails():
    outcome = apply_action(make_configuration(), ROLLOUT, RolloutAction.PAUSE)
    assert outcome.failure().kind is RolloutErrorKind.UNKNOWN_ROLLOUT


def test_rollout_state_survives_encoding_of_the_configuration():
    before = make_configuration(rollouts=(make_rollout(state=PAUSED, stage=1),))
    resumed = apply_action(
        decode(encode(before)), ROLLOUT, RolloutAction.RESUME
    ).unwrap()
    (after,) = decode(encode(resumed)).rollouts
    assert (after.state, after.stage, after.share) == (RUNNING, 1, 1.0)
