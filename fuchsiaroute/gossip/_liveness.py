"""Detects which other instances are alive, from heartbeat counters."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.gossip._messages import Heartbeat
from fuchsiaroute.ids import FailureDomainId, InstanceId, RegionId

#: Added to the highest heartbeat counter of a former process of this instance, so that
#: peers accept the heartbeats of the new process as newer.
RESTART_STEP = 1_000
#: Time for which a member that is silent is still counted among those that may use a
#: rate that all instances share. Only members whose rows have no lease, those of former
#: builds, depend on it.
ABSENCE_TIME = Milliseconds(20_000)


@dataclass(kw_only=True, slots=True)
class MemberInfo:
    """Addresses and latest heartbeat of another instance."""

    instance: InstanceId
    #: Address for gossip.
    host: str
    port: int
    #: ``host:port`` for callers.
    frontend: str
    failure_domain: FailureDomainId
    #: Highest heartbeat counter received.
    count: int = 0
    #: Whether callers may be sent there.
    is_ready: bool = False
    #: Latest addition to the format of messages that it knows, by its latest heartbeat.
    addition: int = 0
    #: What its link carries, in Mbit/s, by its latest heartbeat; 0 if unknown.
    link: int = 0
    #: Instant at which the counter last increased; None before the first heartbeat.
    last_heartbeat_at: Milliseconds | None = None
    #: What the member itself has told last: its region, the port on which it carries
    #: connections of its peers (0 without one), and whether it lacks direct paths.
    region: RegionId = RegionId("")
    tunnel_port: int = 0
    is_cut: bool = False
    #: Instant at which this instance first received the member's addresses.
    added_at: Milliseconds = Milliseconds(0)


@dataclass(kw_only=True, slots=True)
class _Selection:
    """Members that were alive when they were selected."""

    members: tuple[MemberInfo, ...] = ()
    #: Earliest instant at which one of them may be dead; None without members.
    expires_at: Milliseconds | None = None
    is_valid: bool = False

    def is_outdated(self, now: Milliseconds) -> bool:
        is_expired = self.expires_at is not None and now >= self.expires_at
        return is_expired or not self.is_valid


class Liveness:
    """
    Heartbeat counters of all instances, merged from every sender.

    An instance is alive while its counter has increased within ``dead_after``, whether
    the heartbeat came from the instance itself or was forwarded by another one. Two
    instances that cannot reach each other therefore see each other as alive while a
    third one reaches both.

    ``first_count`` is the first value of this instance's own counter. Peers accept
    higher counters only, also from a process that follows another one.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        clock: Clock,
        dead_after: Milliseconds,
        first_count: int = 1,
    ) -> None:
        self._instance = instance
        self._clock = clock
        self._dead_after = dead_after
        self._members: dict[InstanceId, MemberInfo] = {}
        #: Members whose heartbeats were forwarded by others while this instance has
        #: no addresses of them, with the instant of the first such heartbeat.
        self._unknown_members: dict[InstanceId, Milliseconds] = {}
        self._alive = _Selection()
        self._presumed_alive = _Selection()
        self._sharing = _Selection()
        #: Counters of former processes of members that have begun with a lower one,
        #: with the time at which that was noticed.
        self._former_counts: dict[InstanceId, tuple[int, Milliseconds]] = {}
        #: Number of times that the link of a member has become known or has changed.
        self.link_changes = 0
        #: This instance's own heartbeat counter.
        self.count = first_count

    @property
    def members(self) -> tuple[MemberInfo, ...]:
        """Return all other instances whose addresses are held, alive or dead."""
        return tuple(self._members.values())

    def alive(self) -> tuple[MemberInfo, ...]:
        """
        Return the other instances that are alive.

        The same tuple is returned until the set of these instances may have changed.
        """
        if self._alive.is_outdated(self._clock.now()):
            self._alive = self._select(self._heard_until)
        return self._alive.members

    def presumed_alive(self) -> tuple[MemberInfo, ...]:
        """
        Return the other instances that are alive or may be.

        A member that was added less than ``dead_after`` ago and has sent no heartbeat
        yet is included. Otherwise, budgets that all instances share would be divided
        among too few instances after a start. The same tuple is returned until the set
        of these instances may have changed.
        """
        if self._presumed_alive.is_outdated(self._clock.now()):
            self._presumed_alive = self._select(self._presumed_until)
        return self._presumed_alive.members

    def sharing(self) -> tuple[MemberInfo, ...]:
        """
        Return the other instances that may use a rate that all instances share.

        These are ``presumed_alive`` and those that have become silent within
        ``ABSENCE_TIME``, which may still reach the same endpoints. The same tuple is
        returned until the set of these instances may have changed.
        """
        if self._sharing.is_outdated(self._clock.now()):
            self._sharing = self._select(self._sharing_until)
        return self._sharing.members

    def _heard_until(self, item: MemberInfo) -> Milliseconds | None:
        if item.last_heartbeat_at is None:
            return None
        return Milliseconds(item.last_heartbeat_at + self._dead_after)

    def _presumed_until(self, item: MemberInfo) -> Milliseconds:
        # One that was never heard counts from when it became known.
        return self._heard_until(item) or Milliseconds(item.added_at + self._dead_after)

    def _sharing_until(self, item: MemberInfo) -> Milliseconds:
        if item.last_heartbeat_at is None:
            return self._presumed_until(item)
        return Milliseconds(item.last_heartbeat_at + ABSENCE_TIME)

    def _select(
        self, counts_until: Callable[[MemberInfo], Milliseconds | None]
    ) -> "_Selection":
        """Return the members that still count, and until when they all do."""
        now = self._clock.now()
        members = []
        expires_at: Milliseconds | None = None
        for item in self._members.values():
            expiry = counts_until(item)
            if expiry is None or now >= expiry:
                continue
            members.append(item)
            expires_at = expiry if expires_at is None else min(expires_at, expiry)
        return _Selection(members=tuple(members), expires_at=expires_at, is_valid=True)

    def _invalidate(self) -> None:
        for selection in (self._alive, self._presumed_alive, self._sharing):
            selection.is_valid = False

    def has_unknown_members(self, min_age: Milliseconds) -> bool:
        """Return whether peers have reported an unknown member for ``min_age``."""
        now = self._clock.now()
        return any(
            now - first_seen_at >= min_age
            for first_seen_at in self._unknown_members.values()
        )

    def clear_unknown_members(self) -> None:
        """Restart the age of every unknown member, after the store has been read."""
        self._unknown_members.clear()

    def all_know(self, addition: int) -> bool:
        """
        Return whether all instances that are alive know an addition to the messages.

        Their heartbeats tell, which are forwarded: in a large fleet, it takes long to
        hear from each member itself.
        """
        return all(item.addition >= addition for item in self.alive())

    def is_alive(self, member: MemberInfo) -> bool:
        """Return whether the member's counter increased within ``dead_after``."""
        if member.last_heartbeat_at is None:
            return False
        return self._clock.now() - member.last_heartbeat_at < self._dead_after

    def update_member(self, member: MemberInfo) -> bool:
        """Store the addresses of an instance; return whether it was unknown."""
        if member.instance == self._instance:
            return False
        known = self._members.get(member.instance)
        if known is None:
            member.added_at = self._clock.now()
            self._invalidate()
            self._members[member.instance] = member
            self._unknown_members.pop(member.instance, None)
            return True
        known.host, known.port = member.host, member.port
        known.frontend = member.frontend
        known.failure_domain = member.failure_domain
        return False

    def update_paths(
        self, instance: InstanceId, *, region: RegionId, tunnel_port: int, is_cut: bool
    ) -> None:
        """Store what a member has told of its region and of its paths to endpoints."""
        member = self._members.get(instance)
        if member is not None:
            member.region = region
            member.tunnel_port = tunnel_port
            member.is_cut = is_cut

    def hear(self, heartbeat: Heartbeat) -> None:
        """
        Store a heartbeat that the member itself has sent.

        A member that is dead and sends a lower counter than the one held is another
        process, which does not know of the former one's. Peers that have not heard it
        would go on ignoring it, so it is told the former counter.
        """
        name = InstanceId(heartbeat.instance)
        member = self._members.get(name)
        if (
            member is not None
            and heartbeat.count < member.count
            and not self.is_alive(member)
        ):
            self._former_counts[name] = (member.count, self._clock.now())
            member.count = heartbeat.count - 1
        self.merge(heartbeat)

    def merge(self, heartbeat: Heartbeat) -> None:
        """Store a heartbeat if its counter is higher than the one held."""
        name = InstanceId(heartbeat.instance)
        if name == self._instance:
            if heartbeat.count > self.count:
                # Sent by a former process of this instance. Peers ignore heartbeats
                # of this process until its counter is higher.
                self.count = heartbeat.count + RESTART_STEP
            return
        member = self._members.get(name)
        if member is None:
            self._unknown_members.setdefault(name, self._clock.now())
        elif heartbeat.count > member.count:
            if not self.is_alive(member):
                self._invalidate()
            member.count = heartbeat.count
            member.is_ready = heartbeat.is_ready
            member.addition = heartbeat.addition
            if heartbeat.link not in (0, member.link):
                # Former builds forward heartbeats without it.
                member.link = heartbeat.link
                self.link_changes += 1
            member.last_heartbeat_at = self._clock.now()

    def heartbeats(self, *, limit: int | None = None) -> list[Heartbeat]:
        """
        Return the latest heartbeats of living instances, for forwarding.

        With ``limit``, they are taken in turns from one round to the next. Members that
        have to continue above the counter of a former process are told it.
        """
        alive = self.alive()
        if limit is not None and len(alive) > limit:
            start = self.count * limit % len(alive)
            alive = (alive + alive[:limit])[start : start + limit]
        return [
            Heartbeat(
                item.instance, item.count, item.is_ready, item.addition, item.link
            )
            for item in (*alive, *self._with_former_counts())
        ]

    def _with_former_counts(self) -> list[MemberInfo]:
        """Return members with the counters of their former processes."""
        oldest = self._clock.now() - self._dead_after
        self._former_counts = {
            name: (count, noticed_at)
            for name, (count, noticed_at) in self._former_counts.items()
            if noticed_at > oldest
        }
        return [
            replace(self._members[name], count=count)
            for name, (count, _) in self._former_counts.items()
        ]
