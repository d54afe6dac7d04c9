"""Copies of records that are not in the store yet, held by other entries."""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NewType, Protocol

from fuchsiaroute.ids import Incarnation, InstanceId

#: Position of a batch of copies in the order of its origin; starts at 1.
BatchNumber = NewType("BatchNumber", int)
#: The peer that holds copies: one incarnation of one entry; empty for none.
HolderId = NewType("HolderId", str)
NO_HOLDER = HolderId("")
#: Copies that an entry holds for others, in bytes.
MAX_HELD_BYTES = 4 << 20


@dataclass(frozen=True, kw_only=True)
class Origin:
    """The incarnation of an entry that copies belong to."""

    instance: InstanceId
    incarnation: Incarnation


class CopySender(Protocol):
    """Sends copies of records to a peer in another failure domain."""

    def holder(self) -> HolderId:
        """Return the peer that copies go to now; ``NO_HOLDER`` if there is none."""

    async def hold(self, batch: BatchNumber, records: bytes) -> bool:
        """Return whether the present holder has confirmed ``records``."""

    async def release(self, through: BatchNumber) -> None:
        """Tell holders that the batches up to ``through`` are in the store."""


class NullCopySender:
    """No peers; implements ``CopySender``."""

    def holder(self) -> HolderId:
        """Return ``NO_HOLDER``."""
        return NO_HOLDER

    async def hold(self, batch: BatchNumber, records: bytes) -> bool:
        """Return False: nobody holds the copies."""
        return False

    async def release(self, through: BatchNumber) -> None:
        """Do nothing."""


@dataclass
class _Held:
    released: BatchNumber = BatchNumber(0)
    batches: OrderedDict[BatchNumber, bytes] = field(default_factory=OrderedDict)


class CopyHolder:
    """Holds copies for other entries until they are released or their origin dies."""

    def __init__(self, *, max_bytes: int = MAX_HELD_BYTES) -> None:
        self._max_bytes = max_bytes
        self._held: dict[Origin, _Held] = {}
        self._size = 0

    @property
    def size(self) -> int:
        """Return the bytes held."""
        return self._size

    @property
    def origins(self) -> tuple[Origin, ...]:
        """Return the incarnations that copies are held for."""
        return tuple(self._held)

    def hold(self, origin: Origin, batch: BatchNumber, records: bytes) -> bool:
        """Keep ``records``; return False if there is no room for them."""
        held = self._held.setdefault(origin, _Held())
        if batch <= held.released or batch in held.batches:
            return True
        if self._size + len(records) > self._max_bytes:
            return False
        held.batches[batch] = records
        self._size += len(records)
        return True

    def release(self, origin: Origin, through: BatchNumber) -> None:
        """Forget the batches of ``origin`` up to ``through``."""
        held = self._held.get(origin)
        if held is None:
            return
        held.released = max(held.released, through)
        for batch in [batch for batch in held.batches if batch <= through]:
            self._size -= len(held.batches.pop(batch))

    def take(self, origin: Origin) -> tuple[bytes, ...]:
        """Give out and forget what is held for an ``origin`` that has gone."""
        held = self._held.pop(origin, _Held())
        batches = tuple(held.batches.values())
        self._size -= sum(map(len, batches))
        return batches
