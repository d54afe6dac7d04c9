"""Which other instances are alive."""

from dataclasses import dataclass

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.gossip._messages import Heartbeat
from fuchsiaroute.ids import FailureDomainId, InstanceId

#: Added to the count that others remember of an earlier life of this instance.
RESTART_STEP = 1_000


@dataclass(kw_only=True, slots=True)
class MemberInfo:
    """What is known about another instance."""

    instance: InstanceId
    #: Where its peers reach it.
    host: str
    port: int
    #: Where callers reach it.
    frontend: str
    failure_domain: FailureDomainId
    count: int = 0
    is_ready: bool = False
    #: Instant of its latest new sign of life; None if there was none yet.
    last_heartbeat_at: Milliseconds | None = None
    #: Instant at which this instance learnt of it.
    added_at: Milliseconds = Milliseconds(0)


class Liveness:
    """
    Counts of signs of life, merged from all instances.

    An instance is alive while its count has grown within ``dead_after``, whoever has
    told so; two instances that cannot reach each other still see each other through
    a third.
    """

    def __init__(
        self, *, instance: InstanceId, clock: Clock, dead_after: Milliseconds
    ) -> None:
        self._instance = instance
        self._clock = clock
        self._dead_after = dead_after
        self._members: dict[InstanceId, MemberInfo] = {}
        #: Members that others have told of and that are unknown here, by the instant
        #: at which they were first told of.
        self._strangers: dict[InstanceId, Milliseconds] = {}
        #: This instance's own count.
        self.count = 1

    @property
    def members(self) -> tuple[MemberInfo, ...]:
        """Return all other instances ever heard of."""
        return tuple(self._members.values())

    def alive(self) -> tuple[MemberInfo, ...]:
        """Return the other instances that are alive."""
        return tuple(item for item in self._members.values() if self.is_alive(item))

    def presumed_alive(self) -> tuple[MemberInfo, ...]:
        """
        Return the other instances that are alive or may be.

        One that has just become known and was not heard yet counts, so that what all
        instances share is not divided among too few after a start.
        """
        now = self._clock.now()
        return tuple(
            item
            for item in self._members.values()
            if self.is_alive(item)
            or (
                item.last_heartbeat_at is None
                and now - item.added_at < self._dead_after
            )
        )

    def has_unknown_members(self, patience: Milliseconds) -> bool:
        """Return whether a living member has been unknown here for ``patience``."""
        now = self._clock.now()
        return any(now - told_at >= patience for told_at in self._strangers.values())

    def clear_unknown_members(self) -> None:
        """Count the time of unknown members anew, after the store has been read."""
        self._strangers.clear()

    def is_alive(self, member: MemberInfo) -> bool:
        """Return whether a member has given a sign of life lately."""
        if member.last_heartbeat_at is None:
            return False
        return self._clock.now() - member.last_heartbeat_at < self._dead_after

    def update_member(self, member: MemberInfo) -> bool:
        """Take over an instance's addresses; return whether it was unknown."""
        if member.instance == self._instance:
            return False
        known = self._members.get(member.instance)
        if known is None:
            member.added_at = self._clock.now()
            self._members[member.instance] = member
            self._strangers.pop(member.instance, None)
            return True
        known.host, known.port = member.host, member.port
        known.frontend = member.frontend
        known.failure_domain = member.failure_domain
        return False

    def merge(self, heartbeat: Heartbeat) -> None:
        """Take over a sign of life."""
        name = InstanceId(heartbeat.instance)
        if name == self._instance:
            if heartbeat.count > self.count:
                # Of an earlier life of this instance; others expect a higher one.
                self.count = heartbeat.count + RESTART_STEP
            return
        member = self._members.get(name)
        if member is None:
            self._strangers.setdefault(name, self._clock.now())
        elif heartbeat.count > member.count:
            member.count = heartbeat.count
            member.is_ready = heartbeat.is_ready
            member.last_heartbeat_at = self._clock.now()

    def heartbeats(self) -> list[Heartbeat]:
        """Return the signs of life of living instances, to be passed on."""
        return [
            Heartbeat(item.instance, item.count, item.is_ready) for item in self.alive()
        ]
