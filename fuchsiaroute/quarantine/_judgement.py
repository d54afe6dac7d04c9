"""Judges from crashes and answers which suspects are the cause of crashes."""

from collections.abc import Mapping

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.quarantine._answer_times import AnswerTimes
from fuchsiaroute.quarantine._crashes import SubjectKey, is_request, is_same_crash
from fuchsiaroute.quarantine._subjects import SubjectState, Suspect

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
#: settled and the quarantine has decided on them.
DECISION_TIME = Milliseconds(300)
#: Parts of which answers are known without which crashes say nothing of a part that was
#: never answered.
MIN_ANSWERED_PARTS = 5


class Judgement:
    """Reads the evidence that ``Quarantine`` collects, and changes none of it."""

    def __init__(
        self,
        suspects: Mapping[SubjectKey, Suspect],
        answered: AnswerTimes,
        *,
        clock: Clock,
    ) -> None:
        self._suspects = suspects
        self._answered = answered
        self._clock = clock

    def bad_subjects(self) -> list[SubjectKey]:
        """Return the subjects with enough evidence to be quarantined."""
        until = Milliseconds(self._clock.now() - SETTLE_TIME)
        suspects = [item for item in self._suspects.values() if _may_be_bad(item)]
        counts = {suspect.subject: suspect.count() for suspect in suspects}
        return [
            suspect.subject
            for suspect in suspects
            if self._is_bad(suspect.subject, suspect.count(until=until), counts)
        ]

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

    def blocks_retry(
        self, subject: SubjectKey, subjects: frozenset[SubjectKey]
    ) -> bool:
        """Return whether a suspect is why a failed request is not sent again."""
        suspect = self._suspects[subject]
        if suspect.state is not SubjectState.SUSPECT:
            return suspect.companions <= subjects
        if subject in self._answered and not is_request(subject):
            return False
        return suspect.count() >= CRASHES_UNTIL_NO_RETRY

    def companions(self, subject: SubjectKey) -> frozenset[SubjectKey]:
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

    def _is_undecided(self, suspect: Suspect) -> bool:
        """Return whether the latest crash may show that a subject is the cause."""
        if suspect.count() < CRASHES_UNTIL_QUARANTINE:
            return False
        latest = max(item.at for item in suspect.crashes.values())
        return self._clock.now() - latest < DECISION_TIME

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
        companions = self.companions(subject)
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


def _may_be_bad(suspect: Suspect) -> bool:
    """Return whether a subject has enough crashes for a closer look."""
    if suspect.state is SubjectState.SUSPECT:
        return len(suspect.crashes) >= CRASHES_UNTIL_QUARANTINE
    return suspect.state is SubjectState.RELEASED


def _takes_turns(suspect: Suspect) -> bool:
    """Return whether a request is sent in turns with others in the same crashes."""
    is_suspect = suspect.state is SubjectState.SUSPECT
    return is_suspect and len(suspect.crashes) >= CRASHES_UNTIL_TURNS
