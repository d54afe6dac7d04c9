"""The membership list of one entry."""

from dataclasses import dataclass, replace

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.ids import Incarnation, InstanceId
from fuchsiaroute.membership._messages import Announcement, MembershipUpdate, Report
from fuchsiaroute.membership._outbox import Outbox
from fuchsiaroute.membership._reports import (
    REPEAT_INTERVAL,
    ReportTable,
    connected_from,
)
from fuchsiaroute.membership._states import (
    Contact,
    MemberEvent,
    MemberState,
    MemberView,
    member_state,
)
from fuchsiaroute.membership._topology import Topology, heartbeat_interval

#: Heartbeat intervals without an answer until a member is late, until it is reported
#: as unreachable, and until it is silent. Between the last two, the reports of the
#: other entries arrive.
LATE_INTERVALS = 3
UNREACHABLE_INTERVALS = 5
SILENT_INTERVALS = 7
#: Heartbeat intervals between two heartbeats to an unreachable member.
RETRY_INTERVALS = 5
#: Time after which a dead member that the platform does not list is removed.
REMOVE_AFTER = Milliseconds(60_000)
UNKNOWN_INCARNATION = Incarnation(0)


@dataclass
class _Member:
    announcement: Announcement
    is_listed: bool
    state: MemberState
    dead_since: Milliseconds
    #: Instant of the last answer, or of the first heartbeat if none has come.
    answered_at: Milliseconds
    #: Instant of the latest heartbeat to it.
    probed_at: Milliseconds
    is_probed: bool = False
    is_reported: bool = False
    reported_at: Milliseconds = Milliseconds(0)


class Membership:
    """
    Combines the platform's list, this entry's heartbeats and the reports of others.

    The list names entries and lags behind; heartbeats show which of them answer. A
    member is dead if no chain of answered heartbeats leads to it.
    """

    def __init__(self, own: Announcement, clock: Clock) -> None:
        self._own = own
        self._clock = clock
        self._members: dict[InstanceId, _Member] = {}
        self._outbox = Outbox()
        self._reports = ReportTable()
        self._report_sequence = 0
        self._is_urgent = False
        self._connected = frozenset({own.instance})
        self._events: list[tuple[InstanceId, MemberEvent]] = []
        self._topology = Topology([own.instance])

    @property
    def own(self) -> Announcement:
        """Return this entry's latest announcement."""
        return self._own

    @property
    def entry_count(self) -> int:
        """Return the number of entries that are not dead, this one included."""
        return 1 + sum(
            member.state is not MemberState.DEAD for member in self._members.values()
        )

    @property
    def interval(self) -> Milliseconds:
        """Return the time between two heartbeats to the same target."""
        return heartbeat_interval(1 + len(self._members))

    @property
    def has_quorum(self) -> bool:
        """
        Return whether more than half of the entries are not dead.

        Dead entries that had announced that they leave do not count.
        """
        expected = 1 + sum(
            not (member.state is MemberState.DEAD and member.announcement.is_leaving)
            for member in self._members.values()
        )
        return 2 * self.entry_count > expected

    def members(self) -> tuple[MemberView, ...]:
        """Return all other entries."""
        return tuple(_view(member) for member in self._members.values())

    def drain_events(self) -> tuple[tuple[InstanceId, MemberEvent], ...]:
        """Return the events since the last call."""
        events = tuple(self._events)
        self._events.clear()
        return events

    def apply_listed(self, listed: tuple[Announcement, ...]) -> None:
        """Apply the platform's list; it holds no incarnations."""
        ids = {item.instance for item in listed}
        for member in self._members.values():
            member.is_listed = member.announcement.instance in ids
        for item in listed:
            if item.instance != self._own.instance:
                self._get_or_add(item).is_listed = True

    def due_targets(self) -> tuple[MemberView, ...]:
        """Return the members to send a heartbeat to now, and record that it is sent."""
        now = self._clock.now()
        probed = self._topology.probed(self._own.instance, self._unreachable())
        due = []
        for instance, member in self._members.items():
            is_retried = member.is_reported or member.state is MemberState.DEAD
            if instance in probed or self._is_retry_due(member, is_retried, now):
                if not member.is_probed:
                    member.is_probed, member.answered_at = True, now
                member.probed_at = now
                due.append(_view(member))
            elif not is_retried:
                member.is_probed = False
        return tuple(due)

    def pop_urgent(self) -> bool:
        """Return whether updates since the last call are to be sent at once."""
        is_urgent, self._is_urgent = self._is_urgent, False
        return is_urgent

    def updates_for(self, peer: InstanceId) -> tuple[MembershipUpdate, ...]:
        """Return the updates to send to ``peer``."""
        return self._outbox.next_updates(peer)

    def acknowledge(self, peer: InstanceId, sent: tuple[MembershipUpdate, ...]) -> None:
        """Record that ``peer`` has received ``sent``."""
        self._outbox.acknowledge(peer, sent)

    def record_answer(self, peer: InstanceId, incarnation: Incarnation) -> None:
        """Record that ``peer`` answered a heartbeat in ``incarnation``."""
        member = self._members.get(peer)
        if member is None or incarnation < member.announcement.incarnation:
            return
        if incarnation > member.announcement.incarnation:
            self._apply_incarnation(
                member, replace(member.announcement, incarnation=incarnation)
            )
        member.answered_at = self._clock.now()
        if member.is_reported:
            member.is_reported = False
            self._publish_report(member, is_reachable=True)

    def receive(
        self, source: InstanceId, updates: tuple[MembershipUpdate, ...]
    ) -> None:
        """Apply the updates that ``source`` sent, and forward those that are new."""
        for update in updates:
            is_new = (
                self._apply_announcement(update)
                if isinstance(update, Announcement)
                else self._apply_report(update)
            )
            if is_new:
                self._send(update, source=source)

    def announce(self, *, is_leaving: bool) -> None:
        """Announce to every entry that this entry serves or leaves."""
        self._own = replace(
            self._own, sequence=self._own.sequence + 1, is_leaving=is_leaving
        )
        self._send(self._own, source=self._own.instance)

    def refresh(self) -> None:
        """Update the states; called once in each heartbeat interval."""
        now = self._clock.now()
        self._reports.expire(now)
        self._report_unreachable(now)
        self._topology = Topology([self._own.instance, *self._members])
        self._connected = connected_from(
            self._own.instance, self._topology, self._reports.unreachable_by()
        )
        for instance, member in list(self._members.items()):
            self._update_state(instance, member, now)
        peers = self._topology.targets(self._own.instance, self._unreachable())
        self._outbox.update_peers(peers, initial=self._initial_updates())

    def _initial_updates(self) -> tuple[MembershipUpdate, ...]:
        known = tuple(
            member.announcement
            for member in self._members.values()
            if member.announcement.incarnation != UNKNOWN_INCARNATION
        )
        return (self._own, *self._reports.on_unreachable(), *known)

    def _unreachable(self) -> frozenset[InstanceId]:
        return frozenset(
            instance for instance, member in self._members.items() if member.is_reported
        )

    def _is_retry_due(
        self, member: _Member, is_retried: bool, now: Milliseconds
    ) -> bool:
        waited = now - member.probed_at
        return is_retried and waited >= RETRY_INTERVALS * self.interval

    def _contact(self, member: _Member, now: Milliseconds) -> Contact:
        if not member.is_probed:
            return Contact.NOT_PROBED
        missed_intervals = (now - member.answered_at) // self.interval
        if missed_intervals >= SILENT_INTERVALS:
            return Contact.SILENT
        return Contact.LATE if missed_intervals >= LATE_INTERVALS else Contact.ANSWERING

    def _update_state(
        self, instance: InstanceId, member: _Member, now: Milliseconds
    ) -> None:
        state = member_state(
            self._contact(member, now),
            is_connected=instance in self._connected,
            is_leaving=member.announcement.is_leaving,
        )
        if state is not member.state:
            self._record_change(member, state, now)
        member.state = state
        is_gone = state is MemberState.DEAD and not member.is_listed
        if is_gone and now - member.dead_since > REMOVE_AFTER:
            del self._members[instance]
            self._reports.remove(instance)
            self._events.append((instance, MemberEvent.FORGOTTEN))

    def _record_change(
        self, member: _Member, state: MemberState, now: Milliseconds
    ) -> None:
        instance = member.announcement.instance
        if state is MemberState.DEAD:
            member.dead_since = now
            self._events.append((instance, MemberEvent.DIED))
        elif member.state is MemberState.DEAD:
            self._events.append((instance, MemberEvent.RESUMED))
        if state is MemberState.LEAVING:
            self._events.append((instance, MemberEvent.LEAVING))

    def _report_unreachable(self, now: Milliseconds) -> None:
        for member in self._members.values():
            if not member.is_probed:
                continue
            is_unreachable = (
                now - member.answered_at >= UNREACHABLE_INTERVALS * self.interval
            )
            is_due = now - member.reported_at >= REPEAT_INTERVAL
            if is_unreachable and (is_due or not member.is_reported):
                member.is_reported, member.reported_at = True, now
                self._publish_report(member, is_reachable=False)

    def _publish_report(self, member: _Member, *, is_reachable: bool) -> None:
        self._report_sequence += 1
        report = Report(
            observer=self._own.instance,
            observer_incarnation=self._own.incarnation,
            subject=member.announcement.instance,
            subject_incarnation=member.announcement.incarnation,
            is_reachable=is_reachable,
            sequence=self._report_sequence,
        )
        self._reports.add(report, self._clock.now())
        self._send(report, source=self._own.instance)

    def _send(self, update: MembershipUpdate, *, source: InstanceId) -> None:
        self._outbox.add(update, source=source)
        self._is_urgent = True

    def _apply_report(self, report: Report) -> bool:
        subject = self._members.get(report.subject)
        if report.observer == self._own.instance or subject is None:
            return False
        if report.subject_incarnation < subject.announcement.incarnation:
            return False
        return self._reports.add(report, self._clock.now())

    def _apply_announcement(self, update: Announcement) -> bool:
        if update.instance == self._own.instance:
            return False
        held = self._members.get(update.instance)
        if held is None:
            self._get_or_add(update)
            return True
        known = (held.announcement.incarnation, held.announcement.sequence)
        if known >= (update.incarnation, update.sequence):
            return False
        if update.incarnation > held.announcement.incarnation:
            self._apply_incarnation(held, update)
        held.announcement = update
        return True

    def _apply_incarnation(self, member: _Member, announcement: Announcement) -> None:
        is_restart = member.announcement.incarnation != UNKNOWN_INCARNATION
        if is_restart:
            announcement = replace(announcement, is_leaving=False, sequence=0)
            self._reports.remove(announcement.instance)
            # The new process holds no state: it receives the initial updates again.
            self._outbox.remove(announcement.instance)
            self._events.append((announcement.instance, MemberEvent.RESTARTED))
        member.announcement = announcement
        member.is_probed = member.is_reported = False

    def _get_or_add(self, announcement: Announcement) -> _Member:
        held = self._members.get(announcement.instance)
        if held is not None:
            return held
        now = self._clock.now()
        member = _Member(
            announcement=announcement,
            is_listed=False,
            state=MemberState.ALIVE,
            dead_since=now,
            answered_at=now,
            probed_at=now,
        )
        self._members[announcement.instance] = member
        self._events.append((announcement.instance, MemberEvent.JOINED))
        self._topology = Topology([self._own.instance, *self._members])
        return member


def _view(member: _Member) -> MemberView:
    return MemberView(
        instance=member.announcement.instance,
        incarnation=member.announcement.incarnation,
        address=member.announcement.address,
        failure_domain=member.announcement.failure_domain,
        state=member.state,
    )
