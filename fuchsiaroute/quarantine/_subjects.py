"""What crashes are evidence against, with that evidence."""

from dataclasses import dataclass, field
from enum import Enum

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.quarantine._crashes import (
    CrashId,
    CrashReport,
    SubjectKey,
    independent_crashes,
    independent_request_crashes,
    is_request,
)


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
    #: Of a quarantined part: see ``Suspect.companions``.
    companions: frozenset[SubjectKey] = frozenset()


@dataclass(slots=True)
class Suspect:
    """A subject with the crashes that are evidence against it."""

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
