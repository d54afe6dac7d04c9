"""Attempts: endpoint choice, dispatch and retries."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import singledispatchmethod

import msgspec
from returns.result import Failure, Result, Success

from fuchsiaroute.admission import AdmissionGate
from fuchsiaroute.balancing import EndpointChooser, Reservation, Target
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.dispatch import (
    Dispatcher,
    DispatchFailure,
    DispatchOutcome,
    EndpointCall,
    OpenAnswer,
)
from fuchsiaroute.endpoints import Outcome
from fuchsiaroute.entry._admit import GatedAdmitStep
from fuchsiaroute.entry._call import Call, ModelTarget, NoVersion, ServiceTarget
from fuchsiaroute.entry._steps import Attempt
from fuchsiaroute.ids import EndpointId, Nonce, VersionId
from fuchsiaroute.logs import AttemptFinished, log_event
from fuchsiaroute.retry import RetryDecision, RetryPolicy
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict, combine_verdicts

COMPLETIONS_PATH = "/v1/chat/completions"
NONCE_BITS = 96

_BODY = msgspec.json.Decoder(dict[str, msgspec.Raw])

#: What a dispatch's end says about its endpoint.
_OUTCOMES = {
    DispatchOutcome.ANSWERED: Outcome.ANSWERED,
    DispatchOutcome.REFUSED_COLD: Outcome.REFUSED_COLD,
    DispatchOutcome.REFUSED_FULL: Outcome.REFUSED_FULL,
    DispatchOutcome.NOT_SENT: Outcome.FAILED_BEFORE_SENT,
    DispatchOutcome.RESTARTED: Outcome.REVOKED,
    DispatchOutcome.REVOKED: Outcome.REVOKED,
    DispatchOutcome.FAILED: Outcome.FAILED_AFTER_SENT,
    DispatchOutcome.SILENT: Outcome.SILENT,
    # The endpoint answers on a new connection, so it is not to blame.
    DispatchOutcome.CONNECTION_LOST: Outcome.CANCELLED,
    DispatchOutcome.TRUNCATED: Outcome.TRUNCATED,
    DispatchOutcome.CROSSED: Outcome.FAILED_AFTER_SENT,
    DispatchOutcome.CANCELLED: Outcome.CANCELLED,
}

#: Outcomes after which the same endpoint may be tried again.
_BLAMELESS = frozenset(
    {
        DispatchOutcome.CONNECTION_LOST,
        DispatchOutcome.REFUSED_COLD,
        DispatchOutcome.REFUSED_FULL,
        DispatchOutcome.RESTARTED,
        DispatchOutcome.REVOKED,
    }
)

#: Checks, right before the first byte leaves, that a call may run on a version.
DispatchCheck = Callable[[Call, VersionId | NoVersion], Result[None, Refusal]]


@dataclass(kw_only=True)
class _Course:
    """What has happened to one call on one version so far."""

    call: Call
    version: VersionId | NoVersion
    attempts: int = 0
    verdict: Verdict = Verdict.NOT_RUN
    excluded: frozenset[EndpointId] = frozenset()

    @property
    def target(self) -> Target:
        """Return what the endpoint has to serve."""
        if isinstance(self.call.target, ServiceTarget):
            return self.call.target.service
        assert not isinstance(self.version, NoVersion)
        return self.version

    def note(self, endpoint: EndpointId, failure: DispatchFailure) -> None:
        """Note a failed attempt."""
        self.attempts += 1
        self.verdict = combine_verdicts((self.verdict, failure.verdict))
        if failure.outcome not in _BLAMELESS:
            self.excluded |= {endpoint}

    def true_refusal(self, refusal: Refusal) -> Refusal:
        """Return ``refusal`` with the verdict over all attempts."""
        verdict = combine_verdicts((self.verdict, refusal.verdict))
        return replace(refusal, verdict=verdict)


class BalancedAttemptStep:
    """Chooses endpoints by load and warmth; implements ``AttemptStep``."""

    def __init__(
        self,
        *,
        chooser: EndpointChooser,
        admission: GatedAdmitStep,
        gate: AdmissionGate,
        retries: RetryPolicy,
        dispatcher: Dispatcher,
        check: DispatchCheck,
        clock: Clock,
        randomness: random.Random,
    ) -> None:
        self._chooser = chooser
        self._admission = admission
        self._gate = gate
        self._retries = retries
        self._dispatcher = dispatcher
        self._check = check
        self._clock = clock
        self._randomness = randomness

    async def attempt(
        self, call: Call, version: VersionId | NoVersion
    ) -> Result[Attempt, Refusal]:
        """Return an open answer of ``version``, or of the call's plain service."""
        course = _Course(call=call, version=version)
        self._retries.begin()
        while True:
            reserved = await self._reserve(course)
            if isinstance(reserved, Failure):
                return Failure(course.true_refusal(reserved.failure()))
            reservation = reserved.unwrap()
            opened = await self._dispatch(course, reservation)
            if isinstance(opened, Success):
                return Success(_attempt(reservation, opened.unwrap()))
            failure = opened.failure()
            course.note(reservation.endpoint.id, failure)
            refusal = self._next(course, failure)
            if refusal is not None:
                return Failure(course.true_refusal(refusal))

    async def _reserve(self, course: _Course) -> Result[Reservation, Refusal]:
        request = course.call.request
        return await self._gate.reserve(
            self._admission.ticket(request),
            course.target,
            lambda: self._chooser.choose(
                request, course.target, excluded=course.excluded
            ),
            release=self._revoke,
        )

    def _revoke(self, reservation: Reservation) -> None:
        self._chooser.release(reservation, Outcome.REVOKED)

    def _next(self, course: _Course, failure: DispatchFailure) -> Refusal | None:
        """Return why there is no further attempt, or None to make one."""
        check: Result[None, Refusal] = self._check(course.call, course.version)
        if not isinstance(check, Success):
            refusal: Refusal = check.failure()
            return refusal
        decision = self._retries.decide(
            course.call.request, verdict=failure.verdict, attempts=course.attempts
        )
        if decision is RetryDecision.RETRY:
            return None
        return Refusal(
            reason=RefusalReason.ENDPOINT_FAILED,
            verdict=failure.verdict,
            message=f"no endpoint answered: {failure.outcome.value}, {decision.value}",
        )

    async def _dispatch(
        self, course: _Course, reservation: Reservation
    ) -> Result[OpenAnswer, DispatchFailure]:
        started_at = self._clock.now()
        attempt = course.attempts + 1

        def end(outcome: DispatchOutcome) -> None:
            if outcome is DispatchOutcome.ANSWERED:
                self._admission.note_answered(course.call.request)
            self._chooser.release(reservation, _OUTCOMES[outcome])
            self._log(course, reservation, attempt, outcome, started_at)

        is_ended = False
        try:
            opened = await self._dispatcher.open(self._sent(course, reservation, end))
            is_ended = True
        finally:
            if not is_ended:
                end(DispatchOutcome.CANCELLED)
        self._note_incarnation(reservation, opened)
        if isinstance(opened, Failure):
            end(opened.failure().outcome)
        return opened

    def _sent(
        self,
        course: _Course,
        reservation: Reservation,
        end: Callable[[DispatchOutcome], None],
    ) -> EndpointCall:
        call = course.call

        def may_send() -> bool:
            is_allowed = isinstance(self._check(call, course.version), Success)
            return is_allowed and self._chooser.may_dispatch(reservation)

        return EndpointCall(
            url=reservation.endpoint.url,
            path=self._path(call.target),
            body=_body(call, course.version),
            nonce=Nonce(f"{self._randomness.getrandbits(NONCE_BITS):x}"),
            deadline=call.request.deadline,
            incarnation=reservation.warmth.incarnation,
            is_streamed=call.request.is_streamed,
            may_send=may_send,
            on_end=end,
        )

    def _note_incarnation(
        self,
        reservation: Reservation,
        opened: Result[OpenAnswer, DispatchFailure],
    ) -> None:
        if isinstance(opened, Success):
            incarnation = opened.unwrap().incarnation
        else:
            incarnation = opened.failure().incarnation
        if incarnation:
            self._chooser.record_incarnation(reservation.endpoint.id, incarnation)

    def _log(
        self,
        course: _Course,
        reservation: Reservation,
        attempt: int,
        outcome: DispatchOutcome,
        started_at: Milliseconds,
    ) -> None:
        version = course.version
        if isinstance(version, NoVersion):
            version = VersionId("")
        event = AttemptFinished(
            request=course.call.request.id,
            attempt=attempt,
            endpoint=reservation.endpoint.id,
            version=version,
            verdict=DispatchFailure(outcome=outcome, message="").verdict,
            outcome=outcome.value,
            duration_ms=Milliseconds(self._clock.now() - started_at),
        )
        log_event(event)

    @singledispatchmethod
    def _path(self, target: ModelTarget | ServiceTarget) -> str:
        raise NotImplementedError(type(target).__name__)

    @_path.register
    def _(self, target: ModelTarget) -> str:
        return COMPLETIONS_PATH

    @_path.register
    def _(self, target: ServiceTarget) -> str:
        return target.path


def _attempt(reservation: Reservation, answer: OpenAnswer) -> Attempt:
    return Attempt(
        endpoint=reservation.endpoint.id,
        status=answer.status,
        content_type=answer.content_type,
        chunks=answer.chunks,
    )


def _body(call: Call, version: VersionId | NoVersion) -> bytes:
    """Return the caller's body with the version in place of the model's name."""
    if isinstance(version, NoVersion):
        return call.body
    fields = _BODY.decode(call.body)
    fields["model"] = msgspec.Raw(msgspec.json.encode(version))
    return msgspec.json.encode(fields)
