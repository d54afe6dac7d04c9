"""Calls to endpoints and their outcomes."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import Incarnation, Nonce
from fuchsiaroute.verdict import Verdict

#: Incarnation of an endpoint that does not name any.
UNKNOWN_INCARNATION = Incarnation(0)


class DispatchOutcome(Enum):
    """How a call ended, as far as the endpoint's health is concerned."""

    ANSWERED = "answered"
    #: The endpoint said that it is starting and did not run the request.
    REFUSED_COLD = "refused-cold"
    #: The endpoint said that it is full and did not run the request.
    REFUSED_FULL = "refused-full"
    #: No byte of the request left.
    NOT_SENT = "not-sent"
    #: No byte left: the endpoint has restarted since it was chosen.
    RESTARTED = "restarted"
    #: No byte left: the choice or the permission no longer held.
    REVOKED = "revoked"
    #: The call failed after bytes of the request may have left.
    FAILED = "failed"
    #: No progress within the timeout.
    SILENT = "silent"
    #: The connection was lost, while the endpoint answers on a new one.
    CONNECTION_LOST = "connection-lost"
    #: The answer ended before its end.
    TRUNCATED = "truncated"
    #: The answer belongs to another dispatch.
    CROSSED = "crossed"
    #: The caller went away.
    CANCELLED = "cancelled"


_VERDICTS = {
    DispatchOutcome.ANSWERED: Verdict.RUN,
    DispatchOutcome.REFUSED_COLD: Verdict.NOT_RUN,
    DispatchOutcome.REFUSED_FULL: Verdict.NOT_RUN,
    DispatchOutcome.NOT_SENT: Verdict.NOT_RUN,
    DispatchOutcome.RESTARTED: Verdict.NOT_RUN,
    DispatchOutcome.REVOKED: Verdict.NOT_RUN,
}


def _may_always_send() -> bool:
    return True


def _ignore_end(outcome: DispatchOutcome) -> None:
    """Take no notice of the end."""


@dataclass(frozen=True, kw_only=True)
class EndpointCall:
    """A call to one endpoint."""

    #: Base URL of the endpoint.
    url: str
    #: Path of the call.
    path: str
    #: JSON body.
    body: bytes
    #: Random value that the answer must carry.
    nonce: Nonce
    #: Unix time in milliseconds after which the answer is of no use.
    deadline: Milliseconds
    #: Incarnation that the endpoint must have; ``UNKNOWN_INCARNATION`` for any.
    incarnation: Incarnation = UNKNOWN_INCARNATION
    #: Whether the head of the answer comes long before its end.
    is_streamed: bool = True
    #: Asked right before the first byte leaves; False keeps it from leaving.
    may_send: Callable[[], bool] = _may_always_send
    #: Told once how an opened answer ended.
    on_end: Callable[[DispatchOutcome], None] = _ignore_end


@dataclass(frozen=True, kw_only=True)
class OpenAnswer:
    """An answer whose head has arrived; ``chunks`` raises ``BrokenAnswerError``."""

    status: int
    content_type: str
    #: What the endpoint named; ``UNKNOWN_INCARNATION`` if it names none.
    incarnation: Incarnation
    chunks: AsyncIterator[bytes]


@dataclass(frozen=True, kw_only=True)
class DispatchFailure:
    """A call without an answer."""

    outcome: DispatchOutcome
    message: str
    #: What the endpoint named; ``UNKNOWN_INCARNATION`` if it names none.
    incarnation: Incarnation = UNKNOWN_INCARNATION

    @property
    def verdict(self) -> Verdict:
        """Return whether the endpoint may have run the request."""
        return _VERDICTS.get(self.outcome, Verdict.MAY_HAVE_RUN)
