"""Decides from crashes and answers which prompt parts and requests are refused."""

from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.ids import EndpointId
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.quarantine._answer_times import AnswerTimes
from fuchsiaroute.quarantine._crashes import (
    COMMON_CAUSE_TIME,
    CrashId,
    CrashReport,
    SubjectKey,
    independent_crashes,
    independent_request_crashes,
    is_request,
    is_same_crash,
)

#: Independent crashes under a subject that was never answered, after which it is
#: quarantined if no other such subject was in as many.
CRASHES_UNTIL_QUARANTINE = 3
#: The same for a part if another one was in as many, but not the same crashes.
CRASHES_UNTIL_ALL_QUARANTINED = 4
#: The same for a request. Requests in the same crashes are sent in turns, so that more
#: crashes tell them apart.
CRASHES_UNTIL_ALL_REQUESTS_QUARANTINED = 6
#: The same for a subject that was answered before the crashes and not since. Endpoints
#: can crash so fast after each other that no request with a common part is answered.
CRASHES_OF_ANSWERED = 6
#: Crashes after which a failed request, or one with a part that was never answered, is
#: not sent again: the next one decides.
CRASHES_UNTIL_NO_RETRY = 2
#: Crashes from which requests in the same ones are sent in turns.
CRASHES_UNTIL_TURNS = 2
#: Length of a turn. An endpoint answers within it, or is down for longer.
TURN_TIME = Milliseconds(1_000)
#: Age from which a crash counts: the reports of other instances, whose requests it has
#: broken as well, have arrived.
SETTLE_TIME = Milliseconds(150)
#: Age of a crash up to which a request with enough of them is not sent. Later, they are
#: settled and ``refresh`` has decided on them.
DECISION_TIME = Milliseconds(300)
#: Parts of which answers are known without which crashes say nothing of a part that was
#: never answered.
MIN_ANSWERED_PARTS = 5
#: Time for which a crash is evidence, and an answer is remembered against it.
EVIDENCE_TIME = Milliseconds(60_000)
#: Time for which a part is quarantined. One crash within the same time afterwards
#: quarantines it again.
QUARANTINE_TIME = Milliseconds(600_000)
#: Subjects of which crashes are remembered; the oldest with one crash only goes first.
MAX_SUSPECTS = 500
#: Reports that fit into a message to peers.
MAX_REPORTS = 40
MAX_CRASH_REPORTS = 100
#: Time for which peers are told of an answer that clears a subject, and of a crash of
#: one that is quarantined or has no other crash.
RECENT_REPORT_TIME = Milliseconds(10_000)


class SubjectState(Enum):
    """What is known of a subject."""

    #: Endpoints have crashed under it.
    SUSPECT = "suspect"
    #: No endpoint gets it.
    QUARANTINED = "quarantined"
    #: Its quarantine has ended, and no answer has cleared it.
    RELEASED = "released"


@dataclass(frozen=True)
class SubjectReport:
    """When something was last known of a subject, for peers."""

    subject: SubjectKey
    at: Milliseconds
    #: Of a quarantined part: see ``_Suspect.companions``.
    companions: frozenset[SubjectKey] = frozenset()


@dataclass(slots=True)
class _Suspect:
    subject: SubjectKey
    state: SubjectState = SubjectState.SUSPECT
    crashes: dict[CrashId, CrashReport] = field(default_factory=dict)
    #: Start of the quarantine.
    since: Milliseconds = Milliseconds(0)
    #: Other parts that were in all crashes of a quarantined part and were never
    #: answered. Requests without one of them are served: their answers show which part
    #: is the cause.
    companions: frozenset[SubjectKey] = frozenset()

    def count(self, *, until: Milliseconds | None = None) -> int:
        """Return the independent crashes, those up to ``until`` if it is given."""
        count = (
            independent_request_crashes
            if is_request(self.subject)
            else independent_crashes
        )
        return count(
            item for item in self.crashes.values() if until is None or item.at <= until
        )


class Quarantine:
    """
    Crashes under requests without an answer, and answers, by subject.

    A subject is a part of a prompt, or all that endpoints see of a request. If it
    crashes endpoints, it is in each request that was unanswered at such a crash, and in
    none that is answered. So a subject is quarantined after several independent
    crashes, sooner if it was never answered, and one answer clears it.

    All instances exchange what they see and come to the same result.
    ``on_change(subject, at)`` is called when this instance quarantines a subject from
    evidence (``at`` is the start) or clears a quarantined one (None), and
    ``on_crash()`` when it has seen a crash, to report it soon.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        random: Random,
        log: LineLog,
        on_change: Callable[[SubjectKey, Milliseconds | None], None] = (
            lambda subject, at: None
        ),
        on_crash: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._random = random
        self._log = log
        self._on_change = on_change
        self._on_crash = on_crash
        self._suspects: dict[SubjectKey, _Suspect] = {}
        #: A subject that is not in it counts as never answered.
        self._answered = AnswerTimes()
        #: Suspected subjects that an answer has cleared, with the time of the clearing.
        self._cleared: dict[SubjectKey, Milliseconds] = {}

    def refusal_time(self, subjects: frozenset[SubjectKey]) -> Milliseconds | None:
        """Return for how long ``subjects`` are refused; None if they are served."""
        if not self._suspects:
            return None
        now = self._clock.now()
        longest: Milliseconds | None = None
        for subject in subjects & self._suspects.keys():
            suspect = self._suspects[subject]
            is_quarantined = suspect.state is SubjectState.QUARANTINED
            if is_quarantined and suspect.companions <= subjects:
                left = Milliseconds(suspect.since + QUARANTINE_TIME - now)
                if left > 0:
                    longest = left if longest is None else max(longest, left)
        return longest

    def may_retry(self, subjects: frozenset[SubjectKey]) -> bool:
        """Return whether a failed request with ``subjects`` may be sent again."""
        suspects = subjects & self._suspects.keys()
        return not any(self._blocks_retry(subject, subjects) for subject in suspects)

    def has_crashes(self, subject: SubjectKey) -> bool:
        """Return whether an endpoint has crashed under a subject without an answer."""
        suspect = self._suspects.get(subject)
        return suspect is not None and bool(suspect.crashes)

    def is_held_back(self, subject: SubjectKey) -> bool:
        """
        Return whether a request waits for a decision on its crashes, or for its turn.

        Requests in the same crashes are sent in turns. Sent together, the sound ones
        among them would be in the next crash as well. In each turn about half of them
        are sent, so that a sound one is soon answered in a turn without the one that
        crashes endpoints. They are numbered, and sent by one binary digit of their
        numbers: within two turns for each digit, each of them is sent without each
        other one.
        """
        suspect = self._suspects.get(subject)
        if suspect is None or not _takes_turns(suspect):
            return False
        if self._is_undecided(suspect):
            return True
        group = sorted(
            name
            for name, other in self._suspects.items()
            if name == subject
            or (
                is_request(name)
                and _takes_turns(other)
                and self._shares_crash(name, subject)
            )
        )
        if len(group) == 1:
            return False
        crashes = [self._suspects[name].crashes.values() for name in group]
        latest = max(item.at for items in crashes for item in items)
        turn = (self._clock.now() - latest) // TURN_TIME + max(map(len, crashes))
        digit, is_second_half = divmod(turn, 2)
        digit %= (len(group) - 1).bit_length()
        return bool(group.index(subject) >> digit & 1) is not bool(is_second_half)

    def record_crash(
        self,
        subjects: Collection[SubjectKey],
        endpoint: EndpointId,
        *,
        follows_crash: bool = False,
    ) -> None:
        """
        Record that an endpoint crashed under an unanswered request.

        ``follows_crash`` tells that another one was known to have crashed under it
        when it was sent.
        ``refresh`` decides on its subjects once peers' reports have arrived.
        """
        now = self._clock.now()
        crash = CrashId(self._random.getrandbits(63))
        for subject in subjects:
            self._add_crash(
                CrashReport(
                    id=crash,
                    subject=subject,
                    endpoint=endpoint,
                    at=now,
                    follows_crash=follows_crash,
                )
            )
        self._on_crash()

    def record_answer(self, subjects: Iterable[SubjectKey]) -> None:
        """Record that a request with ``subjects`` was answered."""
        now = self._clock.now()
        for subject in subjects:
            self.apply_answer(SubjectReport(subject, now))

    def apply_crashes(self, reports: Sequence[CrashReport]) -> list[CrashReport]:
        """Apply crashes that a peer has seen; return those that were not known."""
        return [report for report in reports if self._add_crash(report)]

    def apply_answer(self, report: SubjectReport) -> None:
        """Apply an answer that this instance or a peer has seen."""
        subject = report.subject
        at = self._answered.record(subject, report.at)
        self._drop_companion(subject, at)
        suspect = self._suspects.get(subject)
        if suspect is None:
            return
        suspect.crashes = {
            id: item for id, item in suspect.crashes.items() if not _clears(at, item.at)
        }
        if suspect.crashes or not _clears(at, suspect.since):
            return
        del self._suspects[subject]
        self._cleared[subject] = self._clock.now()
        if suspect.state is not SubjectState.SUSPECT:
            self._write(subject, "cleared")
            self._on_change(subject, None)

    def apply_quarantine(self, report: SubjectReport, *, source: str) -> None:
        """Quarantine a subject as a peer or the store says."""
        subject = report.subject
        if self._is_cleared(subject, report.at):
            return
        if self._clock.now() - report.at >= QUARANTINE_TIME:
            return
        companions = frozenset(
            name for name in report.companions if not self._is_cleared(name, report.at)
        )
        suspect = self._suspects.setdefault(subject, _Suspect(subject))
        if suspect.state is not SubjectState.QUARANTINED:
            suspect.companions = companions
            self._quarantine(suspect, at=report.at, source=source)
        suspect.companions &= companions
        suspect.since = max(suspect.since, report.at)

    def refresh(self) -> None:
        """Decide on suspected subjects and drop old evidence; called periodically."""
        self._forget_old()
        self._drop_explained()
        self._evaluate()

    def crashes(self) -> list[CrashReport]:
        """Return the latest crashes; older ones only of subjects with several."""
        recent = self._clock.now() - RECENT_REPORT_TIME
        reports = [
            report
            for suspect in self._suspects.values()
            for report in suspect.crashes.values()
            if report.at >= recent
            or (
                suspect.state is not SubjectState.QUARANTINED
                and len(suspect.crashes) > 1
            )
        ]
        return sorted(reports, key=lambda item: -item.at)[:MAX_CRASH_REPORTS]

    def quarantined(self) -> list[SubjectReport]:
        """Return the quarantined subjects, the latest first."""
        reports = [
            SubjectReport(subject, suspect.since, suspect.companions)
            for subject, suspect in self._suspects.items()
            if suspect.state is SubjectState.QUARANTINED
        ]
        return sorted(reports, key=lambda item: -item.at)[:MAX_REPORTS]

    def companions(self, subject: SubjectKey) -> frozenset[SubjectKey]:
        """Return the parts without which requests with a quarantined one are served."""
        suspect = self._suspects.get(subject)
        return frozenset() if suspect is None else suspect.companions

    def answered(self) -> list[SubjectReport]:
        """Return the latest answers to subjects that are or were suspected."""
        reports = [
            SubjectReport(subject, at)
            for subject in self._suspects.keys() | self._cleared.keys()
            if (at := self._answered.get(subject)) is not None
        ]
        return sorted(reports, key=lambda item: -item.at)[:MAX_REPORTS]

    def _add_crash(self, report: CrashReport) -> bool:
        """Add a crash; return whether it was not known."""
        if self._is_cleared(report.subject, report.at):
            return False
        if self._clock.now() - report.at > EVIDENCE_TIME:
            return False
        suspect = self._suspects.get(report.subject)
        if suspect is None:
            suspect = _Suspect(report.subject)
            self._suspects[report.subject] = suspect
            self._trim()
        is_new = report.id not in suspect.crashes
        suspect.crashes.setdefault(report.id, report)
        return is_new

    def _is_cleared(self, subject: SubjectKey, at: Milliseconds) -> bool:
        """Return whether an answer is later than what is reported of a subject."""
        answered_at = self._answered.get(subject)
        if answered_at is None or not _clears(answered_at, at):
            return False
        # A peer may have sent the report that has not heard of the answer.
        self._cleared[subject] = self._clock.now()
        return True

    def _forget_old(self) -> None:
        now = self._clock.now()
        for subject, suspect in list(self._suspects.items()):
            if suspect.state is SubjectState.QUARANTINED:
                if now - suspect.since >= QUARANTINE_TIME:
                    self._write(subject, "released")
                    suspect.state = SubjectState.RELEASED
                    suspect.crashes.clear()
                continue
            suspect.crashes = {
                id: item
                for id, item in suspect.crashes.items()
                if now - item.at <= EVIDENCE_TIME
            }
            is_remembered = now - suspect.since < 2 * QUARANTINE_TIME
            is_suspect = suspect.state is SubjectState.SUSPECT
            if not suspect.crashes and (is_suspect or not is_remembered):
                del self._suspects[subject]
        self._cleared = {
            subject: at
            for subject, at in self._cleared.items()
            if now - at < RECENT_REPORT_TIME
        }

    def _drop_explained(self) -> None:
        """Drop crashes that a quarantined subject explains."""
        causes = [
            crash
            for suspect in self._suspects.values()
            if suspect.state is SubjectState.QUARANTINED
            for crash in suspect.crashes.values()
        ]
        if not causes:
            return
        for suspect in self._suspects.values():
            if suspect.state is SubjectState.QUARANTINED:
                continue
            suspect.crashes = {
                id: item
                for id, item in suspect.crashes.items()
                if not any(_explains(cause, item) for cause in causes)
            }

    def _blocks_retry(
        self, subject: SubjectKey, subjects: frozenset[SubjectKey]
    ) -> bool:
        suspect = self._suspects[subject]
        if suspect.state is not SubjectState.SUSPECT:
            return suspect.companions <= subjects
        if subject in self._answered and not is_request(subject):
            return False
        return suspect.count() >= CRASHES_UNTIL_NO_RETRY

    def _evaluate(self) -> None:
        """Quarantine the subjects with enough evidence."""
        until = Milliseconds(self._clock.now() - SETTLE_TIME)
        suspects = [item for item in self._suspects.values() if _may_be_bad(item)]
        counts = {suspect.subject: suspect.count() for suspect in suspects}
        bad = [
            suspect.subject
            for suspect in suspects
            if self._is_bad(suspect.subject, suspect.count(until=until), counts)
        ]
        companions = {subject: self._companions(subject) for subject in bad}
        for subject in bad:
            suspect = self._suspects[subject]
            suspect.companions = companions[subject]
            at = max(item.at for item in suspect.crashes.values())
            self._quarantine(suspect, at=at, source="own evidence")
            self._on_change(subject, at)

    def _is_bad(
        self, subject: SubjectKey, count: int, counts: dict[SubjectKey, int]
    ) -> bool:
        """
        Return whether ``count`` settled crashes show that a subject is the cause.

        ``counts`` holds the crashes by subject, with those that are not settled: the
        reports of one crash arrive within some milliseconds, and one of another subject
        must not count before the rest.
        """
        if self._suspects[subject].state is SubjectState.RELEASED:
            return count > 0
        # A part and a request with it do not compete: both may be refused.
        same_kind = {
            name: item
            for name, item in counts.items()
            if name != subject and is_request(name) == is_request(subject)
        }
        if subject in self._answered:
            rivals = [
                item
                for name, item in same_kind.items()
                if self._competes(name, subject)
            ]
            return count >= CRASHES_OF_ANSWERED and count > max(rivals, default=0)
        if not is_request(subject) and self._answered.part_count < MIN_ANSWERED_PARTS:
            return False
        companions = self._companions(subject)
        others = [
            item
            for name, item in same_kind.items()
            if name not in companions
            and name not in self._answered
            and self._competes(name, subject)
        ]
        highest = max(others, default=0)
        if count < highest:
            return False
        if count > highest:
            return count >= CRASHES_UNTIL_QUARANTINE
        if is_request(subject):
            return count >= CRASHES_UNTIL_ALL_REQUESTS_QUARANTINED
        return count >= CRASHES_UNTIL_ALL_QUARANTINED

    def _is_undecided(self, suspect: _Suspect) -> bool:
        """Return whether the latest crash may show that a subject is the cause."""
        if suspect.count() < CRASHES_UNTIL_QUARANTINE:
            return False
        latest = max(item.at for item in suspect.crashes.values())
        return self._clock.now() - latest < DECISION_TIME

    def _competes(self, name: SubjectKey, subject: SubjectKey) -> bool:
        """Return whether another subject may be the cause of the crashes of one."""
        return not is_request(subject) or self._shares_crash(name, subject)

    def _shares_crash(self, name: SubjectKey, subject: SubjectKey) -> bool:
        """Return whether two subjects were in one crash."""
        return any(
            is_same_crash(one, other)
            for one in self._suspects[name].crashes.values()
            for other in self._suspects[subject].crashes.values()
        )

    def _companions(self, subject: SubjectKey) -> frozenset[SubjectKey]:
        """Return the parts that were in all crashes of a part and never answered."""
        if is_request(subject):
            return frozenset()
        crashes = self._suspects[subject].crashes.keys()
        return frozenset(
            name
            for name, other in self._suspects.items()
            if name != subject
            and not is_request(name)
            and name not in self._answered
            and crashes <= other.crashes.keys()
        )

    def _drop_companion(self, cleared: SubjectKey, at: Milliseconds) -> None:
        """Refuse requests also without a part that was answered at ``at``."""
        for subject, suspect in self._suspects.items():
            if cleared in suspect.companions and _clears(at, suspect.since):
                suspect.companions -= {cleared}
                self._on_change(subject, suspect.since)

    def _quarantine(self, suspect: _Suspect, *, at: Milliseconds, source: str) -> None:
        suspect.state = SubjectState.QUARANTINED
        suspect.since = at
        self._write(
            suspect.subject,
            "quarantined",
            source=source,
            companions=sorted(suspect.companions),
            endpoints=sorted({item.endpoint for item in suspect.crashes.values()}),
        )

    def _write(self, subject: SubjectKey, change: str, **fields: object) -> None:
        """Log a change of a subject's state."""
        kind, name = ("prompt-part", "part")
        if is_request(subject):
            kind, name = ("repeated-request", "request_key")
        self._log.write(f"{kind}:{change}", **{name: subject}, **fields)

    def _trim(self) -> None:
        """Make room; a crash of an engine adds tens of requests at once."""
        while len(self._suspects) > MAX_SUSPECTS:
            oldest = next(iter(self._suspects))
            weakest = (
                name
                for name, suspect in self._suspects.items()
                if suspect.state is SubjectState.SUSPECT and len(suspect.crashes) == 1
            )
            del self._suspects[next(weakest, oldest)]


def _may_be_bad(suspect: _Suspect) -> bool:
    """Return whether a subject has enough crashes for a closer look."""
    if suspect.state is SubjectState.SUSPECT:
        return len(suspect.crashes) >= CRASHES_UNTIL_QUARANTINE
    return suspect.state is SubjectState.RELEASED


def _takes_turns(suspect: _Suspect) -> bool:
    """Return whether a request is sent in turns with others in the same crashes."""
    is_suspect = suspect.state is SubjectState.SUSPECT
    return is_suspect and len(suspect.crashes) >= CRASHES_UNTIL_TURNS


def _explains(cause: CrashReport, crash: CrashReport) -> bool:
    """
    Return whether a crash of a quarantined subject is also the other one.

    It is no explanation for the parts of a quarantined request itself, one of which
    may be the cause.
    """
    is_part_of_cause = is_request(cause.subject) and cause.id == crash.id
    return is_same_crash(cause, crash) and not is_part_of_cause


def _clears(answered_at: Milliseconds, crashed_at: Milliseconds) -> bool:
    """Return whether an answer shows that a subject was not the crash's cause."""
    return answered_at > crashed_at - COMMON_CAUSE_TIME
