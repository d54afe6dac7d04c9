"""One entry's knowledge of all entries."""

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

#: Heartbeat intervals without an answer until a member is late, until it is
#: reported unreachable, and until the others' reports must have arrived.
LATE_INTERVALS = 3
UNREACHABLE_INTERVALS = 5
SILENT_INTERVALS = 7
#: Heartbeat intervals between two attempts on a member that is unreachable.
RETRY_INTERVALS = 5
#: Time after which a dead member that the platform does not list is forgotten.
FORGET_AFTER = Milliseconds(60_000)
UNKNOWN_INCARNATION = Incarnation(0)


@dataclass
class _Member:
    announcement: Announcement
    is_listed: bool
    state: MemberState
    dead_since: Milliseconds
    #: Instant of the first heartbeat after which no answer has come, if probed.
    heard_at: Milliseconds
    asked_at: Milliseconds
    is_probed: bool = False
    is_reported: bool = False
    reported_at: Milliseconds = Milliseconds(0)


class Membership:
    """
    Combines the platform's lagging list, own heartbeats and others' reports.

    The list names entries; heartbeats say which of them answer. An entry that no
    chain of answered heartbeats leads to is dead for this one.
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
        """Return what this entry says of itself."""
        return self._own

    @property
    def entry_count(self) -> int:
        """Return the number of entries that are not dead, this one included."""
        return 1 + sum(
            member.state is not MemberState.DEAD for member in self._members.values()
        )

    @property
    def interval(self) -> Milliseconds:
        """Return the time between two heartbeats to one target."""
        return heartbeat_interval(1 + len(self._members))

    @property
    def has_quorum(self) -> bool:
        """Return whether more than half of the known entries are not dead."""
        expected = 1 + sum(
            not (member.state is MemberState.DEAD and member.announcement.is_leaving)
            for member in self._members.values()
        )
        return 2 * self.entry_count > expected

    def members(self) -> tuple[MemberView, ...]:
        """Return every other entry that is known."""
        return tuple(_view(member) for member in self._members.values())

    def drain_events(self) -> tuple[tuple[InstanceId, MemberEvent], ...]:
        """Return the changes since the last call."""
        events = tuple(self._events)
        self._events.clear()
        return events

    def apply_listed(self, listed: tuple[Announcement, ...]) -> None:
        """Take in the platform's list; incarnations in it are unknown."""
        ids = {item.instance for item in listed}
        for member in self._members.values():
            member.is_listed = member.announcement.instance in ids
        for item in listed:
            if item.instance != self._own.instance:
                self._ensure(item).is_listed = True

    def due_targets(self) -> tuple[MemberView, ...]:
        """Return the members to send a heartbeat to now, and count them as asked."""
        now = self._clock.now()
        wanted = self._topology.probed(self._own.instance, self._unreachable())
        due = []
        for instance, member in self._members.items():
            is_retried = member.is_reported or member.state is MemberState.DEAD
            if instance in wanted or self._is_retry_due(member, is_retried, now):
                if not member.is_probed:
                    member.is_probed, member.heard_at = True, now
                member.asked_at = now
                due.append(_view(member))
            elif not is_retried:
                member.is_probed = False
        return tuple(due)

    def pop_urgent(self) -> bool:
        """Return whether there is news since the last call, to be sent at once."""
        is_urgent, self._is_urgent = self._is_urgent, False
        return is_urgent

    def updates_for(self, peer: InstanceId) -> tuple[MembershipUpdate, ...]:
        """Return the news to send to ``peer``."""
        return self._outbox.next_news(peer)

    def acknowledge(self, peer: InstanceId, sent: tuple[MembershipUpdate, ...]) -> None:
        """Record that ``peer`` has received ``sent``."""
        self._outbox.acknowledge(peer, sent)

    def record_answer(self, peer: InstanceId, incarnation: Incarnation) -> None:
        """Record that ``peer`` answered a heartbeat, in this life of its process."""
        member = self._members.get(peer)
        if member is None or incarnation < member.announcement.incarnation:
            return
        if incarnation > member.announcement.incarnation:
            self._start_afresh(
                member, replace(member.announcement, incarnation=incarnation)
            )
        member.heard_at = self._clock.now()
        if member.is_reported:
            member.is_reported = False
            self._publish_report(member, is_reachable=True)

    def receive(self, source: InstanceId, news: tuple[MembershipUpdate, ...]) -> None:
        """Take in news that ``source`` sent, and pass on what is new."""
        for item in news:
            is_new = (
                self._take_announcement(item)
                if isinstance(item, Announcement)
                else self._take_report(item)
            )
            if is_new:
                self._send(item, source=source)

    def announce(self, *, is_leaving: bool) -> None:
        """Tell every entry that this one serves or leaves."""
        self._own = replace(
            self._own, sequence=self._own.sequence + 1, is_leaving=is_leaving
        )
        self._send(self._own, source=self._own.instance)

    def refresh(self) -> None:
        """Bring states up to date; called once in each heartbeat interval."""
        now = self._clock.now()
        self._reports.expire(now)
        self._report_silent(now)
        self._topology = Topology([self._own.instance, *self._members])
        self._connected = connected_from(
            self._own.instance, self._topology, self._reports.unreachable_by()
        )
        for instance, member in list(self._members.items()):
            self._update_state(instance, member, now)
        peers = self._topology.targets(self._own.instance, self._unreachable())
        self._outbox.keep_peers(peers, greeting=self._greeting())

    def _greeting(self) -> tuple[MembershipUpdate, ...]:
        known = tuple(
            member.announcement
            for member in self._members.values()
            if member.announcement.incarnation != UNKNOWN_INCARNATION
        )
        return (self._own, *self._reports.of_unreachable(), *known)

    def _unreachable(self) -> frozenset[InstanceId]:
        return frozenset(
            instance for instance, member in self._members.items() if member.is_reported
        )

    def _is_retry_due(
        self, member: _Member, is_retried: bool, now: Milliseconds
    ) -> bool:
        waited = now - member.asked_at
        return is_retried and waited >= RETRY_INTERVALS * self.interval

    def _contact(self, member: _Member, now: Milliseconds) -> Contact:
        if not member.is_probed:
            return Contact.NOT_PROBED
        silence = (now - member.heard_at) // self.interval
        if silence >= SILENT_INTERVALS:
            return Contact.SILENT
        return Contact.LATE if silence >= LATE_INTERVALS else Contact.ANSWERING

    def _update_state(
        self, instance: InstanceId, member: _Member, now: Milliseconds
    ) -> None:
        state = member_state(
            self._contact(member, now),
            is_connected=instance in self._connected,
            is_leaving=member.announcement.is_leaving,
        )
        if state is not member.state:
            self._note_change(member, state, now)
        member.state = state
        is_gone = state is MemberState.DEAD and not member.is_listed
        if is_gone and now - member.dead_since > FORGET_AFTER:
            del self._members[instance]
            self._reports.forget(instance)
            self._events.append((instance, MemberEvent.FORGOTTEN))

    def _note_change(
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

    def _report_silent(self, now: Milliseconds) -> None:
        for member in self._members.values():
            if not member.is_probed:
                continue
            is_silent = now - member.heard_at >= UNREACHABLE_INTERVALS * self.interval
            is_due = now - member.reported_at >= REPEAT_INTERVAL
            if is_silent and (is_due or not member.is_reported):
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

    def _send(self, news: MembershipUpdate, *, source: InstanceId) -> None:
        self._outbox.add(news, source=source)
        self._is_urgent = True

    def _take_report(self, report: Report) -> bool:
        subject = self._members.get(report.subject)
        if report.observer == self._own.instance or subject is None:
            return False
        if report.subject_incarnation < subject.announcement.incarnation:
            return False
        return self._reports.add(report, self._clock.now())

    def _take_announcement(self, news: Announcement) -> bool:
        if news.instance == self._own.instance:
            return False
        held = self._members.get(news.instance)
        if held is None:
            self._ensure(news)
            return True
        known = (held.announcement.incarnation, held.announcement.sequence)
        if known >= (news.incarnation, news.sequence):
            return False
        if news.incarnation > held.announcement.incarnation:
            self._start_afresh(held, news)
        held.announcement = news
        return True

    def _start_afresh(self, member: _Member, announcement: Announcement) -> None:
        is_restart = member.announcement.incarnation != UNKNOWN_INCARNATION
        if is_restart:
            announcement = replace(announcement, is_leaving=False, sequence=0)
            self._reports.forget(announcement.instance)
            # The new process knows nothing yet and is greeted again.
            self._outbox.forget(announcement.instance)
            self._events.append((announcement.instance, MemberEvent.RESTARTED))
        member.announcement = announcement
        member.is_probed = member.is_reported = False

    def _ensure(self, announcement: Announcement) -> _Member:
        held = self._members.get(announcement.instance)
        if held is not None:
            return held
        now = self._clock.now()
        member = _Member(
            announcement=announcement,
            is_listed=False,
            state=MemberState.ALIVE,
            dead_since=now,
            heard_at=now,
            asked_at=now,
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
