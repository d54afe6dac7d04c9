"""Messages of the peer protocol as typed values."""

from dataclasses import dataclass, field
from enum import Enum

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import Incarnation, InstanceId, Revision
from fuchsiaroute.membership import MembershipUpdate

#: Maximum payload of one topic in a heartbeat.
MAX_EXTENSION_BYTES = 1_024
#: Maximum size of a batch of ledger records that a peer holds.
MAX_RECORDS_BYTES = 256 * 1_024


class NoConfirmation(Enum):
    """Sentinel: the sender has never received a confirmation from the store."""

    TOKEN = "no-word"


@dataclass(frozen=True, kw_only=True)
class Extension:
    """Bytes of one topic that an entry shares with its direct peers."""

    topic: str
    payload: bytes


@dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """Message that entries exchange at each heartbeat interval."""

    instance: InstanceId
    incarnation: Incarnation
    #: Highest configuration revision that the sender holds.
    revision: Revision
    #: Highest configuration revision that the sender has received notice of.
    known_revision: Revision
    #: Time since the store last confirmed ``known_revision`` to the sender or a peer.
    confirmation_age: Milliseconds | NoConfirmation
    updates: tuple[MembershipUpdate, ...] = ()
    extensions: tuple[Extension, ...] = field(default=())


class PeerErrorKind(Enum):
    """Why a call to a peer failed."""

    #: No response, neither on the open connection nor on a new one.
    SILENT = "silent"
    #: The peer rejected the key or the request.
    REFUSED = "refused"


@dataclass(frozen=True, kw_only=True)
class PeerError:
    """A failed call to a peer."""

    kind: PeerErrorKind
    message: str
