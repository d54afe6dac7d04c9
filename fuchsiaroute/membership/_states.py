"""States of an entry as another entry derives them."""

from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.ids import FailureDomainId, Incarnation, InstanceId


class MemberState(Enum):
    """State of an entry, derived by another entry from heartbeats and reports."""

    #: It answers this entry, or is reached through other entries.
    ALIVE = "alive"
    #: It has not answered the last few heartbeats.
    SUSPECT = "suspect"
    #: It does not answer this entry, but other entries reach it.
    HALF_CONNECTED = "half-connected"
    #: No entry that can be reached reaches it: it is stopped, cut off or paused.
    DEAD = "dead"
    #: It has announced that it leaves.
    LEAVING = "leaving"


class Contact(Enum):
    """How a member answers this entry's own heartbeats."""

    NOT_PROBED = "not-probed"
    ANSWERING = "answering"
    LATE = "late"
    SILENT = "silent"


class MemberEvent(Enum):
    """A change of a member, for the log."""

    JOINED = "joined"
    #: A new process, with a higher incarnation.
    RESTARTED = "restarted"
    #: The same process answers again after a pause or a network failure.
    RESUMED = "resumed"
    DIED = "died"
    LEAVING = "leaving"
    FORGOTTEN = "forgotten"


@dataclass(frozen=True, kw_only=True)
class MemberView:
    """Address and state of a member."""

    instance: InstanceId
    #: 0 until an update of an entry has carried it.
    incarnation: Incarnation
    #: ``host:port`` for peers, by IP number.
    address: str
    failure_domain: FailureDomainId
    state: MemberState


#: State by contact, and by whether a chain of answered heartbeats leads to the member.
_STATES = {
    (Contact.ANSWERING, True): MemberState.ALIVE,
    (Contact.ANSWERING, False): MemberState.ALIVE,
    (Contact.NOT_PROBED, True): MemberState.ALIVE,
    (Contact.NOT_PROBED, False): MemberState.DEAD,
    (Contact.LATE, True): MemberState.SUSPECT,
    (Contact.LATE, False): MemberState.DEAD,
    (Contact.SILENT, True): MemberState.HALF_CONNECTED,
    (Contact.SILENT, False): MemberState.DEAD,
}


def member_state(
    contact: Contact, *, is_connected: bool, is_leaving: bool
) -> MemberState:
    """Return the state of a member."""
    state = _STATES[contact, is_connected]
    if is_leaving and state is not MemberState.DEAD:
        return MemberState.LEAVING
    return state
