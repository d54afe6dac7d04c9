"""When requests and requests with a prompt part were last answered."""

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.quarantine._crashes import SubjectKey, is_request

#: Parts, and requests, of which the latest answer is remembered.
MAX_ANSWERED = 2_000


class AnswerTimes:
    """Latest answers by subject, the least recent first; the oldest are dropped."""

    def __init__(self) -> None:
        self._parts: dict[SubjectKey, Milliseconds] = {}
        #: Kept apart, as there are far more different requests than parts.
        self._requests: dict[SubjectKey, Milliseconds] = {}

    def __contains__(self, subject: SubjectKey) -> bool:
        return subject in self._of_kind(subject)

    @property
    def part_count(self) -> int:
        """Return the number of prompt parts."""
        return len(self._parts)

    def get(self, subject: SubjectKey) -> Milliseconds | None:
        """Return the time of the latest answer; None if none is known."""
        return self._of_kind(subject).get(subject)

    def record(self, subject: SubjectKey, at: Milliseconds) -> Milliseconds:
        """Record an answer; return the time of the latest one."""
        times = self._of_kind(subject)
        latest = max(at, times.pop(subject, at))
        times[subject] = latest
        if len(times) > MAX_ANSWERED:
            del times[next(iter(times))]
        return latest

    def _of_kind(self, subject: SubjectKey) -> dict[SubjectKey, Milliseconds]:
        return self._requests if is_request(subject) else self._parts
