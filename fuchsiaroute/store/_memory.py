"""In-memory fakes of the platform's services, with fault injection."""

from collections import deque
from collections.abc import Sequence
from enum import Enum

from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock, Milliseconds, SystemClock
from fuchsiaroute.store._instance_list import InstanceRecord
from fuchsiaroute.store._rating import Rating, RatingPage
from fuchsiaroute.store._table_store import (
    ABSENT,
    Committed,
    Conflict,
    Record,
    StoreError,
    StoreErrorKind,
    Transaction,
)

#: Default duration of a call under ``StoreFault.SLOW``.
SLOW_DELAY = Milliseconds(5_000)
#: Maximum number of ratings in one page.
RATINGS_PER_PAGE = 500


class StoreFault(Enum):
    """A fault that can be injected into a fake service."""

    NONE = "none"
    #: Every call is refused.
    DOWN = "down"
    #: Calls take effect at once and are answered after ``delay``.
    SLOW = "slow"
    #: Writes take effect, but their answers are lost.
    ANSWER_LOST = "answer-lost"
    #: Writes are answered as lost and take effect only when ``apply_late_writes`` is
    #: called.
    LATE = "late"
    #: The instance list returns its content from before the fault.
    STALE = "stale"


class FaultInjector:
    """Faults of one fake service: a persistent one and some for the next calls."""

    def __init__(self, *, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        #: The fault of all calls that have no queued one.
        self.fault = StoreFault.NONE
        #: Faults of the next calls, one each; they precede the persistent one.
        self.queued_faults: deque[StoreFault] = deque()
        #: Duration of a call under ``StoreFault.SLOW``.
        self.delay = SLOW_DELAY

    async def next_fault(self) -> StoreFault:
        """Return the fault of the call that starts now."""
        if self.queued_faults:
            return self.queued_faults.popleft()
        return self.fault

    async def delay_answer(self, fault: StoreFault) -> None:
        """Delay the answer of a call under ``fault``."""
        if fault is StoreFault.SLOW:
            await self._clock.sleep(self.delay)


class MemoryTableStore:
    """Table service in memory; implements ``TableStore``."""

    def __init__(self, *, clock: Clock | None = None) -> None:
        self._records: dict[str, Record] = {}
        self._late: list[Transaction] = []
        #: The faults of the service.
        self.injector = FaultInjector(clock=clock)
        #: Calls started so far.
        self.reads = 0
        self.writes = 0

    @property
    def fault(self) -> StoreFault:
        """Return the persistent fault."""
        return self.injector.fault

    @fault.setter
    def fault(self, fault: StoreFault) -> None:
        self.injector.fault = fault

    async def read(self, keys: Sequence[str]) -> Result[tuple[Record, ...], StoreError]:
        """Return a record per key, in the order of ``keys``."""
        self.reads += 1
        fault = await self.injector.next_fault()
        if fault is StoreFault.DOWN:
            return Failure(_refused())
        records = tuple(self._record(key) for key in keys)
        await self.injector.delay_answer(fault)
        return Success(records)

    async def scan(
        self, prefix: str, *, limit: int
    ) -> Result[tuple[Record, ...], StoreError]:
        """Return at most ``limit`` records whose keys start with ``prefix``."""
        self.reads += 1
        fault = await self.injector.next_fault()
        if fault is StoreFault.DOWN:
            return Failure(_refused())
        keys = sorted(key for key in self._records if key.startswith(prefix))
        records = tuple(self._records[key] for key in keys[:limit])
        await self.injector.delay_answer(fault)
        return Success(records)

    async def commit(
        self, transaction: Transaction
    ) -> Result[Committed | Conflict, StoreError]:
        """Apply ``transaction`` as a whole, or nothing of it."""
        self.writes += 1
        fault = await self.injector.next_fault()
        if fault is StoreFault.DOWN:
            return Failure(_refused())
        if fault is StoreFault.LATE:
            self._late.append(transaction)
            return Failure(_lost())
        outcome = self._apply(transaction)
        await self.injector.delay_answer(fault)
        if fault is StoreFault.ANSWER_LOST:
            return Failure(_lost())
        return Success(outcome)

    def apply_late_writes(self) -> None:
        """Apply the writes that were kept back under ``StoreFault.LATE``."""
        late, self._late = self._late, []
        for transaction in late:
            self._apply(transaction)

    def _apply(self, transaction: Transaction) -> Committed | Conflict:
        current = tuple(self._record(check.key) for check in transaction.checks)
        wanted = tuple(check.version for check in transaction.checks)
        if tuple(record.version for record in current) != wanted:
            return Conflict(current)
        for put in transaction.puts:
            version = self._record(put.key).version + 1
            self._records[put.key] = Record(
                key=put.key, value=put.value, version=version
            )
        return Committed()

    def _record(self, key: str) -> Record:
        absent = Record(key=key, value=b"", version=ABSENT)
        return self._records.get(key, absent)


class MemoryObjectStore:
    """Object store in memory; implements ``ObjectStore``."""

    def __init__(self, *, clock: Clock | None = None) -> None:
        self._objects: dict[str, bytes] = {}
        #: The faults of the service.
        self.injector = FaultInjector(clock=clock)

    async def put(self, key: str, value: bytes) -> Result[None, StoreError]:
        """Store ``value`` under ``key``."""
        fault = await self.injector.next_fault()
        if fault is StoreFault.DOWN:
            return Failure(_refused())
        self._objects[key] = value
        await self.injector.delay_answer(fault)
        if fault is StoreFault.ANSWER_LOST:
            return Failure(_lost())
        return Success(None)

    async def get(self, key: str) -> Result[bytes | None, StoreError]:
        """Return the object under ``key``, or None if there is none."""
        fault = await self.injector.next_fault()
        if fault is StoreFault.DOWN:
            return Failure(_refused())
        value = self._objects.get(key)
        await self.injector.delay_answer(fault)
        return Success(value)


class MemoryInstanceList:
    """Instance list in memory; implements ``InstanceList``."""

    def __init__(
        self,
        records: tuple[InstanceRecord, ...] = (),
        *,
        clock: Clock | None = None,
    ) -> None:
        self._last_answer = records
        #: The current instances; the service returns older ones while it is stale.
        self.records = records
        #: The faults of the service.
        self.injector = FaultInjector(clock=clock)

    async def instances(self) -> Result[tuple[InstanceRecord, ...], StoreError]:
        """Return the list, or an older one under ``StoreFault.STALE``."""
        fault = await self.injector.next_fault()
        if fault is StoreFault.DOWN:
            return Failure(_refused())
        if fault is not StoreFault.STALE:
            self._last_answer = self.records
        await self.injector.delay_answer(fault)
        return Success(self._last_answer)


class MemoryRatingService:
    """Rating service in memory; implements ``RatingService``."""

    def __init__(self, *, clock: Clock | None = None) -> None:
        self._ratings: list[Rating] = []
        #: The faults of the service.
        self.injector = FaultInjector(clock=clock)

    def add(self, *ratings: Rating) -> None:
        """Append ``ratings`` to the published ones."""
        self._ratings.extend(ratings)

    async def ratings(self, cursor: str) -> Result[RatingPage, StoreError]:
        """Return the ratings after ``cursor``; an empty cursor is the beginning."""
        fault = await self.injector.next_fault()
        if fault is StoreFault.DOWN:
            return Failure(_refused())
        start = int(cursor or "0")
        page = tuple(self._ratings[start : start + RATINGS_PER_PAGE])
        await self.injector.delay_answer(fault)
        return Success(RatingPage(ratings=page, cursor=str(start + len(page))))


def _refused() -> StoreError:
    return StoreError(kind=StoreErrorKind.REFUSED, message="store is down")


def _lost() -> StoreError:
    return StoreError(kind=StoreErrorKind.UNKNOWN, message="answer lost")
