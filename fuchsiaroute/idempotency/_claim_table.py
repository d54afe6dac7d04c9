"""Claim table: at most one run for each non-idempotent request id."""

import asyncio
from collections import OrderedDict
from itertools import islice
from random import Random

from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.idempotency._answers import (
    RepeatKind,
    Replay,
    answer_repeat,
    refuse_unresolved,
    with_verdict,
)
from fuchsiaroute.idempotency._claim import Claim, ClaimState
from fuchsiaroute.idempotency._group_commit import (
    ClaimWrite,
    ClaimWriteState,
    GroupCommit,
)
from fuchsiaroute.idempotency._issued_ids import (
    ISSUED_LIFETIME,
    IdIssuer,
    IssuedIdState,
)
from fuchsiaroute.idempotency._record import (
    ClaimRecord,
    ClaimToken,
    Outcome,
    claim_key,
    decode_claim,
)
from fuchsiaroute.ids import Incarnation, InstanceId, OrganisationId, RequestId
from fuchsiaroute.request import Request
from fuchsiaroute.store import ABSENT, StoreView, TimedOut, run_with_timeout
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

#: Longest time that a request waits for its claim.
CLAIM_TIMEOUT = Milliseconds(4_000)
#: Claims held in memory, ended ones included. Repeats of issued ids are detected by
#: these claims alone.
MAX_CLAIMS = 4_096
#: Oldest claims examined to find one that can be evicted.
EVICTION_SCAN_LENGTH = 8
TOKEN_BITS = 128


class ClaimTable:
    """
    Grants the right to dispatch non-idempotent requests.

    A claim belongs permanently to one incarnation of one entry. It is never
    transferred, so that neither a pause nor a crash of its holder can lead to a second
    run.
    """

    def __init__(
        self,
        *,
        store: StoreView,
        clock: Clock,
        instance: InstanceId,
        incarnation: Incarnation,
        random: Random,
        secret: bytes | None = None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._instance = instance
        self._incarnation = incarnation
        self._random = random
        self._issuer = IdIssuer(
            clock=clock, instance=instance, incarnation=incarnation, secret=secret
        )
        self._commits = GroupCommit(store=store, clock=clock)
        self._claims: OrderedDict[str, Claim] = OrderedDict()

    @property
    def pending_outcomes(self) -> int:
        """Return the number of outcomes that are not stored yet."""
        return self._commits.pending_outcomes

    @property
    def issued_lifetime(self) -> Milliseconds:
        """Return how long an issued id may be used."""
        return ISSUED_LIFETIME

    def issue(self, organisation: OrganisationId) -> RequestId:
        """Return an id that only this incarnation dispatches; needs no store call."""
        return self._issuer.issue(organisation)

    async def run(self) -> None:
        """Commit claims and outcomes until cancelled."""
        await self._commits.run()

    async def drain(self, max_wait: Milliseconds) -> bool:
        """Wait until all outcomes are stored; return False after ``max_wait``."""
        drained = await run_with_timeout(self._clock, max_wait, self._commits.drain())
        return not isinstance(drained, TimedOut)

    async def claim(self, request: Request) -> Result[Claim | Replay, Refusal]:
        """
        Claim the non-idempotent ``request`` before its first dispatch.

        Success holds the claim, or the stored answer of a repeated id. The verdict of
        a failure holds for the id across all entries.
        """
        key = claim_key(request)
        existing = self._claims.get(key)
        if existing is not None and existing.state is not ClaimState.UNRESOLVED:
            return answer_repeat(existing.record)
        state = self._issuer.classify(request.organisation, request.id)
        if state is IssuedIdState.CALLER_CHOSEN:
            return await self._claim_in_store(request, key, existing)
        if state is IssuedIdState.OWN:
            return self._claim_issued(request, key)
        return await self._look_up(key, state)

    def record(self, claim: Claim, outcome: Outcome) -> None:
        """
        End ``claim``; the request is not dispatched after this.

        The outcome is stored in the background. Until then other entries
        answer the id with ``MAY_HAVE_RUN``.
        """
        if claim.state is ClaimState.CLOSED:
            return
        kept = outcome.without_large_answer()
        record = ClaimRecord(
            token=claim.token,
            instance=self._instance,
            incarnation=self._incarnation,
            outcome=kept,
        )
        claim.close(record)
        self._commits.submit_outcome(claim.key, record)

    async def confirm_refusal(self, request: Request, refusal: Refusal) -> Refusal:
        """
        Return ``refusal`` of an unclaimed request with a verdict valid at all entries.

        ``NOT_RUN`` is valid for a non-idempotent id only if no entry ever dispatches
        it, so the id is claimed and closed first.
        """
        if request.is_idempotent or refusal.verdict is not Verdict.NOT_RUN:
            return refusal
        claimed = await self.claim(request)
        if not isinstance(claimed, Success):
            return with_verdict(refusal, claimed.failure().verdict)
        claim = claimed.unwrap()
        if isinstance(claim, Replay):
            return with_verdict(refusal, Verdict.RUN)
        self.record(claim, Outcome(verdict=Verdict.NOT_RUN, message=refusal.message))
        return refusal

    def _claim_issued(self, request: Request, key: str) -> Result[Claim, Refusal]:
        if not self._evict_if_full():
            return Failure(_overloaded())
        claim = self._add_claim(request, key)
        claim.set_state(ClaimState.HELD)
        return Success(claim)

    async def _claim_in_store(
        self, request: Request, key: str, existing: Claim | None
    ) -> Result[Claim | Replay, Refusal]:
        if self._store.is_refusing:
            # The store's circuit is open: refuse at once so the caller does not wait.
            return Failure(refuse_unresolved(self._store.retry_after))
        if existing is None and not self._evict_if_full():
            return Failure(refuse_unresolved(Milliseconds(0)))
        claim = self._add_claim(
            request, key, token=existing.token if existing else None
        )
        write = ClaimWrite(key=key, record=claim.record)
        self._commits.submit(write)
        try:
            await self._wait(write, request)
        except asyncio.CancelledError:
            claim.set_state(ClaimState.UNRESOLVED)
            write.mark_unresolved()
            raise
        return self._apply_result(claim, write)

    async def _wait(self, write: ClaimWrite, request: Request) -> None:
        remaining = request.deadline - self._clock.wall()
        timeout = Milliseconds(max(0, min(CLAIM_TIMEOUT, remaining)))
        answer = await run_with_timeout(self._clock, timeout, write.done.wait())
        if isinstance(answer, TimedOut):
            write.mark_unresolved()

    def _apply_result(
        self, claim: Claim, write: ClaimWrite
    ) -> Result[Claim | Replay, Refusal]:
        if write.state is ClaimWriteState.OURS:
            claim.set_state(ClaimState.HELD)
            return Success(claim)
        if write.state is ClaimWriteState.THEIRS:
            del self._claims[claim.key]
            return answer_repeat(write.existing or RepeatKind.NOT_READABLE)
        claim.set_state(ClaimState.UNRESOLVED)
        return Failure(refuse_unresolved(self._store.retry_after))

    async def _look_up(
        self, key: str, state: IssuedIdState
    ) -> Result[Claim | Replay, Refusal]:
        """Answer a foreign or expired issued id from its stored claim."""
        kind = RepeatKind.FOREIGN
        if state is IssuedIdState.EXPIRED:
            kind = RepeatKind.EXPIRED
        answer = await self._store.read([key])
        if not isinstance(answer, Success) or answer.unwrap()[0].version == ABSENT:
            return answer_repeat(kind)
        return answer_repeat(decode_claim(answer.unwrap()[0].value) or kind)

    def _add_claim(
        self, request: Request, key: str, *, token: ClaimToken | None = None
    ) -> Claim:
        random_bits = self._random.getrandbits(TOKEN_BITS)
        new_token = ClaimToken(
            f"{self._instance}/{self._incarnation}/{random_bits:032x}"
        )
        record = ClaimRecord(
            token=token or new_token,
            instance=self._instance,
            incarnation=self._incarnation,
        )
        claim = Claim(request=request, key=key, record=record)
        self._claims[key] = claim
        self._claims.move_to_end(key)
        return claim

    def _evict_if_full(self) -> bool:
        """Evict an old claim if the table is full; return whether one can be added."""
        if len(self._claims) < MAX_CLAIMS:
            return True
        for key in list(islice(self._claims, EVICTION_SCAN_LENGTH)):
            if self._is_evictable(self._claims[key]):
                del self._claims[key]
                return True
        return False

    def _is_evictable(self, claim: Claim) -> bool:
        if claim.state is ClaimState.UNRESOLVED:
            return True
        if claim.state is not ClaimState.CLOSED:
            return False
        state = self._issuer.classify(claim.request.organisation, claim.request.id)
        return state is not IssuedIdState.OWN


def _overloaded() -> Refusal:
    return Refusal(
        reason=RefusalReason.OVERLOADED,
        verdict=Verdict.MAY_HAVE_RUN,
        message="too many issued ids are in use; retry with the same id",
        retry_after=Milliseconds(1_000),
    )
