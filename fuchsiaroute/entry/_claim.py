"""Claims, by which a non-idempotent request runs at most once."""

from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock
from fuchsiaroute.idempotency import Answer, Claim, ClaimTable, Outcome, Replay
from fuchsiaroute.ids import OrganisationId, RequestId
from fuchsiaroute.request import Request
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict


class ClaimTableStep:
    """Claims requests in the claim table; implements ``ClaimStep``."""

    def __init__(self, *, table: ClaimTable, clock: Clock) -> None:
        self._table = table
        self._clock = clock
        self._claims: dict[tuple[OrganisationId, RequestId], Claim] = {}

    async def claim(self, request: Request) -> Result[Answer | None, Refusal]:
        """
        Claim ``request`` before its dispatch; an idempotent request needs no claim.

        Success contains the stored answer if the request id has been answered
        before, or None if the request has to be dispatched.
        """
        if request.is_idempotent:
            return Success(None)
        match await self._table.claim(request):
            case Success(Replay(answer=answer)):
                return Success(answer)
            case Success(claim):
                self._claims[_key(request)] = claim
                return Success(None)
            case Failure(refusal):
                return Failure(refusal)
        raise AssertionError("a Result is a Success or a Failure")

    def check_dispatch(self, request: Request) -> Result[None, Refusal]:
        """Check right before a dispatch that the deadline and the claim allow it."""
        now = self._clock.wall()
        if now > request.deadline:
            return Failure(_deadline_refusal())
        if request.is_idempotent:
            return Success(None)
        claim = self._claims.get(_key(request))
        if claim is None or not claim.may_dispatch(now):
            return Failure(_deadline_refusal())
        return Success(None)

    async def record(self, request: Request, outcome: Outcome) -> None:
        """Record the outcome of the claimed ``request`` and end its claim."""
        claim = self._claims.pop(_key(request), None)
        if claim is not None:
            self._table.record(claim, outcome)

    async def confirm_refusal(self, request: Request, refusal: Refusal) -> Refusal:
        """
        Return ``refusal`` with a verdict that holds for the request id in all entries.

        The id of a request that is refused as not run is closed first, so that no
        entry dispatches it later.
        """
        return await self._table.confirm_refusal(request, refusal)


def _key(request: Request) -> tuple[OrganisationId, RequestId]:
    return request.organisation, request.id


def _deadline_refusal() -> Refusal:
    return Refusal(
        reason=RefusalReason.DEADLINE,
        verdict=Verdict.NOT_RUN,
        message="the deadline passed before the dispatch",
    )
