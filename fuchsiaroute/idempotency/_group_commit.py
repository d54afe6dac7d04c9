"""Group commit: claims and outcomes are written to the table service in batches."""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from returns.result import Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.idempotency._record import ClaimRecord, decode_claim, encode_claim
from fuchsiaroute.store import (
    ABSENT,
    Check,
    Committed,
    Conflict,
    Put,
    Record,
    StoreError,
    StoreErrorKind,
    StoreView,
    Transaction,
)

#: Most claims in one transaction, and most outcomes.
MAX_BATCH_SIZE = 64
#: Claims that may be queued; further ones are marked as unresolved at once.
MAX_QUEUED_CLAIMS = 2_048
#: Outcomes that may be queued while the store fails; beyond it the oldest are
#: dropped.
MAX_QUEUED_OUTCOMES = 4_096
#: Shortest delay between a failed call and the next one.
RETRY_DELAY = Milliseconds(100)


class ClaimWriteState(Enum):
    """Result of a put-if-absent."""

    #: Queued, or sent and not answered yet.
    PENDING = "pending"
    #: The stored record is the one of this write.
    OURS = "ours"
    #: Another record had been stored before.
    THEIRS = "theirs"
    #: The store did not confirm in time; the write may still take effect.
    UNRESOLVED = "unresolved"


@dataclass(kw_only=True, eq=False)
class ClaimWrite:
    """A put-if-absent of one claim record."""

    key: str
    record: ClaimRecord
    state: ClaimWriteState = ClaimWriteState.PENDING
    #: The record found in the store; None if it cannot be decoded.
    existing: ClaimRecord | None = None
    done: asyncio.Event = field(default_factory=asyncio.Event)

    def settle(self, state: ClaimWriteState) -> None:
        """Set the final state and wake the waiting request."""
        self.state = state
        self.done.set()

    def settle_from(self, record: Record) -> None:
        """Set the final state by comparing tokens with the stored ``record``."""
        existing = decode_claim(record.value)
        is_ours = existing is not None and existing.token == self.record.token
        self.existing = existing
        self.settle(ClaimWriteState.OURS if is_ours else ClaimWriteState.THEIRS)

    def mark_unresolved(self) -> None:
        """End the write without a confirmation; it is not retried."""
        self.settle(ClaimWriteState.UNRESOLVED)


class GroupCommit:
    """Queues claims and outcomes and commits them within the write budget."""

    def __init__(self, *, store: StoreView, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._claims: deque[ClaimWrite] = deque()
        self._outcomes: dict[str, ClaimRecord] = {}
        self._wake = asyncio.Event()

    @property
    def pending_outcomes(self) -> int:
        """Return the number of outcomes that are not stored yet."""
        return len(self._outcomes)

    def submit(self, write: ClaimWrite) -> None:
        """Queue a claim; mark it as unresolved at once if the queue is full."""
        if len(self._claims) >= MAX_QUEUED_CLAIMS:
            write.mark_unresolved()
            return
        self._claims.append(write)
        self._wake.set()

    def submit_outcome(self, key: str, record: ClaimRecord) -> None:
        """Queue the outcome of a claim that this entry holds."""
        self._outcomes[key] = record
        if len(self._outcomes) > MAX_QUEUED_OUTCOMES:
            self._outcomes.pop(next(iter(self._outcomes)))
        self._wake.set()

    async def run(self) -> None:
        """Commit batches until cancelled."""
        while True:
            await self._wake.wait()
            await self._store.wait_for_write_budget()
            self._wake.clear()
            is_answered = await self.commit_batch()
            if not is_answered:
                self._fail_queued_claims()
                delay = max(RETRY_DELAY, self._store.retry_after)
                await self._clock.sleep(Milliseconds(delay))
            if self._claims or self._outcomes:
                self._wake.set()

    async def drain(self) -> None:
        """Wait until every outcome is stored."""
        while self._outcomes:
            await self._clock.sleep(RETRY_DELAY)

    async def commit_batch(self) -> bool:
        """Commit one batch; return whether the store answered."""
        claims = self._take_claims()
        outcomes = dict(list(self._outcomes.items())[:MAX_BATCH_SIZE])
        if not claims and not outcomes:
            return True
        try:
            answer = await self._store.commit(_transaction(claims, outcomes))
        except asyncio.CancelledError:
            for write in claims:
                write.mark_unresolved()
            raise
        if isinstance(answer, Success):
            self._apply_answer(claims, outcomes, answer.unwrap())
            return True
        return await self._handle_error(claims, answer.failure())

    def _fail_queued_claims(self) -> None:
        """Mark queued claims as unresolved if the store's circuit is open."""
        if not self._store.is_refusing:
            return
        for write in self._claims:
            if not write.done.is_set():
                write.mark_unresolved()
        self._claims.clear()

    def _take_claims(self) -> list[ClaimWrite]:
        claims: dict[str, ClaimWrite] = {}
        while self._claims and len(claims) < MAX_BATCH_SIZE:
            write = self._claims.popleft()
            if not write.done.is_set():
                claims[write.key] = write
        return list(claims.values())

    def _apply_answer(
        self,
        claims: list[ClaimWrite],
        outcomes: dict[str, ClaimRecord],
        answer: Committed | Conflict,
    ) -> None:
        if isinstance(answer, Conflict):
            self._apply_conflict(claims, answer)
            return
        for write in claims:
            write.settle(ClaimWriteState.OURS)
        for key, record in outcomes.items():
            if self._outcomes.get(key) is record:
                del self._outcomes[key]

    def _apply_conflict(self, claims: list[ClaimWrite], conflict: Conflict) -> None:
        for write, record in zip(claims, conflict.records, strict=True):
            if record.version == ABSENT:
                self._claims.appendleft(write)
            else:
                write.settle_from(record)

    async def _handle_error(self, claims: list[ClaimWrite], error: StoreError) -> bool:
        if error.kind is StoreErrorKind.REFUSED:
            for write in claims:
                write.mark_unresolved()
            return False
        await self._read_back(claims)
        return False

    async def _read_back(self, claims: list[ClaimWrite]) -> None:
        """Settle writes whose answer was lost; queue the absent ones again."""
        if not claims:
            return
        answer = await self._store.read([write.key for write in claims])
        if not isinstance(answer, Success):
            for write in claims:
                write.mark_unresolved()
            return
        for write, record in zip(claims, answer.unwrap(), strict=True):
            if record.version != ABSENT:
                write.settle_from(record)
            elif not write.done.is_set():
                self._claims.append(write)


def _transaction(
    claims: list[ClaimWrite], outcomes: dict[str, ClaimRecord]
) -> Transaction:
    checks = tuple(Check(key=write.key, version=ABSENT) for write in claims)
    claimed = tuple(
        Put(key=write.key, value=encode_claim(write.record)) for write in claims
    )
    ended = tuple(
        Put(key=key, value=encode_claim(record)) for key, record in outcomes.items()
    )
    return Transaction(checks=checks, puts=(*claimed, *ended))
