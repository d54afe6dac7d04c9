from dataclasses import dataclass, field

import pytest
from returns.result import Failure, Success

from fuchsiaroute.dispatch import BrokenAnswerError
from fuchsiaroute.entry import (
    Attempt,
    Call,
    ModelTarget,
    Pipeline,
    RoutingResult,
    Steps,
)
from fuchsiaroute.idempotency import Answer as StoredAnswer
from fuchsiaroute.request import Decision, Request
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

END = b"data: [DONE]\n\n"
NOT_RUN, MAY, RUN = Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RUN


def refusal(verdict):
    return Refusal(
        reason=RefusalReason.ENDPOINT_FAILED, verdict=verdict, message="failed"
    )


async def stream(chunks, *, is_truncated=False):
    for chunk in chunks:
        yield chunk
    if is_truncated:
        raise BrokenAnswerError("cut")


def attempt(chunks, *, is_truncated=False):
    return Success(
        Attempt(
            endpoint="endpoint",
            status=200,
            content_type="text/event-stream",
            chunks=stream(chunks, is_truncated=is_truncated),
        )
    )


@dataclass
class FakeSteps:
    """Implements every step and records the calls in ``events``."""

    versions: tuple = ("small", "large")
    attempts: list = field(default_factory=list)
    weak_answers: frozenset = frozenset()
    events: list = field(default_factory=list)
    bills: list = field(default_factory=list)
    outcomes: list = field(default_factory=list)
    stored_answer: object = None

    def check_capacity(self):
        return Success(None)

    async def admit(self, request):
        self.events.append("admit")
        return Success(None)

    def release(self, request):
        self.events.append("release")

    async def claim(self, request):
        self.events.append("claim")
        return Success(self.stored_answer)

    def check_dispatch(self, request, version=None):
        return Success(None)

    async def record(self, request, outcome):
        self.events.append(outcome.verdict)
        self.outcomes.append(outcome)

    async def confirm_refusal(self, request, refusal):
        return refusal

    async def decide(self, call):
        decision = Decision(revision=1, versions=self.versions, candidates=())
        return Success(RoutingResult(decision=decision))

    def should_escalate(self, request, version, answer):
        return answer in self.weak_answers

    def cost(self, version, answer_bytes):
        return {"small": 1, "large": 10}[version]

    async def attempt(self, call, version):
        self.events.append(version)
        return self.attempts.pop(0)

    async def bill(self, bill):
        self.events.append("bill")
        self.bills.append(bill)


def pipeline(fake):
    return Pipeline(
        steps=Steps(admit=fake, claim=fake, route=fake, attempt=fake, bill=fake)
    )


def call(*, is_idempotent=True):
    request = Request(
        id="request",
        organisation="organisation",
        product="product",
        request_class="class",
        deadline=10_000,
        is_idempotent=is_idempotent,
    )
    return Call(request=request, target=ModelTarget(), body=b"{}")


async def test_request_is_billed_before_the_caller_gets_the_last_event():
    fake = FakeSteps(versions=("small",), attempts=[attempt([b"a", END])])
    answer = (await pipeline(fake).handle(call())).unwrap()
    seen = [list(fake.events) async for _ in answer.chunks]
    assert "bill" not in seen[0]
    assert "bill" in seen[1]
    assert fake.events.count("release") == 1
    assert fake.events[-1] is RUN


async def test_escalated_request_has_one_bill_with_the_cost_of_both_versions():
    fake = FakeSteps(
        attempts=[attempt([b"weak"]), attempt([b"good", END])],
        weak_answers=frozenset([b"weak"]),
    )
    answer = (await pipeline(fake).handle(call())).unwrap()
    assert [chunk async for chunk in answer.chunks] == [b"good", END]
    assert [bill.cost for bill in fake.bills] == [11]


@pytest.mark.parametrize("verdict", [NOT_RUN, MAY])
async def test_weak_answer_is_delivered_and_billed_if_the_escalation_fails(verdict):
    fake = FakeSteps(
        attempts=[attempt([b"weak"]), Failure(refusal(verdict))],
        weak_answers=frozenset([b"weak"]),
    )
    answer = (await pipeline(fake).handle(call())).unwrap()
    assert [chunk async for chunk in answer.chunks] == [b"weak"]
    assert answer.version == "small"
    assert [bill.cost for bill in fake.bills] == [1]
    assert fake.events.count("release") == 1


async def test_truncated_answer_raises_and_is_not_billed():
    fake = FakeSteps(versions=("small",), attempts=[attempt([b"a"], is_truncated=True)])
    answer = (await pipeline(fake).handle(call())).unwrap()
    with pytest.raises(BrokenAnswerError):
        [chunk async for chunk in answer.chunks]
    assert fake.bills == []
    assert fake.events[-2:] == ["release", MAY]


@pytest.mark.parametrize(
    ("is_idempotent", "verdicts", "attempted", "expected"),
    [
        (True, (NOT_RUN, NOT_RUN), ["small", "large"], NOT_RUN),
        (True, (MAY, NOT_RUN), ["small", "large"], MAY),
        (False, (NOT_RUN, MAY), ["small", "large"], MAY),
        (False, (MAY,), ["small"], MAY),
    ],
)
async def test_refusal_has_the_combined_verdict_of_all_attempts(
    is_idempotent, verdicts, attempted, expected
):
    fake = FakeSteps(attempts=[Failure(refusal(verdict)) for verdict in verdicts])
    result = await pipeline(fake).handle(call(is_idempotent=is_idempotent))
    assert result.failure().verdict is expected
    assert [event for event in fake.events if event in ("small", "large")] == attempted
    assert fake.events.count("release") == 1


@pytest.mark.parametrize(
    ("is_idempotent", "body", "stored"),
    [
        (False, b"permit 7", b"permit 7"),
        (False, b"x" * 5_000, None),
        (True, b"permit 7", None),
    ],
)
async def test_only_small_answers_of_non_idempotent_requests_are_stored(
    is_idempotent, body, stored
):
    fake = FakeSteps(versions=("small",), attempts=[attempt([body])])
    answer = (await pipeline(fake).handle(call(is_idempotent=is_idempotent))).unwrap()
    assert [chunk async for chunk in answer.chunks] == [body]
    (outcome,) = fake.outcomes
    assert outcome.verdict is RUN
    assert (outcome.answer.body if outcome.answer else None) == stored


async def test_repeated_request_gets_the_stored_answer_and_is_not_dispatched():
    stored = StoredAnswer(status=200, media_type="application/json", body=b"permit 7")
    fake = FakeSteps(stored_answer=stored)
    answer = (await pipeline(fake).handle(call(is_idempotent=False))).unwrap()
    assert [chunk async for chunk in answer.chunks] == [b"permit 7"]
    assert fake.events == ["admit", "claim", "release"]


async def test_request_that_raises_in_an_attempt_may_have_run():
    fake = FakeSteps(versions=("small",))
    with pytest.raises(IndexError):
        await pipeline(fake).handle(call(is_idempotent=False))
    assert fake.events[-2:] == [MAY, "release"]
