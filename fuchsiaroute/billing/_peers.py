"""Copies of ledger records over the inner protocol."""

import contextlib
from collections.abc import Callable
from typing import Protocol

import msgspec
from returns.result import Result

from fuchsiaroute.billing._copies import (
    NO_HOLDER,
    BatchNumber,
    CopyHolder,
    HolderId,
    Origin,
)
from fuchsiaroute.billing._ledger import Ledger
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.ids import Incarnation, InstanceId

#: Pause between two looks for origins that have gone.
ADOPTION_INTERVAL = Milliseconds(1_000)


class CopyPeer(Protocol):
    """The calls of one peer that concern copies of records."""

    async def hold_records(
        self, owner: InstanceId, incarnation: Incarnation, batch: int, records: bytes
    ) -> Result[bool, object]:
        """Have the peer hold ``records``; return whether it does."""

    async def release_records(
        self, owner: InstanceId, incarnation: Incarnation, last_batch: int
    ) -> Result[None, object]:
        """Let the peer drop the batches up to ``last_batch``."""


class CopyPeers(Protocol):
    """The peers that may hold copies for this entry."""

    def holder(self) -> HolderId:
        """Return a live peer in another failure domain; ``NO_HOLDER`` for none."""

    def peer(self, holder: HolderId) -> CopyPeer | None:
        """Return the connection to ``holder``, or None if it has gone."""


class RecordCopies:
    """Sends copies to the present holder; implements ``PeerCopies``."""

    def __init__(self, peers: CopyPeers, *, origin: Origin) -> None:
        self._peers = peers
        self._origin = origin
        #: The last batch sent to each holder that may have unreleased copies.
        self._sent: dict[HolderId, BatchNumber] = {}

    def holder(self) -> HolderId:
        """Return the peer that copies go to now; ``NO_HOLDER`` if there is none."""
        return self._peers.holder()

    async def hold(self, batch: BatchNumber, records: bytes) -> bool:
        """Return whether the present holder has confirmed ``records``."""
        holder = self._peers.holder()
        peer = self._peers.peer(holder) if holder != NO_HOLDER else None
        if peer is None:
            return False
        self._sent[holder] = batch
        held = await peer.hold_records(
            self._origin.instance, self._origin.incarnation, batch, records
        )
        return held.value_or(False)

    async def release(self, through: BatchNumber) -> None:
        """Tell holders that the batches up to ``through`` are in the store."""
        for holder, last in tuple(self._sent.items()):
            peer = self._peers.peer(holder)
            if peer is not None:
                await peer.release_records(
                    self._origin.instance, self._origin.incarnation, through
                )
            if through >= last or peer is None:
                del self._sent[holder]


class HeldRecords:
    """The copies of other entries, as the inner protocol's server calls them."""

    def __init__(self, holder: CopyHolder) -> None:
        self._holder = holder

    def hold(
        self, owner: InstanceId, incarnation: Incarnation, batch: int, records: bytes
    ) -> bool:
        """Keep ``records``; return whether there was room for them."""
        return self._holder.hold(
            Origin(instance=owner, incarnation=incarnation), BatchNumber(batch), records
        )

    def release(
        self, owner: InstanceId, incarnation: Incarnation, last_batch: int
    ) -> None:
        """Drop the batches of ``owner`` up to ``last_batch``: they are written."""
        origin = Origin(instance=owner, incarnation=incarnation)
        self._holder.release(origin, BatchNumber(last_batch))

    def take(self, owner: InstanceId, incarnation: Incarnation) -> tuple[bytes, ...]:
        """Return what is held for ``owner``, for whoever writes it in its place."""
        origin = Origin(instance=owner, incarnation=incarnation)
        return self._holder.take(origin)


class Adoption:
    """Bills from copies what entries that have gone could not write."""

    def __init__(
        self,
        *,
        holder: CopyHolder,
        ledger: Ledger,
        is_gone: Callable[[Origin], bool],
        clock: Clock,
    ) -> None:
        self._holder = holder
        self._ledger = ledger
        self._is_gone = is_gone
        self._clock = clock

    async def run(self) -> None:
        """Look for entries that have gone until cancelled."""
        while True:
            self.adopt()
            await self._clock.sleep(ADOPTION_INTERVAL)

    def adopt(self) -> None:
        """
        Take over the copies of every entry that has gone.

        An entry that was only thought to have gone writes the same records under the
        same keys, which are put if absent.
        """
        for origin in self._holder.origins:
            if not self._is_gone(origin):
                continue
            for batch in self._holder.take(origin):
                # A peer's fault must not stop the billing of the others.
                with contextlib.suppress(msgspec.MsgspecError):
                    self._ledger.adopt(batch)
