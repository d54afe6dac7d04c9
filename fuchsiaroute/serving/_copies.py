"""Copies of ledger records at peers, between billing and the inner protocol."""

from collections.abc import Callable

import xxhash
from returns.result import Success

from fuchsiaroute.billing import (
    NO_HOLDER,
    BatchNumber,
    CopyHolder,
    HolderId,
    Origin,
)
from fuchsiaroute.ids import Incarnation, InstanceId
from fuchsiaroute.membership import Membership, MemberState, MemberView
from fuchsiaroute.peer import PeerConnection

#: Incarnation of a member that is only listed; it may be no entry at all.
UNHEARD = Incarnation(0)

Connect = Callable[[MemberView], PeerConnection]


class RemoteCopies:
    """
    Sends copies to one living entry; implements ``CopySender``.

    The holder is in another failure domain if any lives there, and stays the same
    while it lives and has room. Entries choose by a hash of the pair, so that no
    entry holds the copies of all others.
    """

    def __init__(self, membership: Membership, connect: Connect) -> None:
        self._membership = membership
        self._connect = connect
        self._holder = NO_HOLDER
        self._passed_over: set[HolderId] = set()
        #: Holders that may have unreleased copies, with the last batch sent to each.
        self._used: dict[HolderId, tuple[MemberView, BatchNumber]] = {}

    def holder(self) -> HolderId:
        """Return the entry that copies go to now; ``NO_HOLDER`` if none lives."""
        living = {_holder_id(member): member for member in self._living()}
        for holder in self._passed_over:
            living.pop(holder, None)
        if self._holder not in living:
            self._holder = min(living, key=self._preference(living), default=NO_HOLDER)
        return self._holder

    async def hold(self, batch: BatchNumber, records: bytes) -> bool:
        """Return whether the present holder has confirmed ``records``."""
        holder = self.holder()
        living = {_holder_id(member): member for member in self._living()}
        member = living.get(holder)
        if member is None:
            return False
        self._used[holder] = (member, batch)
        own = self._membership.own
        connection = self._connect(member)
        is_held = False
        try:
            outcome = await connection.hold_records(
                own.instance, own.incarnation, batch, records
            )
            is_held = outcome == Success(True)
        finally:
            # A holder that is full, cannot be reached or does not answer before the
            # caller cancels is passed over, or every answer would wait for it.
            if not is_held:
                self._passed_over.add(holder)
        return is_held

    async def release(self, through: BatchNumber) -> None:
        """Tell every holder so far that the batches up to ``through`` are stored."""
        own = self._membership.own
        self._passed_over.clear()
        for holder, (member, last) in list(self._used.items()):
            connection = self._connect(member)
            await connection.release_records(own.instance, own.incarnation, through)
            if through >= last and holder != self._holder:
                del self._used[holder]

    def _living(self) -> tuple[MemberView, ...]:
        return tuple(
            member
            for member in self._membership.members()
            if member.state is MemberState.ALIVE and member.incarnation > UNHEARD
        )

    def _preference(
        self, living: dict[HolderId, MemberView]
    ) -> Callable[[HolderId], tuple[bool, int]]:
        own = self._membership.own

        def order(holder: HolderId) -> tuple[bool, int]:
            is_near = living[holder].failure_domain == own.failure_domain
            pair = f"{own.instance}|{holder}"
            return (is_near, xxhash.xxh3_64_intdigest(pair.encode()))

        return order


class HeldForPeers:
    """Puts a ``CopyHolder`` behind the inner protocol; a ``RecordHolder``."""

    def __init__(self, copies: CopyHolder) -> None:
        self._copies = copies

    def hold(
        self, owner: InstanceId, incarnation: Incarnation, batch: int, records: bytes
    ) -> bool:
        """Keep ``records``; return whether there was room for them."""
        origin = Origin(instance=owner, incarnation=incarnation)
        return self._copies.hold(origin, BatchNumber(batch), records)

    def release(
        self, owner: InstanceId, incarnation: Incarnation, last_batch: int
    ) -> None:
        """Drop the batches of ``owner`` up to ``last_batch``."""
        origin = Origin(instance=owner, incarnation=incarnation)
        self._copies.release(origin, BatchNumber(last_batch))

    def take(self, owner: InstanceId, incarnation: Incarnation) -> tuple[bytes, ...]:
        """Give out and forget what is held for ``owner``."""
        return self._copies.take(Origin(instance=owner, incarnation=incarnation))


def orphaned_origins(
    copies: CopyHolder, members: tuple[MemberView, ...]
) -> tuple[Origin, ...]:
    """Return the origins whose process is dead, forgotten or has restarted."""
    known = {member.instance: member for member in members}

    def is_orphaned(origin: Origin) -> bool:
        member = known.get(origin.instance)
        if member is None or member.state is MemberState.DEAD:
            return True
        return member.incarnation > origin.incarnation

    return tuple(origin for origin in copies.origins if is_orphaned(origin))


def _holder_id(member: MemberView) -> HolderId:
    return HolderId(f"{member.instance}/{member.incarnation}")
