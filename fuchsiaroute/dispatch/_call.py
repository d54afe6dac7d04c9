"""Calls to endpoints and their outcomes."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import Incarnation, Nonce
from fuchsiaroute.verdict import Verdict

#: Stands for the incarnation of an endpoint that reports none.
UNKNOWN_INCARNATION = Incarnation(0)


class DispatchOutcome(Enum):
    """How a call to an endpoint ended."""

    ANSWERED = "answered"
    #: The endpoint rejected the request without running it, because it is starting.
    REFUSED_COLD = "refused-cold"
    #: The endpoint rejected the request without running it, because it is full.
    REFUSED_FULL = "refused-full"
    #: No byte of the request was sent.
    NOT_SENT = "not-sent"
    #: No byte was sent: the endpoint has restarted since it was chosen.
    RESTARTED = "restarted"
    #: No byte was sent: the choice or the permission was no longer valid.
    REVOKED = "revoked"
    #: The call failed after bytes of the request may have been sent.
    FAILED = "failed"
    #: No progress within the timeout.
    SILENT = "silent"
    #: The connection was lost, but the endpoint answers on a new one.
    CONNECTION_LOST = "connection-lost"
    #: The answer broke off or lacks its last event.
    TRUNCATED = "truncated"
    #: The answer does not carry the nonce of the request.
    CROSSED = "crossed"
    #: The caller cancelled the call.
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
    """Do nothing."""


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
    #: Whether the answer is streamed, so that its head arrives long before its end.
    is_streamed: bool = True
    #: Called right before the first byte is sent; False prevents sending.
    may_send: Callable[[], bool] = _may_always_send
    #: Called once with the outcome of an opened answer.
    on_end: Callable[[DispatchOutcome], None] = _ignore_end


@dataclass(frozen=True, kw_only=True)
class OpenAnswer:
    """An answer whose head has arrived; ``chunks`` may raise ``BrokenAnswerError``."""

    status: int
    content_type: str
    #: Reported by the endpoint; ``UNKNOWN_INCARNATION`` if it reports none.
    incarnation: Incarnation
    chunks: AsyncIterator[bytes]


@dataclass(frozen=True, kw_only=True)
class DispatchFailure:
    """A call without an answer."""

    outcome: DispatchOutcome
    message: str
    #: Reported by the endpoint; ``UNKNOWN_INCARNATION`` if it reports none.
    incarnation: Incarnation = UNKNOWN_INCARNATION

    @property
    def verdict(self) -> Verdict:
        """Return whether the endpoint may have run the request."""
        return _VERDICTS.get(self.outcome, Verdict.MAY_HAVE_RUN)
