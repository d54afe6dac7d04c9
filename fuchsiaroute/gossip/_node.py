"""Exchanges gossip messages with other instances over UDP."""

import asyncio
from collections.abc import Callable, Collection, Sequence
from functools import singledispatchmethod
from random import Random
from typing import Any, cast

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.gossip._liveness import Liveness, MemberInfo
from fuchsiaroute.gossip._messages import (
    PATCHES,
    AnyMessage,
    FleetReport,
    FleetSum,
    GossipDecodeError,
    GossipMessage,
    Heartbeat,
    PermitReply,
    PermitRequest,
    PlaceReply,
    PlaceReport,
    decode_message,
    encode_message,
)
from fuchsiaroute.gossip._parts import MAX_PARTS, PART_BYTES, PartAssembler, divide
from fuchsiaroute.gossip._table_messages import (
    MessagePart,
    TablePatch,
    TableRequest,
    TableUpdate,
)
from fuchsiaroute.gossip._transfer import TransferPlan, plan_relay, plan_reply
from fuchsiaroute.ids import FailureDomainId, InstanceId, RegionId
from fuchsiaroute.linelog import LineLog

#: Time between two rounds; seven messages in a row may be lost before a member counts
#: as dead.
ROUND_INTERVAL = Milliseconds(250)
#: 2025-01-01 UTC, from which rounds are numbered: numbers take 4 bytes until 2059.
ROUNDS_EPOCH = Milliseconds(1_735_689_600_000)
#: Members that receive a message in each round. A small deployment has no more; in a
#: large one, a change reaches all members within a few rounds, and the traffic of each
#: instance does not grow with the deployment.
FANOUT = 8
#: Silent members that receive a message in each round beside those that are alive, at
#: least: a cut may have ended, and each side takes the other for dead.
MIN_SILENT_RECEIVERS = 1
#: Share of them that have been heard before; the others may be rows of instances that
#: were removed long ago.
HEARD_SHARE = 0.5
#: Members to which an instance relays a table update. Each receiver that does not have
#: the changes yet relays them likewise, so that about 1 in 400 receives no copy and
#: reads the store itself.
RELAY_FANOUT = 6
#: Members that are asked for changes that the store does not deliver. One of them may
#: be turned away by the store as well.
REQUEST_FANOUT = 2
#: Maximum size of a table update in a single datagram, while some members cannot read
#: parts.
MAX_RELAY_BYTES = 48_000
#: Maximum size of a table update that is sent in parts.
MAX_DIVIDED_BYTES = MAX_PARTS * PART_BYTES
#: Highest number of a divided message.
MAX_MESSAGE_NUMBER = 2**48
#: Host and port.
_Sender = tuple[str | Any, int]
#: Share of the receivers that are in the sender's failure domain. Traffic between
#: domains is costly, and a few receivers in other domains are enough to spread a
#: change.
LOCAL_SHARE = 0.6
#: Minimum time between two messages that are sent outside the rounds.
MIN_SEND_INTERVAL = Milliseconds(30)
#: Delay of an urgent message, so that what is noticed at once is sent together.
URGENT_DELAY = Milliseconds(1)


def initial_count(wall: Milliseconds) -> int:
    """
    Return the heartbeat counter of a process that starts at ``wall``, in Unix time.

    A process counts a round at most each ``ROUND_INTERVAL``, so that a later one starts
    above what a former one can have counted to.
    """
    return max((wall - ROUNDS_EPOCH) // ROUND_INTERVAL, 1)


class GossipNode(asyncio.DatagramProtocol):
    """
    Sends this instance's state to other instances in rounds and receives theirs.

    ``compose`` returns the message to send; ``on_message`` receives those of others.
    ``on_table_update`` receives changes of the store and returns whether any was new;
    if so, the update is relayed. ``on_table_request`` returns the changes that another
    instance lacks, if any. ``on_permit_message`` receives requests for permits and
    replies, ``on_place_message`` reports of places and replies, ``on_fleet_message``
    reports and sums of demand and outcomes. ``link_mbps`` is what the instance's link
    carries.
    """

    def __init__(
        self,
        *,
        liveness: Liveness,
        failure_domain: FailureDomainId,
        clock: Clock,
        random: Random,
        log: LineLog,
        link_mbps: float,
        compose: Callable[[], GossipMessage],
        on_message: Callable[[GossipMessage], None],
        on_table_update: Callable[[TableUpdate | TablePatch], bool],
        on_table_request: Callable[[TableRequest], TableUpdate | TablePatch | None],
        on_permit_message: Callable[[PermitRequest | PermitReply], None] = (
            lambda message: None
        ),
        on_place_message: Callable[[PlaceReport | PlaceReply], None] = (
            lambda message: None
        ),
        on_fleet_message: Callable[[FleetReport | FleetSum], None] = lambda message: (
            None
        ),
    ) -> None:
        self._on_fleet_message = on_fleet_message
        self._liveness = liveness
        self._failure_domain = failure_domain
        self._clock = clock
        self._random = random
        self._log = log
        self._compose = compose
        self._on_message = on_message
        self._on_table_update = on_table_update
        self._on_table_request = on_table_request
        self._on_permit_message = on_permit_message
        self._on_place_message = on_place_message
        self._link_mbps = link_mbps
        self._parts = PartAssembler(clock=clock)
        #: Tasks that send the parts of large messages.
        self._sending: set[asyncio.Task[None]] = set()
        self._transport: asyncio.DatagramTransport | None = None
        #: Members that were alive when changes were last logged.
        self._logged_alive: set[InstanceId] = set()
        self._logged_members: tuple[MemberInfo, ...] = ()
        #: Time of the latest urgent message, or of the one that is due.
        self._urgent_at = Milliseconds(-MIN_SEND_INTERVAL)
        self._flush: asyncio.TimerHandle | None = None

    async def open(self, host: str, port: int) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def close(self) -> None:
        """Close the socket."""
        for task in self._sending:
            task.cancel()
        if self._transport is not None:
            self._transport.close()

    async def run(self) -> None:
        """Send a message in each round until cancelled."""
        while True:
            self._liveness.count += 1
            self._send()
            self._log_liveness_changes()
            await self._clock.sleep(ROUND_INTERVAL)

    def send_soon(self, *, is_urgent: bool = False) -> None:
        """
        Send a message before the next round; calls until then share it.

        An urgent one is sent almost at once, unless another urgent one was just before.
        """
        loop = asyncio.get_running_loop()
        now = self._clock.now()
        delay = MIN_SEND_INTERVAL
        if is_urgent:
            next_at = Milliseconds(self._urgent_at + MIN_SEND_INTERVAL)
            delay = max(Milliseconds(next_at - now), URGENT_DELAY)
        due = loop.time() + delay / 1_000
        if self._flush is not None:
            if self._flush.when() <= due:
                return
            self._flush.cancel()
        if is_urgent:
            self._urgent_at = Milliseconds(now + delay)
        self._flush = loop.call_at(due, self._flush_now)

    def send_to_all(self) -> None:
        """Send one message to every member."""
        members = self._liveness.members
        if members:
            data = encode_message(self._compose())
            self._send_to(data, len(members), members=members)

    def relay(self, update: TableUpdate | TablePatch) -> None:
        """Send changes to ``RELAY_FANOUT`` members; large ones as the link allows."""
        data = encode_message(update)
        if self._must_divide(data):
            plan = plan_relay(size=len(data), link_mbps=self._link_mbps)
            members = self._sample(self._liveness.presumed_alive(), plan.members)
            addresses = [(item.host, item.port) for item in members]
            self._send_in_parts(data, addresses, plan)
        elif len(data) <= MAX_RELAY_BYTES:
            self._send_to(data, RELAY_FANOUT, members=self._liveness.presumed_alive())
        else:
            self._log.write(
                "table:update-too-large", table=update.table, size_bytes=len(data)
            )

    def send_to(
        self,
        instance: InstanceId,
        message: PermitRequest | PermitReply | PlaceReport | PlaceReply,
    ) -> None:
        """Send a message to one member; without its address nothing is sent."""
        for member in self._liveness.members:
            if member.instance == instance:
                self._send_to(encode_message(message), 1, members=(member,))

    def send_to_each(
        self, instances: Collection[InstanceId], message: FleetReport | FleetSum
    ) -> None:
        """Send one message to some members; those without an address get none."""
        names = frozenset(instances)
        found = tuple(item for item in self._liveness.members if item.instance in names)
        self._send_to(encode_message(message), len(found), members=found)

    def request(self, request: TableRequest) -> None:
        """Ask some members that are alive for changes that the store withholds."""
        self._send_to(
            encode_message(request), REQUEST_FANOUT, members=self._liveness.alive()
        )

    # asyncio.DatagramProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: _Sender) -> None:
        """Apply a message of another instance; an unreadable one is logged."""
        try:
            message = decode_message(data)
        except GossipDecodeError as error:
            self._log.write("news:unreadable", sender=str(addr), reason=str(error))
            return
        try:
            self._apply(message, addr)
        except Exception as error:
            # A later build may send values that this one does not know.
            self._log.write("news:failed", sender=str(addr), reason=repr(error))

    def error_received(self, exc: Exception) -> None:
        """Log a refused datagram; missing heartbeats mark the member as dead."""
        self._log.write("news:undelivered", reason=str(exc))

    # Private

    @singledispatchmethod
    def _apply(self, message: AnyMessage, addr: _Sender) -> None:
        raise TypeError(f"unsupported message: {message!r}")

    @_apply.register
    def _(self, message: MessagePart, addr: _Sender) -> None:
        whole = self._parts.add(message, sender=addr)
        if whole is not None:
            self._apply(decode_message(whole), addr)

    @_apply.register(TableUpdate)
    @_apply.register(TablePatch)
    def _(self, message: TableUpdate | TablePatch, addr: _Sender) -> None:
        if self._on_table_update(message) and not message.is_reply:
            self.relay(message)

    @_apply.register
    def _(self, message: TableRequest, addr: _Sender) -> None:
        self._reply(message, addr)

    @_apply.register(PermitRequest)
    @_apply.register(PermitReply)
    def _(self, message: PermitRequest | PermitReply, addr: _Sender) -> None:
        self._on_permit_message(message)

    @_apply.register(PlaceReport)
    @_apply.register(PlaceReply)
    def _(self, message: PlaceReport | PlaceReply, addr: _Sender) -> None:
        self._on_place_message(message)

    @_apply.register(FleetReport)
    @_apply.register(FleetSum)
    def _(self, message: FleetReport | FleetSum, addr: _Sender) -> None:
        self._on_fleet_message(message)

    @_apply.register
    def _(self, message: GossipMessage, addr: _Sender) -> None:
        is_new = self._liveness.update_member(
            MemberInfo(
                instance=InstanceId(message.instance),
                host=str(addr[0]),
                port=message.port,
                frontend=message.frontend,
                failure_domain=FailureDomainId(message.failure_domain),
            )
        )
        self._liveness.update_paths(
            InstanceId(message.instance),
            region=RegionId(message.region),
            tunnel_port=message.tunnel_port,
            is_cut=message.is_cut,
        )
        self._liveness.hear(
            Heartbeat(
                message.instance,
                message.count,
                message.is_ready,
                message.addition,
                message.link,
            )
        )
        for heartbeat in message.heartbeats:
            self._liveness.merge(heartbeat)
        self._on_message(message)
        if is_new:
            self._log_liveness_changes()
            self.send_soon()

    def _flush_now(self) -> None:
        self._flush = None
        self._send()

    def _send(self) -> None:
        members = self._receivers(FANOUT)
        if members:
            data = encode_message(self._compose())
            self._send_to(data, len(members), members=members)

    def _reply(self, request: TableRequest, address: _Sender) -> None:
        update = self._on_table_request(request)
        if update is None or self._transport is None:
            return
        data = encode_message(update)
        if self._must_divide(data):
            plan = plan_reply(link_mbps=self._link_mbps)
            self._send_in_parts(data, [address], plan)
        elif len(data) <= MAX_RELAY_BYTES:
            self._transport.sendto(data, address)
        else:
            self._log.write(
                "table:reply-too-large", table=request.table, size_bytes=len(data)
            )

    def _must_divide(self, data: bytes) -> bool:
        is_readable = self._liveness.all_know(PATCHES)
        return PART_BYTES < len(data) <= MAX_DIVIDED_BYTES and is_readable

    def _send_in_parts(
        self, data: bytes, addresses: list[_Sender], plan: TransferPlan
    ) -> None:
        number = self._random.randrange(MAX_MESSAGE_NUMBER)
        parts = [encode_message(part) for part in divide(data, message=number)]
        task = asyncio.ensure_future(self._send_parts(parts, addresses, plan.interval))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    async def _send_parts(
        self, parts: list[bytes], addresses: list[_Sender], interval: Milliseconds
    ) -> None:
        for part in parts:
            if self._transport is None or self._transport.is_closing():
                return
            for address in addresses:
                self._transport.sendto(part, address)
            await self._clock.sleep(interval)

    def _send_to(
        self,
        data: bytes,
        max_members: int,
        *,
        members: Sequence[MemberInfo],
    ) -> None:
        """Send to a sample of ``members``."""
        if self._transport is None or self._transport.is_closing():
            return
        for member in self._sample(members, max_members):
            self._transport.sendto(data, (member.host, member.port))

    def _receivers(self, count: int) -> list[MemberInfo]:
        """
        Return the members that receive a message of a round.

        Rows of instances that were removed stay in the store. Those that are alive come
        first, so that messages reach them however many such rows there are.
        """
        members = self._liveness.members
        if len(members) <= count:
            return list(members)
        alive = self._liveness.presumed_alive()
        chosen = self._sample(alive, count)
        names = {item.instance for item in alive}
        silent = [item for item in members if item.instance not in names]
        if not silent:
            return chosen
        heard = [item for item in silent if item.last_heartbeat_at is not None]
        for _ in range(max(count - len(chosen), MIN_SILENT_RECEIVERS)):
            is_heard = heard and self._random.random() < HEARD_SHARE
            chosen.append(self._random.choice(heard if is_heard else silent))
        return chosen

    def _sample(
        self, members: Sequence[MemberInfo], max_members: int
    ) -> list[MemberInfo]:
        """Return random members, ``LOCAL_SHARE`` of them in the own failure domain."""
        if len(members) <= max_members:
            return list(members)
        local = [item for item in members if self._is_local(item)]
        remote = [item for item in members if not self._is_local(item)]
        local = self._random.sample(
            local, min(round(max_members * LOCAL_SHARE), len(local))
        )
        return local + self._random.sample(
            remote, min(max_members - len(local), len(remote))
        )

    def _is_local(self, member: MemberInfo) -> bool:
        return member.failure_domain == self._failure_domain

    def _log_liveness_changes(self) -> None:
        members = self._liveness.alive()
        if members is self._logged_members:
            return
        self._logged_members = members
        alive = {member.instance for member in members}
        for name in alive - self._logged_alive:
            self._log.write("instance:heard", member=name, alive=len(alive))
        for name in self._logged_alive - alive:
            self._log.write("instance:silent", member=name, alive=len(alive))
        self._logged_alive = alive
