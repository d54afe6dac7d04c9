"""The steps that a request passes through in an entry."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace

from returns.result import Failure, Result, Success

from fuchsiaroute.dispatch import STREAM_END, BrokenAnswerError
from fuchsiaroute.entry._call import (
    Answer,
    AttemptRecord,
    Bill,
    Call,
    NoVersion,
    ServiceTarget,
)
from fuchsiaroute.entry._steps import Attempt, RoutingResult, Steps
from fuchsiaroute.idempotency import (
    MAX_STORED_ANSWER_BYTES,
    Answer as StoredAnswer,
    Outcome,
)
from fuchsiaroute.ids import EndpointId, VersionId
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict, combine_verdicts


@dataclass
class _Progress:
    """The attempts of one call so far."""

    attempts: list[AttemptRecord] = field(default_factory=list)
    verdicts: list[Verdict] = field(default_factory=list)
    #: Latest answer that was too weak, from the strongest version that answered.
    weak_answer: Answer | None = None

    def with_combined_verdict(self, refusal: Refusal) -> Refusal:
        """Return ``refusal`` with the verdict combined over all attempts."""
        verdict = combine_verdicts((*self.verdicts, refusal.verdict))
        return replace(refusal, verdict=verdict)


class Pipeline:
    """Runs calls through the steps of an entry."""

    def __init__(self, *, steps: Steps) -> None:
        self._steps = steps

    async def handle(self, call: Call) -> Result[Answer, Refusal]:
        """Return the answer of ``call``, or the reason for refusing it."""
        match await self._check_capacity(call):
            case Failure(refusal):
                return Failure(
                    await self._steps.claim.confirm_refusal(call.request, refusal)
                )
            case Success(answer):
                return Success(answer)
        raise AssertionError("a Result is a Success or a Failure")

    async def _check_capacity(self, call: Call) -> Result[Answer, Refusal]:
        match self._steps.bill.check_capacity():
            case Failure(refusal):
                return Failure(refusal)
        return await self._admit(call)

    async def _admit(self, call: Call) -> Result[Answer, Refusal]:
        match await self._steps.admit.admit(call.request):
            case Failure(refusal):
                return Failure(refusal)
        is_answered = False
        try:
            result = await self._route(call)
            is_answered = isinstance(result, Success)
            return result
        finally:
            # The admission of an answered request is released when its stream ends.
            if not is_answered:
                self._steps.admit.release(call.request)

    async def _route(self, call: Call) -> Result[Answer, Refusal]:
        match await self._steps.route.decide(call):
            case Failure(refusal):
                return Failure(refusal)
            case Success(routed):
                return await self._claim(call, routed)
        raise AssertionError("a Result is a Success or a Failure")

    async def _claim(
        self, call: Call, routed: RoutingResult
    ) -> Result[Answer, Refusal]:
        match await self._steps.claim.claim(call.request):
            case Failure(refusal):
                return Failure(refusal)
            case Success(StoredAnswer() as stored):
                return Success(self._stored_answer(call, stored))
        outcome = Outcome(verdict=Verdict.MAY_HAVE_RUN, message="the entry broke off")
        is_answered = False
        try:
            result = await self._try_versions(call, routed, _Progress())
            match result:
                case Success(_):
                    is_answered = True
                case Failure(refusal):
                    outcome = Outcome(verdict=refusal.verdict, message=refusal.message)
            return result
        finally:
            # The claim of an answered request is ended when its stream ends.
            if not is_answered:
                await self._steps.claim.record(call.request, outcome)

    def _stored_answer(self, call: Call, stored: StoredAnswer) -> Answer:
        """Return the stored answer of an earlier request with the same id."""
        return Answer(
            status=stored.status,
            content_type=stored.media_type,
            chunks=self._replay(call, stored.body),
            version=NoVersion.TOKEN,
            endpoint=EndpointId(""),
        )

    async def _replay(self, call: Call, body: bytes) -> AsyncIterator[bytes]:
        try:
            yield body
        finally:
            self._steps.admit.release(call.request)

    async def _try_versions(
        self, call: Call, routed: RoutingResult, progress: _Progress
    ) -> Result[Answer, Refusal]:
        versions: tuple[VersionId | NoVersion, ...] = routed.decision.versions
        refusal = _no_model_refusal()
        for position, version in enumerate(versions or (NoVersion.TOKEN,)):
            match await self._attempt(call, version):
                case Failure(refusal):
                    progress.verdicts.append(refusal.verdict)
                    if not _may_try_next(call, refusal):
                        break
                case Success(attempt):
                    is_last = position + 1 >= len(versions)
                    answer = await self._accept(
                        call, version, attempt, progress, is_last=is_last
                    )
                    if answer is not None:
                        return Success(replace(answer, pin=routed.pin))
        if progress.weak_answer is not None:
            # A weak answer is of more use to the caller than the refusal of a stronger
            # version, and its cost has already been incurred.
            return Success(replace(progress.weak_answer, pin=routed.pin))
        return Failure(progress.with_combined_verdict(refusal))

    async def _attempt(
        self, call: Call, version: VersionId | NoVersion
    ) -> Result[Attempt, Refusal]:
        if not isinstance(version, NoVersion):
            match self._steps.route.check_dispatch(call.request, version):
                case Failure(refusal):
                    return Failure(refusal)
        match self._steps.claim.check_dispatch(call.request):
            case Failure(refusal):
                return Failure(refusal)
        return await self._steps.attempt.attempt(call, version)

    async def _accept(
        self,
        call: Call,
        version: VersionId | NoVersion,
        attempt: Attempt,
        progress: _Progress,
        *,
        is_last: bool,
    ) -> Answer | None:
        """Return the answer, or None to try the next version."""
        chunks = attempt.chunks
        if not is_last and not isinstance(version, NoVersion):
            try:
                body = b"".join([chunk async for chunk in chunks])
            except BrokenAnswerError:
                progress.verdicts.append(Verdict.MAY_HAVE_RUN)
                return None
            if self._steps.route.should_escalate(call.request, version, body):
                progress.verdicts.append(Verdict.RUN)
                # If this answer is delivered, its bill includes the earlier attempts.
                earlier = _Progress(attempts=list(progress.attempts))
                buffered = replace(attempt, chunks=_single_chunk(body))
                progress.weak_answer = self._answer(call, version, buffered, earlier)
                progress.attempts.append(
                    self._attempt_record(call, version, attempt, body)
                )
                return None
            chunks = _single_chunk(body)
        return self._answer(call, version, replace(attempt, chunks=chunks), progress)

    def _answer(
        self,
        call: Call,
        version: VersionId | NoVersion,
        attempt: Attempt,
        progress: _Progress,
    ) -> Answer:
        return Answer(
            status=attempt.status,
            content_type=attempt.content_type,
            chunks=self._relay(call, version, attempt, progress),
            version=version,
            endpoint=attempt.endpoint,
        )

    def _attempt_record(
        self,
        call: Call,
        version: VersionId | NoVersion,
        attempt: Attempt,
        body: bytes,
    ) -> AttemptRecord:
        return AttemptRecord(
            version=version,
            endpoint=attempt.endpoint,
            cost=self._cost(call, version, len(body)),
        )

    def _cost(self, call: Call, version: VersionId | NoVersion, size: int) -> int:
        if isinstance(call.target, ServiceTarget):
            return call.target.cost
        if isinstance(version, NoVersion):
            return 0
        return self._steps.route.cost(version, size)

    async def _relay(
        self,
        call: Call,
        version: VersionId | NoVersion,
        attempt: Attempt,
        progress: _Progress,
    ) -> AsyncIterator[bytes]:
        """Yield the answer; the request is billed before the caller gets its end."""
        size = 0
        verdict = Verdict.MAY_HAVE_RUN
        recorder = _AnswerRecorder(call, attempt)
        try:
            async for chunk in attempt.chunks:
                size += len(chunk)
                recorder.add(chunk)
                if STREAM_END in chunk:
                    await self._bill(call, version, attempt, progress, size)
                    verdict = Verdict.RUN
                yield chunk
            if verdict is not Verdict.RUN:
                await self._bill(call, version, attempt, progress, size)
                verdict = Verdict.RUN
            recorder.is_complete = True
        finally:
            self._steps.admit.release(call.request)
            await self._steps.claim.record(call.request, recorder.outcome(verdict))

    async def _bill(
        self,
        call: Call,
        version: VersionId | NoVersion,
        attempt: Attempt,
        progress: _Progress,
        size: int,
    ) -> None:
        last = AttemptRecord(
            version=version,
            endpoint=attempt.endpoint,
            cost=self._cost(call, version, size),
        )
        attempts = (*progress.attempts, last)
        await self._steps.bill.bill(Bill(request=call.request, attempts=attempts))


class _AnswerRecorder:
    """Collects the answer of a non-idempotent request, to be stored for repeats."""

    def __init__(self, call: Call, attempt: Attempt) -> None:
        self._is_recording = not call.request.is_idempotent
        self._attempt = attempt
        self._body = b""
        #: Set once the last chunk has been added; a partial answer is not stored.
        self.is_complete = False

    def add(self, chunk: bytes) -> None:
        """Append ``chunk``; discard the answer once it exceeds the size limit."""
        if not self._is_recording:
            return
        self._body += chunk
        if len(self._body) > MAX_STORED_ANSWER_BYTES:
            self._is_recording = False
            self._body = b""

    def outcome(self, verdict: Verdict) -> Outcome:
        """Return the outcome to record, with the answer if it can be stored."""
        if not (self._is_recording and self.is_complete):
            return Outcome(verdict=verdict)
        answer = StoredAnswer(
            status=self._attempt.status,
            media_type=self._attempt.content_type,
            body=self._body,
        )
        return Outcome(verdict=verdict, answer=answer)


async def _single_chunk(body: bytes) -> AsyncIterator[bytes]:
    yield body


def _may_try_next(call: Call, refusal: Refusal) -> bool:
    is_safe = call.request.is_idempotent or refusal.verdict is Verdict.NOT_RUN
    return is_safe and refusal.reason is not RefusalReason.DEADLINE


def _no_model_refusal() -> Refusal:
    return Refusal(
        reason=RefusalReason.NOT_PERMITTED,
        verdict=Verdict.NOT_RUN,
        message="no permitted model matches the request",
    )
