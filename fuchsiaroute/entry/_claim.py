"""Claims: a non-idempotent request runs at most once."""

from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock
from fuchsiaroute.idempotency import Answer, Claim, ClaimTable, Outcome, Replay
from fuchsiaroute.ids import OrganisationId, RequestId
from fuchsiaroute.request import Request
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict


class ClaimTableStep:
    """Claims of a claim book; implements ``ClaimStep``."""

    def __init__(self, *, book: ClaimTable, clock: Clock) -> None:
        self._book = book
        self._clock = clock
        self._held: dict[tuple[OrganisationId, RequestId], Claim] = {}

    async def claim(self, request: Request) -> Result[Answer | None, Refusal]:
        """
        Claim ``request`` before its dispatch; idempotent ones need no claim.

        Success holds the recorded answer of a repeated id, or None to dispatch it.
        """
        if request.is_idempotent:
            return Success(None)
        match await self._book.claim(request):
            case Success(Replay(answer=answer)):
                return Success(answer)
            case Success(claim):
                self._held[_key(request)] = claim
                return Success(None)
            case Failure(refusal):
                return Failure(refusal)
        raise AssertionError("a Result is a Success or a Failure")

    def check_dispatch(self, request: Request) -> Result[None, Refusal]:
        """Check right before a dispatch that deadline and claim still allow it."""
        now = self._clock.wall()
        if now > request.deadline:
            return Failure(_too_late())
        if request.is_idempotent:
            return Success(None)
        claim = self._held.get(_key(request))
        if claim is None or not claim.may_dispatch(now):
            return Failure(_too_late())
        return Success(None)

    async def record(self, request: Request, outcome: Outcome) -> None:
        """Record how the claimed ``request`` ended; it is not dispatched again."""
        claim = self._held.pop(_key(request), None)
        if claim is not None:
            self._book.record(claim, outcome)

    async def confirm_refusal(self, request: Request, refusal: Refusal) -> Refusal:
        """Return ``refusal`` with a verdict that is true of the whole request."""
        return await self._book.confirm_refusal(request, refusal)


def _key(request: Request) -> tuple[OrganisationId, RequestId]:
    return request.organisation, request.id


def _too_late() -> Refusal:
    return Refusal(
        reason=RefusalReason.DEADLINE,
        verdict=Verdict.NOT_RUN,
        message="the deadline passed before the dispatch",
    )
