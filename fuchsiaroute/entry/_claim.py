"""Claims: a non-idempotent request runs at most once."""

from dataclasses import replace

from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock
from fuchsiaroute.platform import ABSENT, Check, Conflict, Put, TableStore, Transaction
from fuchsiaroute.request import Request
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict


class StoredClaims:
    """Claims written to the table service; implements ``ClaimStep``."""

    def __init__(self, *, store: TableStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    async def claim(self, request: Request) -> Result[None, Refusal]:
        """Claim ``request`` before its dispatch; idempotent ones need no claim."""
        if request.is_idempotent:
            return Success(None)
        key = _key(request)
        transaction = Transaction(
            checks=(Check(key=key, version=ABSENT),), puts=(Put(key=key, value=b"1"),)
        )
        match await self._store.commit(transaction):
            case Success(Conflict()):
                return Failure(_refusal(RefusalReason.DUPLICATE, "id was used before"))
            case Success(_):
                return Success(None)
        return Failure(_refusal(RefusalReason.STORE_UNAVAILABLE, "claim not written"))

    def check_dispatch(self, request: Request) -> Result[None, Refusal]:
        """Check right before a dispatch that the deadline has not passed."""
        if request.deadline > self._clock.wall():
            return Success(None)
        refusal = Refusal(
            reason=RefusalReason.DEADLINE,
            verdict=Verdict.NOT_RUN,
            message="the deadline passed before the dispatch",
        )
        return Failure(refusal)

    async def record(self, request: Request, verdict: Verdict) -> None:
        """Record how the claimed ``request`` ended."""
        if request.is_idempotent:
            return
        put = Put(key=_key(request), value=verdict.value.encode())
        await self._store.commit(Transaction(puts=(put,)))

    async def confirm_refusal(self, request: Request, refusal: Refusal) -> Refusal:
        """Return ``refusal`` with a verdict that is true of the whole request."""
        if request.is_idempotent or refusal.verdict is not Verdict.NOT_RUN:
            return refusal
        match await self._store.read([_key(request)]):
            case Success((record,)) if record.version == ABSENT:
                return refusal
        return replace(refusal, verdict=Verdict.MAY_HAVE_RUN)


def _key(request: Request) -> str:
    return f"claim/{request.organisation}/{request.id}"


def _refusal(reason: RefusalReason, message: str) -> Refusal:
    return Refusal(reason=reason, verdict=Verdict.MAY_HAVE_RUN, message=message)
