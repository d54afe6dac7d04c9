"""Copies of ledger records that are not stored yet, held by other entries."""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NewType, Protocol

from fuchsiaroute.ids import Incarnation, InstanceId

#: Sequence number of a batch of copies, counted by its origin from 1.
BatchNumber = NewType("BatchNumber", int)
#: The peer that holds copies, as one incarnation of one entry; empty for none.
HolderId = NewType("HolderId", str)
NO_HOLDER = HolderId("")
#: Most bytes of copies that an entry holds for others.
MAX_HELD_BYTES = 4 << 20


@dataclass(frozen=True, kw_only=True)
class Origin:
    """The incarnation of an entry whose records were copied."""

    instance: InstanceId
    incarnation: Incarnation


class CopySender(Protocol):
    """Sends copies of records to a peer in another failure domain."""

    def holder(self) -> HolderId:
        """Return the peer that copies are sent to; ``NO_HOLDER`` if there is none."""

    async def hold(self, batch: BatchNumber, records: bytes) -> bool:
        """Send ``records``; return whether the current holder confirmed them."""

    async def release(self, through: BatchNumber) -> None:
        """Let holders remove the batches up to ``through``, which are stored."""


class NullCopySender:
    """Sender of an entry without peers; implements ``CopySender``."""

    def holder(self) -> HolderId:
        """Return ``NO_HOLDER``."""
        return NO_HOLDER

    async def hold(self, batch: BatchNumber, records: bytes) -> bool:
        """Return False, since there is no holder."""
        return False

    async def release(self, through: BatchNumber) -> None:
        """Do nothing."""


@dataclass
class _HeldBatches:
    released: BatchNumber = BatchNumber(0)
    batches: OrderedDict[BatchNumber, bytes] = field(default_factory=OrderedDict)


class CopyHolder:
    """Holds copies for other entries until they are released or taken."""

    def __init__(self, *, max_bytes: int = MAX_HELD_BYTES) -> None:
        self._max_bytes = max_bytes
        self._held: dict[Origin, _HeldBatches] = {}
        self._size = 0

    @property
    def size(self) -> int:
        """Return the size of the held copies in bytes."""
        return self._size

    @property
    def origins(self) -> tuple[Origin, ...]:
        """Return the incarnations whose copies are held."""
        return tuple(self._held)

    def hold(self, origin: Origin, batch: BatchNumber, records: bytes) -> bool:
        """Hold ``records``; return False if they exceed the size limit."""
        held = self._held.setdefault(origin, _HeldBatches())
        if batch <= held.released or batch in held.batches:
            return True
        if self._size + len(records) > self._max_bytes:
            return False
        held.batches[batch] = records
        self._size += len(records)
        return True

    def release(self, origin: Origin, through: BatchNumber) -> None:
        """Remove the batches of ``origin`` up to ``through``."""
        held = self._held.get(origin)
        if held is None:
            return
        held.released = max(held.released, through)
        for batch in [batch for batch in held.batches if batch <= through]:
            self._size -= len(held.batches.pop(batch))

    def take(self, origin: Origin) -> tuple[bytes, ...]:
        """Remove and return the batches of an ``origin`` that has failed."""
        held = self._held.pop(origin, _HeldBatches())
        batches = tuple(held.batches.values())
        self._size -= sum(map(len, batches))
        return batches
