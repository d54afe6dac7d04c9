"""The parts of an entry that talk to other entries."""

from dataclasses import dataclass, replace
from enum import Enum

from fuchsiaroute.advice import EntryAdvice, EntryState
from fuchsiaroute.billing import CopyHolder, Ledger
from fuchsiaroute.clock import Clock
from fuchsiaroute.ids import Incarnation, InstanceId
from fuchsiaroute.logs import InstanceStateChanged, log_event
from fuchsiaroute.membership import Announcement, Membership, MemberState
from fuchsiaroute.peer import (
    NoTls,
    PeerIdentity,
    PeerKeys,
    PeerNode,
    PeerServer,
    TlsFiles,
    Topic,
)
from fuchsiaroute.serving._agreement import AgreementParts
from fuchsiaroute.serving._copies import HeldForPeers, RemoteCopies, orphaned_origins
from fuchsiaroute.store import InstanceRecord

#: Incarnation of an entry that is known from the platform's list only.
UNKNOWN_INCARNATION = Incarnation(0)


class NoPeers(Enum):
    """Sentinel: the entry does not talk to other entries."""

    TOKEN = "no-peers"


@dataclass(frozen=True, kw_only=True)
class PeerOptions:
    """How an entry listens to and calls other entries."""

    #: Address to listen on.
    host: str
    #: Port to listen on; all entries of a deployment have the same one unless
    #: they announce another.
    port: int
    #: ``host:port`` that other entries are told to use.
    advertised: str
    #: Shared keys; the first one signs, all are accepted.
    keys: tuple[str, ...]
    tls: TlsFiles | NoTls = NoTls.TOKEN


@dataclass(frozen=True, kw_only=True)
class PeerParts:
    """Membership, heartbeats out and heartbeats in."""

    options: PeerOptions
    membership: Membership
    node: PeerNode
    server: PeerServer
    copies: RemoteCopies

    async def start(self) -> None:
        """Accept the connections of other entries."""
        await self.server.start(self.options.host, self.options.port)

    def leave(self) -> None:
        """Tell other entries that this one leaves."""
        self.node.leave()

    def note_listed(self, listed: tuple[InstanceRecord, ...]) -> None:
        """Take in the entries of the platform's list."""
        announcements = (_from_list(item, self.options.port) for item in listed)
        self.membership.apply_listed(tuple(announcements))


class MemberWatch:
    """Acts on what membership finds: advice, log lines, orphaned records."""

    def __init__(
        self,
        *,
        membership: Membership,
        advice: EntryAdvice,
        ledger: Ledger,
        copies: CopyHolder,
    ) -> None:
        self._membership = membership
        self._advice = advice
        self._ledger = ledger
        self._copies = copies

    def refresh(self) -> None:
        """Bring everything that depends on members up to date."""
        for instance, event in self._membership.drain_events():
            log_event(InstanceStateChanged(instance=instance, state=event.value))
        members = self._membership.members()
        for origin in orphaned_origins(self._copies, members):
            for batch in self._copies.take(origin):
                self._ledger.recover_batch(batch)
        self.update_advice()

    def update_advice(self) -> None:
        """Advise entries according to their state here."""
        states = {
            InstanceId(member.instance): _ADVISED[member.state]
            for member in self._membership.members()
        }
        self._advice.update(
            replace(entry, state=states.get(entry.instance, entry.state))
            for entry in self._advice.entries
        )


def compose_peers(
    *,
    options: PeerOptions,
    own: Announcement,
    agreement: AgreementParts,
    copy_holder: CopyHolder,
    clock: Clock,
    topics: tuple[Topic, ...] = (),
) -> PeerParts:
    """Return the parts of an entry that has peers."""
    keys = PeerKeys(options.keys)
    membership = Membership(own, clock)
    node = PeerNode(
        membership=membership,
        in_force=agreement.in_force,
        poller=agreement.poller,
        identity=PeerIdentity(instance=own.instance, keys=keys, tls=options.tls),
        clock=clock,
        topics=topics,
    )
    server = PeerServer(
        node, keys=keys, tls=options.tls, holder=HeldForPeers(copy_holder)
    )
    return PeerParts(
        options=options,
        membership=membership,
        node=node,
        server=server,
        copies=RemoteCopies(membership, node.connection_to),
    )


def _from_list(item: InstanceRecord, port: int) -> Announcement:
    host, _, _ = item.address.rpartition(":")
    return Announcement(
        instance=InstanceId(item.id),
        incarnation=UNKNOWN_INCARNATION,
        sequence=0,
        is_leaving=False,
        address=f"{host}:{port}",
        failure_domain=item.failure_domain,
    )


_ADVISED = {
    MemberState.ALIVE: EntryState.HEALTHY,
    MemberState.HALF_CONNECTED: EntryState.HEALTHY,
    MemberState.SUSPECT: EntryState.SUSPECT,
    MemberState.DEAD: EntryState.SUSPECT,
    MemberState.LEAVING: EntryState.LEAVING,
}
