"""Answers to repeated request ids and to ids whose claim is unresolved."""

from dataclasses import dataclass, replace
from enum import Enum
from functools import singledispatch

from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.idempotency._record import Answer, ClaimRecord, Outcome
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

#: Shortest retry delay sent with the refusal of a repeated or unresolved id.
MIN_RETRY_DELAY = Milliseconds(1_000)


@dataclass(frozen=True, kw_only=True)
class Replay:
    """The stored answer of a repeated id; the request is not dispatched again."""

    answer: Answer


class RepeatKind(Enum):
    """Why a repeated id cannot be answered in full."""

    UNDER_WAY = "under-way"
    NOT_READABLE = "not-readable"
    FOREIGN = "foreign"
    EXPIRED = "expired"


_MESSAGES = {
    RepeatKind.UNDER_WAY: "a request with this id was accepted; its end is not known",
    RepeatKind.NOT_READABLE: "a request with this id was accepted before",
    RepeatKind.FOREIGN: "the id was issued by another entry; send it there",
    RepeatKind.EXPIRED: "the id is too old; its request may have run before",
}


def refuse_repeat(kind: RepeatKind) -> Refusal:
    """Return the refusal of a repeated id for which no outcome is available."""
    return Refusal(
        reason=RefusalReason.DUPLICATE,
        verdict=Verdict.MAY_HAVE_RUN,
        message=_MESSAGES[kind],
        retry_after=MIN_RETRY_DELAY,
    )


def refuse_unresolved(retry_after: Milliseconds) -> Refusal:
    """
    Return the refusal of an id whose claim the store did not confirm.

    This entry has not dispatched the request, but another entry may have.
    """
    return Refusal(
        reason=RefusalReason.STORE_UNAVAILABLE,
        verdict=Verdict.MAY_HAVE_RUN,
        message="earlier use of this id is not known; retry with the same id",
        retry_after=max(retry_after, MIN_RETRY_DELAY),
    )


@singledispatch
def answer_repeat(source: object) -> Result[Replay, Refusal]:
    """Return the answer to a repeated id from its claim, outcome or repeat kind."""
    raise TypeError(f"cannot answer a repeated id from {type(source).__name__}")


@answer_repeat.register
def _(source: ClaimRecord) -> Result[Replay, Refusal]:
    if source.outcome is None:
        return Failure(refuse_repeat(RepeatKind.UNDER_WAY))
    return answer_repeat(source.outcome)


@answer_repeat.register
def _(source: Outcome) -> Result[Replay, Refusal]:
    if source.answer is not None:
        return Success(Replay(answer=source.answer))
    message = source.message or "a request with this id has run; its answer is not kept"
    refusal = Refusal(
        reason=RefusalReason.DUPLICATE, verdict=source.verdict, message=message
    )
    return Failure(refusal)


@answer_repeat.register
def _(source: RepeatKind) -> Result[Replay, Refusal]:
    return Failure(refuse_repeat(source))


def with_verdict(refusal: Refusal, verdict: Verdict) -> Refusal:
    """Return ``refusal`` with ``verdict`` in place of its own."""
    return replace(refusal, verdict=verdict)
