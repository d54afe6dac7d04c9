"""Admission: the limits on the work that an entry takes."""

from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.request import Request
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

#: Advice to a caller that met a full entry.
RETRY_AFTER_FULL = Milliseconds(500)


class InFlightLimit:
    """Admits a bounded number of requests at once; implements ``AdmitStep``."""

    def __init__(self, *, clock: Clock, limit: int) -> None:
        self._clock = clock
        self._limit = limit
        self._in_flight = 0

    async def admit(self, request: Request) -> Result[None, Refusal]:
        """Admit ``request`` or refuse it; an admitted one must be released."""
        if request.deadline <= self._clock.wall():
            return _refuse(RefusalReason.DEADLINE, "the deadline has passed")
        if self._in_flight >= self._limit:
            return _refuse(RefusalReason.OVERLOADED, "the entry is full")
        self._in_flight += 1
        return Success(None)

    def release(self, request: Request) -> None:
        """Give back what ``request`` held."""
        self._in_flight -= 1


def _refuse(reason: RefusalReason, message: str) -> Result[None, Refusal]:
    refusal = Refusal(
        reason=reason,
        verdict=Verdict.NOT_RUN,
        message=message,
        retry_after=RETRY_AFTER_FULL,
    )
    return Failure(refusal)
