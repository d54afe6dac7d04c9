"""Copies of ledger records at peers, sent and held by the peer protocol."""

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

#: Incarnation of a member that only the platform's instance list names; it may be an
#: endpoint.
UNKNOWN_INCARNATION = Incarnation(0)

Connect = Callable[[MemberView], PeerConnection]


class PeerCopySender:
    """
    Sends copies to one other entry, the holder; implements ``CopySender``.

    The holder is in another failure domain if an entry is alive there. It is replaced
    only when it is no longer alive or has not confirmed a batch. The choice is by a
    hash of sender and holder, which spreads the copies over the entries.
    """

    def __init__(self, membership: Membership, connect: Connect) -> None:
        self._membership = membership
        self._connect = connect
        self._holder = NO_HOLDER
        self._excluded: set[HolderId] = set()
        #: Holders that may have unreleased copies, with the last batch sent to each.
        self._unreleased: dict[HolderId, tuple[MemberView, BatchNumber]] = {}

    def holder(self) -> HolderId:
        """Return the entry that receives copies, or ``NO_HOLDER`` if none is alive."""
        alive = {_holder_id(member): member for member in self._alive_members()}
        for holder in self._excluded:
            alive.pop(holder, None)
        if self._holder not in alive:
            self._holder = min(alive, key=self._sort_key(alive), default=NO_HOLDER)
        return self._holder

    async def hold(self, batch: BatchNumber, records: bytes) -> bool:
        """Send ``records`` to the holder; return whether it has confirmed them."""
        holder = self.holder()
        alive = {_holder_id(member): member for member in self._alive_members()}
        member = alive.get(holder)
        if member is None:
            return False
        self._unreleased[holder] = (member, batch)
        own = self._membership.own
        connection = self._connect(member)
        is_held = False
        try:
            outcome = await connection.hold_records(
                own.instance, own.incarnation, batch, records
            )
            is_held = outcome == Success(True)
        finally:
            # A holder that is full, unreachable or too slow for the caller, which then
            # cancels, is excluded; otherwise every answer would wait for it.
            if not is_held:
                self._excluded.add(holder)
        return is_held

    async def release(self, through: BatchNumber) -> None:
        """Release the batches up to ``through``, now in the store, at all holders."""
        own = self._membership.own
        self._excluded.clear()
        for holder, (member, last) in list(self._unreleased.items()):
            connection = self._connect(member)
            await connection.release_records(own.instance, own.incarnation, through)
            if through >= last and holder != self._holder:
                del self._unreleased[holder]

    def _alive_members(self) -> tuple[MemberView, ...]:
        return tuple(
            member
            for member in self._membership.members()
            if member.state is MemberState.ALIVE
            and member.incarnation > UNKNOWN_INCARNATION
        )

    def _sort_key(
        self, alive: dict[HolderId, MemberView]
    ) -> Callable[[HolderId], tuple[bool, int]]:
        own = self._membership.own

        def sort_key(holder: HolderId) -> tuple[bool, int]:
            is_same_domain = alive[holder].failure_domain == own.failure_domain
            pair = f"{own.instance}|{holder}"
            return (is_same_domain, xxhash.xxh3_64_intdigest(pair.encode()))

        return sort_key


class PeerRecordHolder:
    """Holds the copies of peers in a ``CopyHolder``; implements ``RecordHolder``."""

    def __init__(self, copy_holder: CopyHolder) -> None:
        self._copy_holder = copy_holder

    def hold(
        self, owner: InstanceId, incarnation: Incarnation, batch: int, records: bytes
    ) -> bool:
        """Hold ``records``; return False if the size limit is reached."""
        origin = Origin(instance=owner, incarnation=incarnation)
        return self._copy_holder.hold(origin, BatchNumber(batch), records)

    def release(
        self, owner: InstanceId, incarnation: Incarnation, last_batch: int
    ) -> None:
        """Remove the batches of ``owner`` up to ``last_batch``."""
        origin = Origin(instance=owner, incarnation=incarnation)
        self._copy_holder.release(origin, BatchNumber(last_batch))

    def take(self, owner: InstanceId, incarnation: Incarnation) -> tuple[bytes, ...]:
        """Remove and return the batches of ``owner``."""
        return self._copy_holder.take(Origin(instance=owner, incarnation=incarnation))


def orphaned_origins(
    copy_holder: CopyHolder, members: tuple[MemberView, ...]
) -> tuple[Origin, ...]:
    """Return the origins whose process is dead, removed or restarted."""
    by_instance = {member.instance: member for member in members}

    def is_orphaned(origin: Origin) -> bool:
        member = by_instance.get(origin.instance)
        if member is None or member.state is MemberState.DEAD:
            return True
        return member.incarnation > origin.incarnation

    return tuple(origin for origin in copy_holder.origins if is_orphaned(origin))


def _holder_id(member: MemberView) -> HolderId:
    return HolderId(f"{member.instance}/{member.incarnation}")
