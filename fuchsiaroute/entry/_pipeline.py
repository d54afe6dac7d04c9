"""The path of a request through an entry, step by step."""

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
    Answer as KeptAnswer,
    Outcome,
)
from fuchsiaroute.ids import EndpointId, VersionId
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict, combine_verdicts


@dataclass
class _Progress:
    """What has happened to one call so far."""

    attempts: list[AttemptRecord] = field(default_factory=list)
    verdicts: list[Verdict] = field(default_factory=list)
    #: The best of the answers that were too weak, if there was one.
    weak_answer: Answer | None = None

    def true_refusal(self, refusal: Refusal) -> Refusal:
        """Return ``refusal`` with the verdict over all attempts."""
        verdict = combine_verdicts((*self.verdicts, refusal.verdict))
        return replace(refusal, verdict=verdict)


class Pipeline:
    """Takes calls through the steps of an entry."""

    def __init__(self, *, steps: Steps) -> None:
        self._steps = steps

    async def handle(self, call: Call) -> Result[Answer, Refusal]:
        """Return the answer of ``call``, or why there is none."""
        match await self._billable(call):
            case Failure(refusal):
                return Failure(
                    await self._steps.claim.confirm_refusal(call.request, refusal)
                )
            case Success(answer):
                return Success(answer)
        raise AssertionError("a Result is a Success or a Failure")

    async def _billable(self, call: Call) -> Result[Answer, Refusal]:
        match self._steps.bill.check_capacity():
            case Failure(refusal):
                return Failure(refusal)
        return await self._admitted(call)

    async def _admitted(self, call: Call) -> Result[Answer, Refusal]:
        match await self._steps.admit.admit(call.request):
            case Failure(refusal):
                return Failure(refusal)
        is_answered = False
        try:
            result = await self._routed(call)
            is_answered = isinstance(result, Success)
            return result
        finally:
            # An answer releases the admission itself, once its stream has ended.
            if not is_answered:
                self._steps.admit.release(call.request)

    async def _routed(self, call: Call) -> Result[Answer, Refusal]:
        match await self._steps.route.decide(call):
            case Failure(refusal):
                return Failure(refusal)
            case Success(routed):
                return await self._claimed(call, routed)
        raise AssertionError("a Result is a Success or a Failure")

    async def _claimed(
        self, call: Call, routed: RoutingResult
    ) -> Result[Answer, Refusal]:
        match await self._steps.claim.claim(call.request):
            case Failure(refusal):
                return Failure(refusal)
            case Success(KeptAnswer() as kept):
                return Success(self._repeated(call, kept))
        ended = Outcome(verdict=Verdict.MAY_HAVE_RUN, message="the entry broke off")
        is_answered = False
        try:
            result = await self._attempted(call, routed, _Progress())
            match result:
                case Success(_):
                    is_answered = True
                case Failure(refusal):
                    ended = Outcome(verdict=refusal.verdict, message=refusal.message)
            return result
        finally:
            # An answer ends the claim itself, once its stream has ended.
            if not is_answered:
                await self._steps.claim.record(call.request, ended)

    def _repeated(self, call: Call, kept: KeptAnswer) -> Answer:
        """Return the answer that the request's id got before."""
        return Answer(
            status=kept.status,
            content_type=kept.media_type,
            chunks=self._replay(call, kept.body),
            version=NoVersion.TOKEN,
            endpoint=EndpointId(""),
        )

    async def _replay(self, call: Call, body: bytes) -> AsyncIterator[bytes]:
        try:
            yield body
        finally:
            self._steps.admit.release(call.request)

    async def _attempted(
        self, call: Call, routed: RoutingResult, progress: _Progress
    ) -> Result[Answer, Refusal]:
        versions: tuple[VersionId | NoVersion, ...] = routed.decision.versions
        refusal = _no_version()
        for position, version in enumerate(versions or (NoVersion.TOKEN,)):
            match await self._attempt(call, version):
                case Failure(refusal):
                    progress.verdicts.append(refusal.verdict)
                    if not _may_go_on(call, refusal):
                        break
                case Success(attempt):
                    is_last = position + 1 >= len(versions)
                    answer = await self._accepted(
                        call, version, attempt, progress, is_last=is_last
                    )
                    if answer is not None:
                        return Success(replace(answer, pin=routed.pin))
        if progress.weak_answer is not None:
            # A weak answer serves the caller better than the refusal of a stronger
            # version, and its cost has been paid.
            return Success(replace(progress.weak_answer, pin=routed.pin))
        return Failure(progress.true_refusal(refusal))

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

    async def _accepted(
        self,
        call: Call,
        version: VersionId | NoVersion,
        attempt: Attempt,
        progress: _Progress,
        *,
        is_last: bool,
    ) -> Answer | None:
        """Return the answer, or None if the next version has to be asked."""
        chunks = attempt.chunks
        if not is_last and not isinstance(version, NoVersion):
            try:
                body = b"".join([chunk async for chunk in chunks])
            except BrokenAnswerError:
                progress.verdicts.append(Verdict.MAY_HAVE_RUN)
                return None
            if self._steps.route.should_escalate(call.request, version, body):
                progress.verdicts.append(Verdict.RUN)
                # The kept answer bills the attempts before it and itself.
                before = _Progress(attempts=list(progress.attempts))
                kept = replace(attempt, chunks=_single(body))
                progress.weak_answer = self._answer(call, version, kept, before)
                progress.attempts.append(self._record(call, version, attempt, body))
                return None
            chunks = _single(body)
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

    def _record(
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
        """Yield the answer; the request is billed before the caller has its end."""
        size = 0
        verdict = Verdict.MAY_HAVE_RUN
        kept = _AnswerKeeper(call, attempt)
        try:
            async for chunk in attempt.chunks:
                size += len(chunk)
                kept.add(chunk)
                if STREAM_END in chunk:
                    await self._bill(call, version, attempt, progress, size)
                    verdict = Verdict.RUN
                yield chunk
            if verdict is not Verdict.RUN:
                await self._bill(call, version, attempt, progress, size)
                verdict = Verdict.RUN
            kept.is_whole = True
        finally:
            self._steps.admit.release(call.request)
            await self._steps.claim.record(call.request, kept.outcome(verdict))

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


class _AnswerKeeper:
    """Keeps the answer of a non-idempotent request if it is whole and small."""

    def __init__(self, call: Call, attempt: Attempt) -> None:
        self._is_wanted = not call.request.is_idempotent
        self._attempt = attempt
        self._body = b""
        #: Whether the last chunk has been added.
        self.is_whole = False

    def add(self, chunk: bytes) -> None:
        """Keep ``chunk``, unless the answer has grown too large."""
        if not self._is_wanted:
            return
        self._body += chunk
        if len(self._body) > MAX_STORED_ANSWER_BYTES:
            self._is_wanted = False
            self._body = b""

    def outcome(self, verdict: Verdict) -> Outcome:
        """Return the outcome to record for the request."""
        if not (self._is_wanted and self.is_whole):
            return Outcome(verdict=verdict)
        answer = KeptAnswer(
            status=self._attempt.status,
            media_type=self._attempt.content_type,
            body=self._body,
        )
        return Outcome(verdict=verdict, answer=answer)


async def _single(body: bytes) -> AsyncIterator[bytes]:
    yield body


def _may_go_on(call: Call, refusal: Refusal) -> bool:
    is_safe = call.request.is_idempotent or refusal.verdict is Verdict.NOT_RUN
    return is_safe and refusal.reason is not RefusalReason.DEADLINE


def _no_version() -> Refusal:
    return Refusal(
        reason=RefusalReason.NOT_PERMITTED,
        verdict=Verdict.NOT_RUN,
        message="no permitted model matches the request",
    )
