"""The admission and attempt steps with fake endpoints."""

import asyncio
from collections.abc import AsyncIterator
from random import Random

import pytest
from returns.result import Failure, Result, Success

from examples import timberline
from fuchsiaroute.admission import Admission, AdmissionGate
from fuchsiaroute.balancing import EndpointChooser
from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.dispatch import (
    DispatchFailure,
    DispatchOutcome,
    EndpointCall,
    OpenAnswer,
)
from fuchsiaroute.endpoints import Warmth, WarmthFact
from fuchsiaroute.entry import (
    Attempt,
    BalancedAttemptStep,
    Call,
    GatedAdmitStep,
    ModelTarget,
    NoVersion,
    ServiceTarget,
)
from fuchsiaroute.ids import (
    Incarnation,
    InstanceId,
    OrganisationId,
    ProductId,
    RequestClass,
    RequestId,
    VersionId,
)
from fuchsiaroute.request import Request
from fuchsiaroute.retry import RetryBudget, RetryPolicy
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

CONFIGURATION = timberline.declare()
VERSION = VersionId("timber-4")
INCARNATION = Incarnation(7)
O = DispatchOutcome  # noqa: E741
WITHDRAWN = Refusal(
    reason=RefusalReason.VERSION_WITHDRAWN, verdict=Verdict.NOT_RUN, message="gone"
)


class FakeDispatcher:
    """Ends calls with the given outcomes in turn, then answers."""

    def __init__(self, *outcomes: DispatchOutcome) -> None:
        self.outcomes = list(outcomes)
        self.calls: list[EndpointCall] = []

    async def open(self, call: EndpointCall) -> Result[OpenAnswer, DispatchFailure]:
        self.calls.append(call)
        outcome = self.outcomes.pop(0) if self.outcomes else O.ANSWERED
        if not call.may_send():
            outcome = O.REVOKED
        if outcome is not O.ANSWERED:
            failure = DispatchFailure(
                outcome=outcome, message="", incarnation=INCARNATION
            )
            return Failure(failure)
        answer = OpenAnswer(
            status=200,
            content_type="application/json",
            incarnation=INCARNATION,
            chunks=_chunks(call),
        )
        return Success(answer)


async def _chunks(call: EndpointCall) -> AsyncIterator[bytes]:
    outcome = O.CANCELLED
    try:
        yield b"{}"
        outcome = O.ANSWERED
    finally:
        call.on_end(outcome)


class Harness:
    def __init__(self, *outcomes: DispatchOutcome) -> None:
        self.clock = ManualClock()
        self.dispatcher = FakeDispatcher(*outcomes)
        self.chooser = EndpointChooser(
            entry=InstanceId("entry-0"), clock=self.clock, random=Random(1)
        )
        admission = Admission(clock=self.clock, random=Random(1))
        self.gate = AdmissionGate(admission)
        self.admit = GatedAdmitStep(admission=admission, gate=self.gate)
        self.is_withdrawn = False
        self.step = BalancedAttemptStep(
            chooser=self.chooser,
            admission=self.admit,
            gate=self.gate,
            retries=RetryPolicy(clock=self.clock, budget=RetryBudget(clock=self.clock)),
            dispatcher=self.dispatcher,  # type: ignore[arg-type]
            check=self._check,
            clock=self.clock,
            random=Random(1),
        )
        self.chooser.update_configuration(CONFIGURATION)
        self.chooser.merge_warmth(
            WarmthFact(
                endpoint=endpoint.id,
                warmth=Warmth(incarnation=INCARNATION, is_warm=True),
            )
            for endpoint in CONFIGURATION.endpoints
        )
        self.clock.tick(Milliseconds(10_000))

    def _check(
        self, call: Call, version: VersionId | NoVersion
    ) -> Result[None, Refusal]:
        return Failure(WITHDRAWN) if self.is_withdrawn else Success(None)

    def call(self, *, is_idempotent: bool = True, is_service: bool = False) -> Call:
        request = Request(
            id=RequestId("r"),
            organisation=OrganisationId("county-00"),
            product=ProductId("permit-desk"),
            request_class=RequestClass("stand-lookup"),
            is_idempotent=is_idempotent,
            deadline=Milliseconds(self.clock.wall() + 30_000),
        )
        target = ServiceTarget(service=timberline.PERMIT_APP, path="/permits/issue")
        return Call(
            request=request,
            target=target if is_service else ModelTarget(),
            body=b'{"model":"auto"}',
        )

    async def attempt(self, call: Call) -> Result[Attempt, Refusal]:
        (await self.admit.admit(call.request)).unwrap()
        version = NoVersion.TOKEN if isinstance(call.target, ServiceTarget) else VERSION
        return await self.step.attempt(call, version)


@pytest.mark.parametrize(
    ("is_idempotent", "outcomes", "calls", "verdict"),
    [
        (True, [], 1, None),
        (True, [O.FAILED, O.SILENT], 3, None),
        (True, [O.FAILED, O.SILENT, O.FAILED], 3, Verdict.MAY_HAVE_RUN),
        (True, [O.CONNECTION_LOST], 2, None),
        (False, [O.NOT_SENT, O.RESTARTED, O.REFUSED_COLD], 4, None),
        (False, [O.FAILED], 1, Verdict.MAY_HAVE_RUN),
        (False, [O.SILENT], 1, Verdict.MAY_HAVE_RUN),
        (False, [O.CONNECTION_LOST], 1, Verdict.MAY_HAVE_RUN),
        (False, [O.CROSSED], 1, Verdict.MAY_HAVE_RUN),
        (False, [O.NOT_SENT, O.FAILED], 2, Verdict.MAY_HAVE_RUN),
        (False, [O.NOT_SENT] * 9, 3, Verdict.NOT_RUN),
    ],
)
async def test_number_of_attempts_and_combined_verdict(
    is_idempotent: bool,
    outcomes: list[DispatchOutcome],
    calls: int,
    verdict: Verdict | None,
) -> None:
    harness = Harness(*outcomes)
    call = harness.call(is_idempotent=is_idempotent, is_service=not is_idempotent)
    result = await harness.attempt(call)
    assert len(harness.dispatcher.calls) == calls
    found = None if isinstance(result, Success) else result.failure().verdict
    assert found is verdict


async def test_answer_releases_reservation_and_ticket_at_its_end() -> None:
    harness = Harness()
    call = harness.call()
    attempt = (await harness.attempt(call)).unwrap()
    assert harness.chooser.open_requests == 1
    assert [chunk async for chunk in attempt.chunks] == [b"{}"]
    assert harness.chooser.open_requests == 0
    harness.admit.release(call.request)
    assert harness.admit._tickets == {}


async def test_every_attempt_has_its_own_nonce() -> None:
    harness = Harness(O.FAILED, O.FAILED)
    await harness.attempt(harness.call())
    assert len({call.nonce for call in harness.dispatcher.calls}) == 3


async def test_request_is_not_sent_if_its_version_is_withdrawn_while_it_waits() -> None:
    harness = Harness()
    harness.is_withdrawn = True
    refusal = (await harness.attempt(harness.call())).failure()
    assert refusal == WITHDRAWN
    assert harness.chooser.open_requests == 0


async def test_cancelled_call_releases_its_reservation() -> None:
    harness = Harness()
    never = asyncio.Event()

    async def hang(call: EndpointCall) -> Result[OpenAnswer, DispatchFailure]:
        await never.wait()
        raise AssertionError

    harness.dispatcher.open = hang  # type: ignore[method-assign]
    task = asyncio.create_task(harness.attempt(harness.call()))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert harness.chooser.open_requests == 1
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert harness.chooser.open_requests == 0
