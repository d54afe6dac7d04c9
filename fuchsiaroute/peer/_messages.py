"""The inner protocol's messages as typed values."""

from dataclasses import dataclass, field
from enum import Enum

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import Incarnation, InstanceId, Revision
from fuchsiaroute.membership import MembershipUpdate

#: Largest payload of one topic in one heartbeat, in bytes.
MAX_EXTENSION_BYTES = 1_024
#: Largest batch of ledger records that a peer holds, in bytes.
MAX_RECORDS_BYTES = 256 * 1_024


class NoConfirmation(Enum):
    """Sentinel: the sender has never had the store's word."""

    TOKEN = "no-word"


@dataclass(frozen=True, kw_only=True)
class Extension:
    """Bytes of one topic that an entry shares with its direct peers."""

    topic: str
    payload: bytes


@dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """What one entry tells another in each exchange."""

    instance: InstanceId
    incarnation: Incarnation
    #: Highest configuration revision that the sender holds.
    revision: Revision
    #: Highest configuration revision that the sender has heard of.
    known_revision: Revision
    #: Time since the store's word reached the sender, in milliseconds.
    confirmation_age: Milliseconds | NoConfirmation
    updates: tuple[MembershipUpdate, ...] = ()
    extensions: tuple[Extension, ...] = field(default=())


class PeerErrorKind(Enum):
    """What an error says about the call."""

    #: No answer on the open connection and on a fresh one.
    SILENT = "silent"
    #: The peer refused the key, or answered something else than expected.
    REFUSED = "refused"


@dataclass(frozen=True, kw_only=True)
class PeerError:
    """A failed call of a peer."""

    kind: PeerErrorKind
    message: str
