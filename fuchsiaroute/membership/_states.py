"""The states of an entry as another one sees it."""

from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.ids import FailureDomainId, Incarnation, InstanceId


class MemberState(Enum):
    """What an entry holds another one for."""

    #: It answers, or an entry that answers says that it does.
    ALIVE = "alive"
    #: It has not answered for a few heartbeats.
    SUSPECT = "suspect"
    #: It does not answer here, but others reach it.
    HALF_CONNECTED = "half-connected"
    #: Nobody that can be reached reaches it: stopped, cut off or paused.
    DEAD = "dead"
    #: It has said that it leaves.
    LEAVING = "leaving"


class Contact(Enum):
    """How a member has answered this entry's own heartbeats."""

    NOT_PROBED = "not-probed"
    ANSWERING = "answering"
    LATE = "late"
    SILENT = "silent"


class MemberEvent(Enum):
    """A change of a member that is worth a log line."""

    JOINED = "joined"
    #: A higher incarnation: the process is a new one.
    RESTARTED = "restarted"
    #: The same incarnation answers again: it was paused or cut off.
    RESUMED = "resumed"
    DIED = "died"
    LEAVING = "leaving"
    FORGOTTEN = "forgotten"


@dataclass(frozen=True, kw_only=True)
class MemberView:
    """An entry as another one sees it."""

    instance: InstanceId
    #: 0 until it has been heard of from an entry.
    incarnation: Incarnation
    #: ``host:port`` for peers, by IP number.
    address: str
    failure_domain: FailureDomainId
    state: MemberState


#: State by own contact, and whether a chain of entries reaches the member.
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
