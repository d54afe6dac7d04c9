"""Exchange of heartbeats and configurations between an entry and its peers."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from returns.result import Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.configuration import (
    ConfigurationInForce,
    ConfigurationPoller,
    NoChange,
    Snapshot,
    StoreConfirmation,
)
from fuchsiaroute.ids import InstanceId, Revision
from fuchsiaroute.membership import (
    Membership,
    MembershipUpdate,
    MemberState,
    MemberView,
)
from fuchsiaroute.peer._connection import PeerConnection, PeerIdentity
from fuchsiaroute.peer._messages import (
    MAX_EXTENSION_BYTES,
    Extension,
    Heartbeat,
    NoConfirmation,
)

#: Interval between two checks for due heartbeats; urgent updates wait at most this.
TICK = Milliseconds(100)
#: Age of the last store confirmation above which it is sent as ``NoConfirmation``.
MAX_CONFIRMATION_AGE = Milliseconds(7 * 24 * 3_600_000)
#: Idle connections kept to peers without heartbeats, for ledger copies and fetches.
MAX_SPARE_CONNECTIONS = 4

ExtensionSource = Callable[[], bytes]
ExtensionSink = Callable[[InstanceId, bytes], None]


@dataclass(frozen=True, kw_only=True)
class Topic:
    """A topic on which entries send a few bytes to their direct peers."""

    name: str
    #: Returns the payload, at most ``MAX_EXTENSION_BYTES``; not sent if empty.
    source: ExtensionSource
    #: Receives the payload of a peer.
    sink: ExtensionSink


def _do_nothing() -> None:
    pass


@dataclass
class _Link:
    """A connection to one peer and the latest heartbeat exchange on it."""

    connection: PeerConnection
    address: str
    exchange: asyncio.Task[None] | None = field(default=None)

    @property
    def is_busy(self) -> bool:
        return self.exchange is not None and not self.exchange.done()


class PeerNode:
    """
    Exchanges heartbeats and configurations with peers; implements ``PeerHandler``.

    Received heartbeats update ``Membership`` and ``ConfigurationInForce``.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        in_force: ConfigurationInForce,
        poller: ConfigurationPoller,
        identity: PeerIdentity,
        clock: Clock,
        topics: tuple[Topic, ...] = (),
    ) -> None:
        #: Called after each refresh of the membership, once per heartbeat interval.
        self.on_refresh: Callable[[], None] = _do_nothing
        self._membership = membership
        self._in_force = in_force
        self._poller = poller
        self._identity = identity
        self._clock = clock
        self._topics = topics
        self._links: dict[InstanceId, _Link] = {}
        # An hour ago, so that the first step starts an exchange.
        self._refreshed_at = Milliseconds(clock.now() - 3_600_000)
        self._announced_revision = in_force.known_revision
        self._catching_up: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Exchange heartbeats until cancelled."""
        self._membership.announce(is_leaving=False)
        try:
            while True:
                self.step()
                await self._clock.sleep(TICK)
        finally:
            self.close()

    def step(self) -> None:
        """Start the heartbeat exchanges that are due."""
        now = self._clock.now()
        is_due = now - self._refreshed_at >= self._membership.interval
        if is_due:
            self._refreshed_at = now
            self._membership.refresh()
            self._in_force.update_quorum(self._membership.has_quorum)
            self.on_refresh()
        if self._has_urgent_updates() or is_due:
            self._start_exchanges()
        self._start_catch_up()

    def answer_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Apply a peer's heartbeat and return this entry's own."""
        self._in_force.record_revision(heartbeat.known_revision)
        self._membership.receive(heartbeat.instance, heartbeat.updates)
        self._receive_extensions(heartbeat)
        return self._heartbeat(())

    def newer_configuration(self, known: Revision) -> Snapshot | NoChange:
        """Return the current configuration if its revision is above ``known``."""
        held = self._in_force.snapshot
        if isinstance(held, Snapshot) and held.change.revision > known:
            return held
        return NoChange.TOKEN

    def connection_to(self, member: MemberView) -> PeerConnection:
        """Return a connection to ``member`` for calls other than heartbeats."""
        return self._link(member).connection

    def leave(self) -> None:
        """Announce to the peers that this entry leaves."""
        self._membership.announce(is_leaving=True)
        self.step()

    def close(self) -> None:
        """Cancel all exchanges and close all connections."""
        tasks = [link.exchange for link in self._links.values()]
        for task in (*tasks, self._catching_up):
            if task is not None:
                task.cancel()
        for link in self._links.values():
            link.connection.close()
        self._links.clear()

    def _has_urgent_updates(self) -> bool:
        is_higher = self._in_force.known_revision > self._announced_revision
        self._announced_revision = self._in_force.known_revision
        return self._membership.pop_urgent() or is_higher

    def _start_exchanges(self) -> None:
        targets = self._membership.due_targets()
        target_instances = {member.instance for member in targets}
        self._close_idle(target_instances)
        for member in targets:
            link = self._link(member)
            if not link.is_busy:
                link.exchange = asyncio.create_task(self._exchange(member, link))

    def _link(self, member: MemberView) -> _Link:
        held = self._links.get(member.instance)
        if held is not None and held.address == member.address:
            return held
        if held is not None:
            held.connection.close()
        connection = PeerConnection(member.address, self._identity, self._clock)
        link = _Link(connection=connection, address=member.address)
        self._links[member.instance] = link
        return link

    def _close_idle(self, targets: set[InstanceId]) -> None:
        spare = [
            instance
            for instance, link in self._links.items()
            if instance not in targets and not link.is_busy
        ]
        for instance in spare[:-MAX_SPARE_CONNECTIONS]:
            self._links.pop(instance).connection.close()

    async def _exchange(self, member: MemberView, link: _Link) -> None:
        sent_at = self._clock.now()
        updates = self._membership.updates_for(member.instance)
        outcome = await link.connection.exchange(self._heartbeat(updates))
        match outcome:
            case Success(answer):
                self._membership.record_answer(answer.instance, answer.incarnation)
                if answer.instance == member.instance:
                    self._membership.acknowledge(member.instance, updates)
                self._record_confirmation(answer, sent_at)
                self._receive_extensions(answer)

    def _record_confirmation(self, answer: Heartbeat, sent_at: Milliseconds) -> None:
        self._in_force.record_revision(answer.known_revision)
        if isinstance(answer.confirmation_age, NoConfirmation):
            return
        # The peer measured the age after ``sent_at``, so this is a lower bound.
        instant = Milliseconds(sent_at - answer.confirmation_age)
        confirmation = StoreConfirmation(
            revision=answer.known_revision, instant=instant
        )
        self._in_force.record_confirmation(confirmation)

    def _heartbeat(self, updates: tuple[MembershipUpdate, ...]) -> Heartbeat:
        own = self._membership.own
        age = self._in_force.age
        return Heartbeat(
            instance=own.instance,
            incarnation=own.incarnation,
            revision=self._in_force.revision,
            known_revision=self._in_force.known_revision,
            confirmation_age=age
            if age < MAX_CONFIRMATION_AGE
            else NoConfirmation.TOKEN,
            updates=updates,
            extensions=self._extensions(),
        )

    def _extensions(self) -> tuple[Extension, ...]:
        produced = ((topic.name, topic.source()) for topic in self._topics)
        return tuple(
            Extension(topic=name, payload=payload)
            for name, payload in produced
            if 0 < len(payload) <= MAX_EXTENSION_BYTES
        )

    def _receive_extensions(self, heartbeat: Heartbeat) -> None:
        sinks = {topic.name: topic.sink for topic in self._topics}
        for extension in heartbeat.extensions:
            sink = sinks.get(extension.topic)
            if sink is not None and len(extension.payload) <= MAX_EXTENSION_BYTES:
                sink(heartbeat.instance, extension.payload)

    def _start_catch_up(self) -> None:
        is_running = self._catching_up is not None and not self._catching_up.done()
        if self._in_force.is_behind and not is_running:
            self._catching_up = asyncio.create_task(self._catch_up())

    async def _catch_up(self) -> None:
        peers = [
            self.connection_to(member)
            for member in self._membership.members()
            if member.instance in self._links and member.state is MemberState.ALIVE
        ]
        await self._poller.catch_up(peers)
