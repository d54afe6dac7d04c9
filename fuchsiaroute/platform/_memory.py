"""In-memory platform services with fault switches."""

from collections.abc import Sequence
from enum import Enum

from returns.result import Failure, Result, Success

from fuchsiaroute.platform._instance_list import InstanceRecord
from fuchsiaroute.platform._table_store import (
    ABSENT,
    Committed,
    Conflict,
    Record,
    StoreError,
    StoreErrorKind,
    Transaction,
)


class StoreFault(Enum):
    """A fault that a fake store can be switched to."""

    NONE = "none"
    #: Every call is refused.
    DOWN = "down"
    #: Writes take effect, but their answers are lost.
    ANSWER_LOST = "answer-lost"


class MemoryTableStore:
    """Table service in memory; implements ``TableStore``."""

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        #: The fault in effect.
        self.fault = StoreFault.NONE
        #: Calls answered so far, for budgets in tests.
        self.reads = 0
        self.writes = 0

    async def read(self, keys: Sequence[str]) -> Result[tuple[Record, ...], StoreError]:
        """Return a record per key, in the order of ``keys``."""
        self.reads += 1
        if self.fault is StoreFault.DOWN:
            return Failure(_refused())
        return Success(tuple(self._record(key) for key in keys))

    async def scan(
        self, prefix: str, *, limit: int
    ) -> Result[tuple[Record, ...], StoreError]:
        """Return at most ``limit`` records whose keys start with ``prefix``."""
        self.reads += 1
        if self.fault is StoreFault.DOWN:
            return Failure(_refused())
        keys = sorted(key for key in self._records if key.startswith(prefix))
        return Success(tuple(self._records[key] for key in keys[:limit]))

    async def commit(
        self, transaction: Transaction
    ) -> Result[Committed | Conflict, StoreError]:
        """Apply ``transaction`` as a whole, or nothing of it."""
        self.writes += 1
        if self.fault is StoreFault.DOWN:
            return Failure(_refused())
        outcome = self._apply(transaction)
        if self.fault is StoreFault.ANSWER_LOST:
            return Failure(
                StoreError(kind=StoreErrorKind.UNKNOWN, message="answer lost")
            )
        return Success(outcome)

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


class MemoryInstanceList:
    """Instance list in memory; implements ``InstanceList``."""

    def __init__(self, records: tuple[InstanceRecord, ...] = ()) -> None:
        #: What the next call returns.
        self.records = records

    async def instances(self) -> Result[tuple[InstanceRecord, ...], StoreError]:
        """Return the list as it stands."""
        return Success(self.records)


def _refused() -> StoreError:
    return StoreError(kind=StoreErrorKind.REFUSED, message="store is down")
