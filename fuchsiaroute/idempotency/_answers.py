"""What the caller of a repeated or unresolved request id is told."""

from dataclasses import dataclass, replace
from enum import Enum
from functools import singledispatch

from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.idempotency._record import Answer, ClaimRecord, Outcome
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

#: Earliest useful retry of an id whose request is under way elsewhere.
DUPLICATE_RETRY = Milliseconds(1_000)


@dataclass(frozen=True, kw_only=True)
class Replay:
    """A repeated id whose whole answer is on record; nothing is dispatched."""

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
    """Return the refusal of a repeated id whose outcome is not known."""
    return Refusal(
        reason=RefusalReason.DUPLICATE,
        verdict=Verdict.MAY_HAVE_RUN,
        message=_MESSAGES[kind],
        retry_after=DUPLICATE_RETRY,
    )


def refuse_unresolved(retry_after: Milliseconds) -> Refusal:
    """
    Return the refusal of an id that the store could not be asked about.

    This entry has not dispatched it, but another entry may have.
    """
    return Refusal(
        reason=RefusalReason.STORE_UNAVAILABLE,
        verdict=Verdict.MAY_HAVE_RUN,
        message="earlier use of this id is not known; retry with the same id",
        retry_after=max(retry_after, DUPLICATE_RETRY),
    )


@singledispatch
def answer_repeat(known: object) -> Result[Replay, Refusal]:
    """Return the answer to a repeated id from what is known of it."""
    raise TypeError(f"no answer from {type(known).__name__}")


@answer_repeat.register
def _(known: ClaimRecord) -> Result[Replay, Refusal]:
    if known.outcome is None:
        return Failure(refuse_repeat(RepeatKind.UNDER_WAY))
    return answer_repeat(known.outcome)


@answer_repeat.register
def _(known: Outcome) -> Result[Replay, Refusal]:
    if known.answer is not None:
        return Success(Replay(answer=known.answer))
    message = known.message or "a request with this id has run; its answer is not kept"
    refusal = Refusal(
        reason=RefusalReason.DUPLICATE, verdict=known.verdict, message=message
    )
    return Failure(refusal)


@answer_repeat.register
def _(known: RepeatKind) -> Result[Replay, Refusal]:
    return Failure(refuse_repeat(known))


def with_verdict(refusal: Refusal, verdict: Verdict) -> Refusal:
    """Return ``refusal`` with ``verdict`` in place of its own."""
    return replace(refusal, verdict=verdict)
