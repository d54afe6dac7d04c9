"""Submits operators' changes to the log of accepted configurations."""

from returns.result import Failure, Success

from fuchsiaroute.configuration import (
    Accepted,
    ChangeError,
    ChangeErrorKind,
    ConfigurationLog,
)
from fuchsiaroute.ids import ChangeId
from fuchsiaroute.operators._messages import (
    ChangeOutcome,
    ChangeReply,
    SubmittedChange,
)

_OUTCOMES = {
    ChangeErrorKind.CONFLICT: ChangeOutcome.CONFLICT,
    ChangeErrorKind.CHANGE_ID_REUSED: ChangeOutcome.CHANGE_ID_REUSED,
    ChangeErrorKind.NOT_WRITTEN: ChangeOutcome.NOT_WRITTEN,
    ChangeErrorKind.UNKNOWN: ChangeOutcome.UNKNOWN,
}


class ConfigurationLogChanges:
    """Implements ``ChangeLog`` with the configuration log in the store."""

    def __init__(self, log: ConfigurationLog) -> None:
        self._log = log

    async def submit(self, change: SubmittedChange, *, author: str) -> ChangeReply:
        """Try to put ``change`` in force; idempotent by its change id."""
        match await self._log.accept(
            change.configuration,
            change_id=change.change,
            expected_revision=change.base,
            author=author,
            summary=change.summary,
        ):
            case Success(accepted):
                return _accepted(accepted)
            case Failure(error):
                return _failed(error)
        raise AssertionError("a Result is a Success or a Failure")

    async def outcome(self, change: ChangeId) -> ChangeReply:
        """Return the outcome of ``change``."""
        match await self._log.status(change):
            case Success(accepted):
                return _accepted(accepted)
            case Failure(error):
                return _failed(error)
        raise AssertionError("a Result is a Success or a Failure")


def _accepted(accepted: Accepted) -> ChangeReply:
    return ChangeReply(
        outcome=ChangeOutcome.ACCEPTED, revision=accepted.change.revision
    )


def _failed(error: ChangeError) -> ChangeReply:
    return ChangeReply(outcome=_OUTCOMES[error.kind], message=error.message)
