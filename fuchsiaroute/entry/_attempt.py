"""Attempts: endpoint choice, dispatch and retries."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import singledispatchmethod
from random import Random

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

_BODY_DECODER = msgspec.json.Decoder(dict[str, msgspec.Raw])

#: Outcome under which each dispatch counts towards the health of its endpoint.
_HEALTH_OUTCOMES = {
    DispatchOutcome.ANSWERED: Outcome.ANSWERED,
    DispatchOutcome.REFUSED_COLD: Outcome.REFUSED_COLD,
    DispatchOutcome.REFUSED_FULL: Outcome.REFUSED_FULL,
    DispatchOutcome.NOT_SENT: Outcome.FAILED_BEFORE_SENT,
    DispatchOutcome.RESTARTED: Outcome.REVOKED,
    DispatchOutcome.REVOKED: Outcome.REVOKED,
    DispatchOutcome.FAILED: Outcome.FAILED_AFTER_SENT,
    DispatchOutcome.SILENT: Outcome.SILENT,
    # The endpoint answers on a new connection, so it has not failed.
    DispatchOutcome.CONNECTION_LOST: Outcome.CANCELLED,
    DispatchOutcome.TRUNCATED: Outcome.TRUNCATED,
    DispatchOutcome.CROSSED: Outcome.FAILED_AFTER_SENT,
    DispatchOutcome.CANCELLED: Outcome.CANCELLED,
}

#: Outcomes after which the request may be sent to the same endpoint again.
_RETRYABLE_ON_SAME_ENDPOINT = frozenset(
    {
        DispatchOutcome.CONNECTION_LOST,
        DispatchOutcome.REFUSED_COLD,
        DispatchOutcome.REFUSED_FULL,
        DispatchOutcome.RESTARTED,
        DispatchOutcome.REVOKED,
    }
)

#: Checks that a call may run on a version, right before its first byte is sent.
DispatchCheck = Callable[[Call, VersionId | NoVersion], Result[None, Refusal]]


@dataclass(kw_only=True)
class _AttemptHistory:
    """The attempts of one call on one version so far."""

    call: Call
    version: VersionId | NoVersion
    attempts: int = 0
    verdict: Verdict = Verdict.NOT_RUN
    excluded: frozenset[EndpointId] = frozenset()

    @property
    def target(self) -> Target:
        """Return the service or version that the endpoint must serve."""
        if isinstance(self.call.target, ServiceTarget):
            return self.call.target.service
        assert not isinstance(self.version, NoVersion)
        return self.version

    def record_failure(self, endpoint: EndpointId, failure: DispatchFailure) -> None:
        """Add a failed attempt."""
        self.attempts += 1
        self.verdict = combine_verdicts((self.verdict, failure.verdict))
        if failure.outcome not in _RETRYABLE_ON_SAME_ENDPOINT:
            self.excluded |= {endpoint}

    def with_combined_verdict(self, refusal: Refusal) -> Refusal:
        """Return ``refusal`` with the verdict combined over all attempts."""
        verdict = combine_verdicts((self.verdict, refusal.verdict))
        return replace(refusal, verdict=verdict)


class BalancedAttemptStep:
    """Sends calls to endpoints chosen by load and warmth; an ``AttemptStep``."""

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
        random: Random,
    ) -> None:
        self._chooser = chooser
        self._admission = admission
        self._gate = gate
        self._retries = retries
        self._dispatcher = dispatcher
        self._check = check
        self._clock = clock
        self._random = random

    async def attempt(
        self, call: Call, version: VersionId | NoVersion
    ) -> Result[Attempt, Refusal]:
        """Return an open answer from ``version``, or from the call's service."""
        history = _AttemptHistory(call=call, version=version)
        self._retries.record_first_attempt()
        while True:
            reserved = await self._reserve(history)
            if isinstance(reserved, Failure):
                return Failure(history.with_combined_verdict(reserved.failure()))
            reservation = reserved.unwrap()
            opened = await self._dispatch(history, reservation)
            if isinstance(opened, Success):
                return Success(_open_attempt(reservation, opened.unwrap()))
            failure = opened.failure()
            history.record_failure(reservation.endpoint.id, failure)
            refusal = self._refuse_retry(history, failure)
            if refusal is not None:
                return Failure(history.with_combined_verdict(refusal))

    async def _reserve(self, history: _AttemptHistory) -> Result[Reservation, Refusal]:
        request = history.call.request
        return await self._gate.reserve(
            self._admission.ticket(request),
            history.target,
            lambda: self._chooser.choose(
                request, history.target, excluded=history.excluded
            ),
            release=self._release_unused,
        )

    def _release_unused(self, reservation: Reservation) -> None:
        self._chooser.release(reservation, Outcome.REVOKED)

    def _refuse_retry(
        self, history: _AttemptHistory, failure: DispatchFailure
    ) -> Refusal | None:
        """Return the refusal if no further attempt is allowed, otherwise None."""
        check: Result[None, Refusal] = self._check(history.call, history.version)
        if not isinstance(check, Success):
            refusal: Refusal = check.failure()
            return refusal
        decision = self._retries.decide(
            history.call.request, verdict=failure.verdict, attempts=history.attempts
        )
        if decision is RetryDecision.RETRY:
            return None
        return Refusal(
            reason=RefusalReason.ENDPOINT_FAILED,
            verdict=failure.verdict,
            message=f"no endpoint answered: {failure.outcome.value}, {decision.value}",
        )

    async def _dispatch(
        self, history: _AttemptHistory, reservation: Reservation
    ) -> Result[OpenAnswer, DispatchFailure]:
        started_at = self._clock.now()
        attempt = history.attempts + 1

        def finish(outcome: DispatchOutcome) -> None:
            if outcome is DispatchOutcome.ANSWERED:
                self._admission.mark_answered(history.call.request)
            self._chooser.release(reservation, _HEALTH_OUTCOMES[outcome])
            self._log(history, reservation, attempt, outcome, started_at)

        has_returned = False
        try:
            opened = await self._dispatcher.open(
                self._endpoint_call(history, reservation, finish)
            )
            has_returned = True
        finally:
            if not has_returned:
                finish(DispatchOutcome.CANCELLED)
        self._record_incarnation(reservation, opened)
        if isinstance(opened, Failure):
            finish(opened.failure().outcome)
        return opened

    def _endpoint_call(
        self,
        history: _AttemptHistory,
        reservation: Reservation,
        finish: Callable[[DispatchOutcome], None],
    ) -> EndpointCall:
        call = history.call

        def may_send() -> bool:
            is_permitted = isinstance(self._check(call, history.version), Success)
            return is_permitted and self._chooser.may_dispatch(reservation)

        return EndpointCall(
            url=reservation.endpoint.url,
            path=self._path(call.target),
            body=_body_for(call, history.version),
            nonce=Nonce(f"{self._random.getrandbits(NONCE_BITS):x}"),
            deadline=call.request.deadline,
            incarnation=reservation.warmth.incarnation,
            is_streamed=call.request.is_streamed,
            may_send=may_send,
            on_end=finish,
        )

    def _record_incarnation(
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
        history: _AttemptHistory,
        reservation: Reservation,
        attempt: int,
        outcome: DispatchOutcome,
        started_at: Milliseconds,
    ) -> None:
        version = history.version
        if isinstance(version, NoVersion):
            version = VersionId("")
        event = AttemptFinished(
            request=history.call.request.id,
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


def _open_attempt(reservation: Reservation, answer: OpenAnswer) -> Attempt:
    return Attempt(
        endpoint=reservation.endpoint.id,
        status=answer.status,
        content_type=answer.content_type,
        chunks=answer.chunks,
    )


def _body_for(call: Call, version: VersionId | NoVersion) -> bytes:
    """Return the caller's body, with ``model`` set to the version if there is one."""
    if isinstance(version, NoVersion):
        return call.body
    fields = _BODY_DECODER.decode(call.body)
    fields["model"] = msgspec.Raw(msgspec.json.encode(version))
    return msgspec.json.encode(fields)
