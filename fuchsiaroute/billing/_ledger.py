"""The ledger: one record for each billed request, written in batches."""

import asyncio
from dataclasses import dataclass, field

from returns.result import Success

from fuchsiaroute.billing._copies import (
    NO_HOLDER,
    BatchNumber,
    CopySender,
    HolderId,
    NullCopySender,
)
from fuchsiaroute.billing._record import (
    LedgerRecord,
    decode_batch,
    encode_batch,
    encode_record,
)
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.store import (
    ABSENT,
    Check,
    Conflict,
    Put,
    StoreView,
    TimedOut,
    Transaction,
    run_with_timeout,
)

#: Most records in one transaction.
MAX_BATCH_SIZE = 512
#: Most records in one message to a peer.
MAX_COPY_BATCH_SIZE = 256
#: Pending records from which on the entry takes no new requests.
MAX_BUFFERED = 32_768
#: Time between two flushes; records that arrive in it share a write.
FLUSH_INTERVAL = Milliseconds(4_000)
#: Delay between a failed flush or copy and the next one.
RETRY_DELAY = Milliseconds(500)
#: Longest time that the end of an answer is delayed for the copy of its record.
COPY_TIMEOUT = Milliseconds(1_000)
#: Longest time that one peer has to confirm copies.
CONFIRMATION_TIMEOUT = Milliseconds(500)


@dataclass(kw_only=True, eq=False)
class _PendingRecord:
    """A record that is not stored yet, and its latest copy."""

    record: LedgerRecord
    copied_to: HolderId = NO_HOLDER
    batch: BatchNumber = BatchNumber(0)
    copied: asyncio.Event = field(default_factory=asyncio.Event)


class Ledger:
    """
    Buffers the records of answered requests until they are stored.

    A record is put if absent under its request's id. A repeated write, or a write of
    the same record by another entry, therefore never bills a request twice.
    """

    def __init__(
        self,
        *,
        store: StoreView,
        clock: Clock,
        copies: CopySender | None = None,
        max_buffered: int = MAX_BUFFERED,
    ) -> None:
        self._store = store
        self._clock = clock
        self._copies = copies or NullCopySender()
        self._max_buffered = max_buffered
        self._pending: dict[str, _PendingRecord] = {}
        self._last_batch = BatchNumber(0)
        #: The batch that the holder has not confirmed yet; 0 for none.
        self._batch_in_flight = BatchNumber(0)
        self._appended = asyncio.Event()
        self._flush_lock = asyncio.Lock()
        #: Records dropped because another record of their request was billed first.
        self.duplicates = 0

    @property
    def buffered(self) -> int:
        """Return the number of records that are not stored yet."""
        return len(self._pending)

    @property
    def is_full(self) -> bool:
        """Return whether the entry must take no new requests."""
        return len(self._pending) >= self._max_buffered

    @property
    def uncopied(self) -> int:
        """Return the number of pending records without a copy at the current holder."""
        holder = self._copies.holder()
        if holder == NO_HOLDER:
            return len(self._pending)
        items = self._pending.values()
        return sum(item.copied_to != holder for item in items)

    async def append(self, record: LedgerRecord) -> None:
        """
        Queue ``record`` and wait at most ``COPY_TIMEOUT`` for its copy at a peer.

        Call it before the end of the answer is sent. A crash after that loses the
        record only if the copy failed or its holder crashes too.
        """
        pending = self._pending.setdefault(record.key, _PendingRecord(record=record))
        if pending.record != record:
            self.duplicates += 1
        self._appended.set()
        if self._copies.holder() != NO_HOLDER:
            await run_with_timeout(self._clock, COPY_TIMEOUT, pending.copied.wait())

    def recover_batch(self, batch: bytes) -> None:
        """Queue the records in ``batch``, copied from an entry that has failed."""
        for record in decode_batch(batch):
            self._pending.setdefault(record.key, _PendingRecord(record=record))
        self._appended.set()

    async def run(self) -> None:
        """Copy and flush records until cancelled."""
        await asyncio.gather(self._copy_forever(), self._flush_forever())

    async def drain(self, max_wait: Milliseconds) -> bool:
        """Flush all records; return False if that takes longer than ``max_wait``."""
        drained = await run_with_timeout(self._clock, max_wait, self._drain())
        return not isinstance(drained, TimedOut)

    async def flush(self) -> bool:
        """Write one batch; return whether the store answered."""
        async with self._flush_lock:
            batch = list(self._pending.values())[:MAX_BATCH_SIZE]
            if not batch:
                return True
            is_written = await self._write(batch)
        await self._copies.release(self._flushed_through())
        return is_written

    async def copy(self) -> bool:
        """Copy one batch to the current holder; return False if that failed."""
        holder = self._copies.holder()
        if holder == NO_HOLDER:
            return True
        batch = [item for item in self._pending.values() if item.copied_to != holder]
        batch = batch[:MAX_COPY_BATCH_SIZE]
        if not batch:
            return True
        number = BatchNumber(self._last_batch + 1)
        self._last_batch = number
        self._batch_in_flight = number
        encoded = encode_batch(tuple(item.record for item in batch))
        sending = self._copies.hold(number, encoded)
        held = await run_with_timeout(self._clock, CONFIRMATION_TIMEOUT, sending)
        self._batch_in_flight = BatchNumber(0)
        if held is not True:
            return False
        for item in batch:
            item.batch = number
            item.copied_to = holder
            item.copied.set()
        return True

    async def _copy_forever(self) -> None:
        while True:
            await self._appended.wait()
            self._appended.clear()
            if not await self.copy():
                await self._clock.sleep(RETRY_DELAY)
                self._appended.set()
            elif self._has_uncopied():
                self._appended.set()

    async def _flush_forever(self) -> None:
        while True:
            await self._clock.sleep(FLUSH_INTERVAL)
            # A new holder needs copies of all pending records.
            self._appended.set()
            while self._pending:
                if not await self.flush():
                    break
                if len(self._pending) < MAX_BATCH_SIZE:
                    break

    async def _drain(self) -> None:
        while self._pending:
            if not await self.flush():
                await self._clock.sleep(RETRY_DELAY)

    async def _write(self, batch: list[_PendingRecord]) -> bool:
        """Put ``batch`` if absent; drop the records that are already stored."""
        while batch:
            answer = await self._store.commit(_transaction(batch))
            if not isinstance(answer, Success):
                # If only the answer was lost, the next put conflicts and drops them.
                return False
            outcome = answer.unwrap()
            if not isinstance(outcome, Conflict):
                self._remove(batch)
                return True
            batch = self._drop_billed(batch, outcome)
        return True

    def _drop_billed(
        self, batch: list[_PendingRecord], conflict: Conflict
    ) -> list[_PendingRecord]:
        absent: list[_PendingRecord] = []
        billed: list[_PendingRecord] = []
        for item, found in zip(batch, conflict.records, strict=True):
            if found.version == ABSENT:
                absent.append(item)
                continue
            billed.append(item)
            if found.value != encode_record(item.record):
                self.duplicates += 1
        self._remove(billed)
        return absent

    def _remove(self, batch: list[_PendingRecord]) -> None:
        for item in batch:
            del self._pending[item.record.key]

    def _flushed_through(self) -> BatchNumber:
        """Return the last batch of copies up to which no record is pending."""
        needed = [item.batch for item in self._pending.values() if item.batch]
        if self._batch_in_flight:
            needed.append(self._batch_in_flight)
        if not needed:
            return self._last_batch
        return BatchNumber(min(needed) - 1)

    def _has_uncopied(self) -> bool:
        return self._copies.holder() != NO_HOLDER and self.uncopied > 0


def _transaction(batch: list[_PendingRecord]) -> Transaction:
    return Transaction(
        checks=tuple(Check(key=item.record.key, version=ABSENT) for item in batch),
        puts=tuple(
            Put(key=item.record.key, value=encode_record(item.record)) for item in batch
        ),
    )
