"""Version selection under permissions, withdrawals, session pins and roll-outs."""

from dataclasses import replace
from random import Random

import pytest
from returns.result import Success

from fuchsiaroute.clock import ManualClock
from fuchsiaroute.configuration import RolloutState, VersionState
from fuchsiaroute.ids import ModelId, ServiceId, SessionId, VersionId
from fuchsiaroute.request import AnyModel, Exclusion
from fuchsiaroute.routing import VersionRouter, check_dispatch
from fuchsiaroute.routing.tests.deployment import (
    APP,
    FIRM,
    L1,
    LARGE,
    OTHER,
    REVIEW,
    S1,
    S2,
    S3,
    SECRET,
    SMALL,
    X1,
    make_configuration,
    make_request,
    make_rollout,
    make_view,
)
from fuchsiaroute.session import PinSigner
from fuchsiaroute.verdict import RefusalReason, Verdict

SESSION = SessionId("s1")


@pytest.fixture
def pins():
    return PinSigner(keys=["k1"], clock=ManualClock())


@pytest.fixture
def router(pins):
    return VersionRouter(pins=pins, random=Random(1))


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, (S1,)),
        ({"request_class": REVIEW}, (L1,)),
        ({"model": SMALL}, (S1,)),
        ({"model": S2}, (S2,)),
        ({"model": LARGE}, (L1,)),
        ({"model": APP}, ()),
        ({"organisation": OTHER}, (X1,)),
    ],
)
def test_selects_the_cheapest_permitted_version_that_meets_the_quality_target(
    router, changes, expected
):
    decision = router.route(make_request(**changes), make_view()).unwrap()
    assert decision.versions == expected
    assert decision.revision == 7


@pytest.mark.parametrize(
    "choice",
    [SECRET, X1, S3, ModelId("unknown"), VersionId("unknown-1"), ServiceId("nothing")],
)
def test_refusals_are_equal_for_unknown_and_forbidden_names(router, choice):
    refusal = router.route(make_request(model=choice), make_view()).failure()
    unknown = router.route(make_request(model=ModelId("?")), make_view()).failure()
    assert refusal == unknown
    assert refusal.reason is RefusalReason.NOT_PERMITTED
    assert refusal.verdict is Verdict.NOT_RUN


def test_refuses_a_service_without_permission(router):
    request = make_request(model=APP, organisation=OTHER)
    refusal = router.route(request, make_view()).failure()
    assert refusal.reason is RefusalReason.NOT_PERMITTED


def test_decision_lists_every_version_with_its_exclusion(router):
    configuration = make_configuration(rollouts=(make_rollout(stages=(0.0, 1.0)),))
    configuration = configuration.with_version_state(L1, VersionState.DRAINING)
    decision = router.route(make_request(), make_view(configuration)).unwrap()
    exclusions = {item.version: item.exclusion for item in decision.candidates}
    assert exclusions == {
        S1: Exclusion.NONE,
        S2: Exclusion.ROLLOUT_SHARE,
        S3: Exclusion.NOT_PERMITTED,
        L1: Exclusion.DRAINING,
        X1: Exclusion.NOT_PERMITTED,
    }


def test_budget_excludes_costlier_versions(router):
    request = make_request(request_class=REVIEW)
    decision = router.route(request, make_view(), budget=100).unwrap()
    assert decision.versions == (S1,)
    exclusions = {item.version: item.exclusion for item in decision.candidates}
    assert exclusions[L1] is Exclusion.COST_LIMIT
    refusal = router.route(request, make_view(), budget=10).failure()
    assert refusal.reason is RefusalReason.COST_LIMIT


def test_escalates_to_costlier_better_versions_except_within_a_session(router):
    view = make_view()
    decision = router.route(make_request(), view, can_escalate=True).unwrap()
    assert decision.versions == (S1, L1)
    request = make_request(session=SESSION)
    decision = router.route(request, view, can_escalate=True).unwrap()
    assert decision.versions == (S1,)


@pytest.mark.parametrize(
    ("state", "version_state", "is_new", "is_pinned"),
    [
        (RolloutState.RUNNING, VersionState.ACTIVE, True, True),
        (RolloutState.RUNNING, VersionState.DRAINING, False, True),
        (RolloutState.RUNNING, VersionState.WITHDRAWN, False, False),
        (RolloutState.PAUSED, VersionState.ACTIVE, False, True),
        (RolloutState.PAUSED, VersionState.DRAINING, False, True),
        (RolloutState.PAUSED, VersionState.WITHDRAWN, False, False),
        (RolloutState.ABORTED, VersionState.ACTIVE, False, False),
        (RolloutState.ABORTED, VersionState.WITHDRAWN, False, False),
        (RolloutState.COMPLETE, VersionState.ACTIVE, True, True),
        (RolloutState.COMPLETE, VersionState.WITHDRAWN, False, False),
    ],
)
def test_rollout_and_version_state_decide_what_a_rollout_target_serves(
    router, pins, state, version_state, is_new, is_pinned
):
    configuration = make_configuration(
        rollouts=(make_rollout(state=state, stages=(1.0,)),)
    ).with_version_state(S2, version_state)
    view = make_view(configuration)
    request = make_request(model=SMALL, session=SESSION)
    pinned = replace(request, pin=pins.issue(FIRM, SESSION, S2))

    decision = router.route(request, view)
    assert (S2 in decision.unwrap().versions) is is_new
    assert isinstance(check_dispatch(request, S2, view), Success) is is_new

    outcome = router.route(pinned, view)
    assert isinstance(check_dispatch(pinned, S2, view), Success) is is_pinned
    if is_pinned:
        assert outcome.unwrap().versions == (S2,)
    else:
        assert outcome.failure().reason is RefusalReason.VERSION_WITHDRAWN
        assert outcome.failure().verdict is Verdict.NOT_RUN


def test_pinned_session_keeps_its_version_when_the_rollout_share_changes(router, pins):
    request = make_request(session=SESSION, pin=pins.issue(FIRM, SESSION, S1))
    for share in (0.0, 0.5, 1.0):
        rollout = make_rollout(stages=(share,))
        view = make_view(make_configuration(rollouts=(rollout,)))
        assert router.route(request, view).unwrap().versions == (S1,)


def test_session_without_a_pin_changes_version_at_most_once_as_share_grows(router):
    for number in range(50):
        request = make_request(session=SessionId(f"s{number}"), model=SMALL)
        seen = []
        for share in (0.0, 0.2, 0.4, 0.6, 0.8, 1.0):
            rollout = make_rollout(stages=(share,))
            view = make_view(make_configuration(rollouts=(rollout,)))
            seen.append(router.route(request, view).unwrap().versions[0])
        assert seen == sorted(seen)
        assert (seen[0], seen[-1]) == (S1, S2)


@pytest.mark.parametrize(
    ("organisation", "session", "version", "model", "reason"),
    [
        (OTHER, SESSION, S1, AnyModel.TOKEN, RefusalReason.INVALID_PIN),
        (FIRM, SessionId("s2"), S1, AnyModel.TOKEN, RefusalReason.INVALID_PIN),
        (FIRM, SESSION, X1, AnyModel.TOKEN, RefusalReason.NOT_PERMITTED),
        (FIRM, SESSION, S3, AnyModel.TOKEN, RefusalReason.NOT_PERMITTED),
        (FIRM, SESSION, VersionId("z"), SMALL, RefusalReason.VERSION_WITHDRAWN),
        (FIRM, SESSION, S1, LARGE, RefusalReason.INVALID_REQUEST),
    ],
)
def test_refuses_a_pin_of_another_session_or_for_an_excluded_version(
    router, pins, organisation, session, version, model, reason
):
    pin = pins.issue(organisation, session, version)
    request = make_request(session=SESSION, pin=pin, model=model)
    assert router.route(request, make_view()).failure().reason is reason


def test_refuses_a_pin_without_a_session_id(router, pins):
    request = make_request(pin=pins.issue(FIRM, SESSION, S1))
    refusal = router.route(request, make_view()).failure()
    assert refusal.reason is RefusalReason.INVALID_REQUEST


@pytest.mark.parametrize(
    ("target", "reason"),
    [
        (X1, RefusalReason.NOT_PERMITTED),
        (S3, RefusalReason.NOT_PERMITTED),
        (VersionId("gone"), RefusalReason.VERSION_WITHDRAWN),
    ],
)
def test_dispatch_check_refuses_excluded_versions(target, reason):
    outcome = check_dispatch(make_request(), target, make_view())
    assert outcome.failure().reason is reason


def test_dispatch_check_refuses_a_version_withdrawn_after_the_decision(router):
    request = make_request()
    decision = router.route(request, make_view()).unwrap()
    changed = make_configuration().with_version_state(S1, VersionState.WITHDRAWN)
    outcome = check_dispatch(request, decision.versions[0], make_view(changed))
    assert outcome.failure().reason is RefusalReason.VERSION_WITHDRAWN
    assert router.route(request, make_view(changed)).unwrap().versions == (S2,)
