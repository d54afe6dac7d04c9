"""Records of accepted changes, as the table service holds them."""

from dataclasses import dataclass, field
from enum import Enum

import msgspec
import xxhash

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import ChangeId, Revision

#: Revision that stands for "no configuration has been accepted".
NO_REVISION = Revision(0)
#: Record that names the revision in force; the target of each compare-and-set.
HEAD_KEY = "configuration/head"
#: Whole bodies that are kept; older ones are overwritten in turn.
BODY_SLOTS = 16
#: Differences that are kept, so that an entry can catch up without a whole body.
DELTA_SLOTS = 64

_ENCODER = msgspec.json.Encoder(order="deterministic")


@dataclass(frozen=True, kw_only=True)
class AcceptedChange:
    """One accepted change; the head record and each change record hold one."""

    #: Position of the change; the first one is 1.
    revision: Revision
    #: The attempt that was accepted.
    change_id: ChangeId
    #: Who made the change.
    author: str
    #: What the change does, in the author's words.
    summary: str
    #: Hash of the canonical JSON that the change put in force.
    digest: str
    #: Unix time of the attempt in milliseconds, by the accepting process's clock.
    attempted_at: Milliseconds


class NoChange(Enum):
    """Sentinel: there is no change to name."""

    TOKEN = "no-change"


class ChangeErrorKind(Enum):
    """Why a change is not known to be accepted."""

    #: Another change was accepted first; this one never will be.
    CONFLICT = "conflict"
    #: The change id has been used for a different configuration.
    CHANGE_ID_REUSED = "change-id-reused"
    #: This call wrote nothing; an earlier call with the same id may have.
    NOT_WRITTEN = "not-written"
    #: The change may be accepted, now or in a moment; ask again by change id.
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True)
class Accepted:
    """The change is accepted and will be in force at every entry."""

    change: AcceptedChange


@dataclass(frozen=True, kw_only=True)
class ChangeError:
    """A change that is not known to be accepted."""

    kind: ChangeErrorKind
    message: str
    #: The change that is in the way, of a conflict or a reused id.
    other: AcceptedChange | NoChange = field(default=NoChange.TOKEN)


def change_key(change_id: ChangeId) -> str:
    """Return the key of the record that a change leaves for good."""
    return f"configuration/change/{change_id}"


def body_key(revision: Revision) -> str:
    """Return the key of the slot that holds the body of ``revision``."""
    return f"configuration/body/{revision % BODY_SLOTS}"


def delta_key(revision: Revision) -> str:
    """Return the key of the slot with the difference that led to ``revision``."""
    return f"configuration/delta/{revision % DELTA_SLOTS}"


def digest_of(body: bytes) -> str:
    """Return the hash that tells whether a slot holds the expected body."""
    return xxhash.xxh3_128_hexdigest(body)


def encode_change(change: AcceptedChange) -> bytes:
    """Return the record of ``change``."""
    return _ENCODER.encode(change)


def decode_change(encoded: bytes) -> AcceptedChange | NoChange:
    """Return the change in a record, or ``NoChange.TOKEN`` if it is empty."""
    if not encoded:
        return NoChange.TOKEN
    return msgspec.json.decode(encoded, type=AcceptedChange)
