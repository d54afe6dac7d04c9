import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.ids import OrganisationId, ProductId, RequestClass, RequestId
from fuchsiaroute.request import Request
from fuchsiaroute.retry import (
    MAX_ATTEMPTS,
    MAX_REFUSED_ATTEMPTS,
    RETRY_RATIO,
    RetryBudget,
    RetryDecision,
    RetryPolicy,
)
from fuchsiaroute.verdict import Verdict

NOT_RUN, MAY, RUN = Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RUN


def policy_at(clock: ManualClock) -> RetryPolicy:
    return RetryPolicy(clock=clock, budget=RetryBudget(clock=clock))


def request(*, is_idempotent: bool, deadline: int = 1_010_000) -> Request:
    return Request(
        id=RequestId("r"),
        organisation=OrganisationId("county-00"),
        product=ProductId("permit-desk"),
        request_class=RequestClass("stand-lookup"),
        is_idempotent=is_idempotent,
        deadline=Milliseconds(deadline),
    )


@pytest.mark.parametrize(
    ("is_idempotent", "verdict", "attempts", "expected"),
    [
        (True, MAY, 1, RetryDecision.RETRY),
        (True, RUN, 1, RetryDecision.RETRY),
        (False, NOT_RUN, 1, RetryDecision.RETRY),
        (False, MAY, 1, RetryDecision.UNSAFE),
        (False, RUN, 1, RetryDecision.UNSAFE),
        (True, MAY, MAX_ATTEMPTS, RetryDecision.EXHAUSTED),
        (True, NOT_RUN, MAX_ATTEMPTS, RetryDecision.RETRY),
        (True, NOT_RUN, MAX_REFUSED_ATTEMPTS, RetryDecision.EXHAUSTED),
    ],
)
def test_decision_by_idempotency_verdict_and_number_of_attempts(
    is_idempotent: bool, verdict: Verdict, attempts: int, expected: RetryDecision
) -> None:
    policy = policy_at(ManualClock())
    retried = request(is_idempotent=is_idempotent)
    assert policy.decide(retried, verdict=verdict, attempts=attempts) is expected


def test_no_retry_right_before_the_deadline() -> None:
    retried = request(is_idempotent=True, deadline=1_000_020)
    decision = policy_at(ManualClock()).decide(retried, verdict=MAY, attempts=1)
    assert decision is RetryDecision.TOO_LATE


def test_budget_limits_retries_while_every_request_fails() -> None:
    clock = ManualClock()
    policy = policy_at(clock)
    retries = 0
    for _ in range(10_000):
        clock.tick(Milliseconds(1))
        policy.record_first_attempt()
        decision = policy.decide(
            request(is_idempotent=True, deadline=10_000_000), verdict=MAY, attempts=1
        )
        retries += decision is RetryDecision.RETRY
    assert retries <= 10_000 * RETRY_RATIO + 10 + 10 * 0.5


def test_only_idempotent_requests_are_hedged_and_within_the_budget() -> None:
    policy = policy_at(ManualClock())
    assert not policy.may_hedge(request(is_idempotent=False))
    hedges = [policy.may_hedge(request(is_idempotent=True)) for _ in range(30)]
    assert hedges.count(True) == 10
