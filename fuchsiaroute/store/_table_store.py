"""Interface of the platform's transactional table service."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from returns.result import Result

#: Record version of a key that has no record.
ABSENT = 0


class StoreErrorKind(Enum):
    """Whether a failed call of a platform store may have had an effect."""

    #: The call had no effect.
    REFUSED = "refused"
    #: The answer was lost or too late; a write may have taken effect.
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True)
class StoreError:
    """A failed call of a platform store."""

    kind: StoreErrorKind
    message: str


@dataclass(frozen=True, kw_only=True)
class Record:
    """The record of a key; ``version`` grows with each write to the key."""

    key: str
    value: bytes
    #: ``ABSENT`` if the key has no record; then ``value`` is empty.
    version: int


@dataclass(frozen=True, kw_only=True)
class Check:
    """A condition of a transaction: the key's record has this version."""

    key: str
    version: int


@dataclass(frozen=True, kw_only=True)
class Put:
    """A write of a transaction."""

    key: str
    value: bytes


@dataclass(frozen=True, kw_only=True)
class Transaction:
    """Writes that take effect together if every check holds."""

    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()


@dataclass(frozen=True)
class Committed:
    """The transaction took effect."""

    #: Version of the written records; 0 if the store does not return it.
    version: int = 0


@dataclass(frozen=True)
class Conflict:
    """A check did not hold and nothing was written."""

    #: The current records of the checked keys, in the order of the checks.
    records: tuple[Record, ...]


class TableStore(Protocol):
    """Transactional table service; a commit counts as one write, a read as one read."""

    async def read(self, keys: Sequence[str]) -> Result[tuple[Record, ...], StoreError]:
        """Return a record per key, in the order of ``keys``."""

    async def scan(
        self, prefix: str, *, limit: int
    ) -> Result[tuple[Record, ...], StoreError]:
        """Return at most ``limit`` records whose keys start with ``prefix``."""

    async def commit(
        self, transaction: Transaction
    ) -> Result[Committed | Conflict, StoreError]:
        """Apply ``transaction`` as a whole, or nothing of it."""
