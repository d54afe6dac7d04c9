"""Composition of the parts that exchange messages with other entries."""

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
from fuchsiaroute.serving._configuration import ConfigurationParts
from fuchsiaroute.serving._copies import (
    PeerCopySender,
    PeerRecordHolder,
    orphaned_origins,
)
from fuchsiaroute.store import InstanceRecord

#: Incarnation of an entry that only the platform's instance list names.
UNKNOWN_INCARNATION = Incarnation(0)


class NoPeers(Enum):
    """Sentinel for an entry without peers."""

    TOKEN = "no-peers"


@dataclass(frozen=True, kw_only=True)
class PeerOptions:
    """Addresses, keys and TLS files for connections between entries."""

    #: Address to listen on.
    host: str
    #: Port to listen on. The port of an entry that has not announced its address is
    #: assumed to be the same.
    port: int
    #: ``host:port`` that the entry announces to others.
    advertised_address: str
    #: Shared keys. The first one signs; all verify.
    keys: tuple[str, ...]
    tls: TlsFiles | NoTls = NoTls.TOKEN


@dataclass(frozen=True, kw_only=True)
class PeerParts:
    """Membership, the node and server of the peer protocol, and ledger copies."""

    options: PeerOptions
    membership: Membership
    node: PeerNode
    server: PeerServer
    copy_sender: PeerCopySender

    async def start(self) -> None:
        """Start to accept connections of other entries."""
        await self.server.start(self.options.host, self.options.port)

    def leave(self) -> None:
        """Announce to other entries that this one is leaving."""
        self.node.leave()

    def apply_listed(self, listed: tuple[InstanceRecord, ...]) -> None:
        """Apply the platform's instance list to the membership."""
        announcements = (_announcement(item, self.options.port) for item in listed)
        self.membership.apply_listed(tuple(announcements))


class MembershipListener:
    """Applies membership changes to the advice, the log and the ledger."""

    def __init__(
        self,
        *,
        membership: Membership,
        advice: EntryAdvice,
        ledger: Ledger,
        copy_holder: CopyHolder,
    ) -> None:
        self._membership = membership
        self._advice = advice
        self._ledger = ledger
        self._copy_holder = copy_holder

    def refresh(self) -> None:
        """Log new events, recover orphaned ledger records and update the advice."""
        for instance, event in self._membership.drain_events():
            log_event(InstanceStateChanged(instance=instance, state=event.value))
        members = self._membership.members()
        for origin in orphaned_origins(self._copy_holder, members):
            for batch in self._copy_holder.take(origin):
                self._ledger.recover_batch(batch)
        self.update_advice()

    def update_advice(self) -> None:
        """Set the state of each advised entry from its membership state."""
        states = {
            InstanceId(member.instance): _ENTRY_STATES[member.state]
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
    configuration: ConfigurationParts,
    copy_holder: CopyHolder,
    clock: Clock,
    topics: tuple[Topic, ...] = (),
) -> PeerParts:
    """Return the parts of an entry with peers."""
    keys = PeerKeys(options.keys)
    membership = Membership(own, clock)
    node = PeerNode(
        membership=membership,
        in_force=configuration.in_force,
        poller=configuration.poller,
        identity=PeerIdentity(instance=own.instance, keys=keys, tls=options.tls),
        clock=clock,
        topics=topics,
    )
    server = PeerServer(
        node, keys=keys, tls=options.tls, holder=PeerRecordHolder(copy_holder)
    )
    return PeerParts(
        options=options,
        membership=membership,
        node=node,
        server=server,
        copy_sender=PeerCopySender(membership, node.connection_to),
    )


def _announcement(item: InstanceRecord, port: int) -> Announcement:
    host, _, _ = item.address.rpartition(":")
    return Announcement(
        instance=InstanceId(item.id),
        incarnation=UNKNOWN_INCARNATION,
        sequence=0,
        is_leaving=False,
        address=f"{host}:{port}",
        failure_domain=item.failure_domain,
    )


_ENTRY_STATES = {
    MemberState.ALIVE: EntryState.HEALTHY,
    MemberState.HALF_CONNECTED: EntryState.HEALTHY,
    MemberState.SUSPECT: EntryState.SUSPECT,
    MemberState.DEAD: EntryState.SUSPECT,
    MemberState.LEAVING: EntryState.LEAVING,
}
