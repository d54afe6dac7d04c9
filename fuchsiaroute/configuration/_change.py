"""Records of accepted configuration changes and their keys in the table service."""

from dataclasses import dataclass, field
from enum import Enum

import msgspec
import xxhash

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import ChangeId, Revision

#: Revision of a deployment without an accepted configuration.
NO_REVISION = Revision(0)
#: Key of the record with the change in force, the target of each compare-and-set.
HEAD_KEY = "configuration/head"
#: Number of revisions whose complete body is kept; older bodies are overwritten.
BODY_SLOTS = 16
#: Number of deltas that are kept. An entry that is fewer revisions behind applies
#: deltas in place of a read of the complete body.
DELTA_SLOTS = 64

_ENCODER = msgspec.json.Encoder(order="deterministic")


@dataclass(frozen=True, kw_only=True)
class AcceptedChange:
    """An accepted change, as stored in the head record and in its change record."""

    #: Position in the sequence of changes, starting at 1.
    revision: Revision
    #: Identifies the submission that was accepted.
    change_id: ChangeId
    #: Operator who submitted the change.
    author: str
    #: The author's description of the change.
    summary: str
    #: ``body_digest`` of the canonical JSON of the configuration.
    digest: str
    #: Unix time of the submission in milliseconds, on the accepting process's clock.
    attempted_at: Milliseconds


class NoChange(Enum):
    """Sentinel for the absence of a change."""

    TOKEN = "no-change"


class ChangeErrorKind(Enum):
    """Reasons for which a change is not confirmed as accepted."""

    #: Another change was accepted first; this one will never be accepted.
    CONFLICT = "conflict"
    #: The change id has been used for a different configuration.
    CHANGE_ID_REUSED = "change-id-reused"
    #: This call wrote nothing; an earlier call with the same id may have.
    NOT_WRITTEN = "not-written"
    #: The commit may have taken effect or may still do so; ``ConfigurationLog.status``
    #: returns the outcome by change id.
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True)
class Accepted:
    """Result of a change that is in the store; every entry will load it."""

    change: AcceptedChange


@dataclass(frozen=True, kw_only=True)
class ChangeError:
    """Error of a change that is not confirmed as accepted."""

    kind: ChangeErrorKind
    message: str
    #: The conflicting change, or the one that used the change id before.
    other: AcceptedChange | NoChange = field(default=NoChange.TOKEN)


def change_key(change_id: ChangeId) -> str:
    """Return the key of the permanent record of a change."""
    return f"configuration/change/{change_id}"


def body_key(revision: Revision) -> str:
    """Return the key of the slot that holds the body of ``revision``."""
    return f"configuration/body/{revision % BODY_SLOTS}"


def delta_key(revision: Revision) -> str:
    """Return the key of the slot with the delta from the revision before."""
    return f"configuration/delta/{revision % DELTA_SLOTS}"


def body_digest(body: bytes) -> str:
    """Return the XXH3-128 hash of ``body`` in hexadecimal."""
    return xxhash.xxh3_128_hexdigest(body)


def encode_change(change: AcceptedChange) -> bytes:
    """Return ``change`` as deterministic JSON."""
    return _ENCODER.encode(change)


def decode_change(encoded: bytes) -> AcceptedChange | NoChange:
    """Return the change in a record; an empty value gives ``NoChange.TOKEN``."""
    if not encoded:
        return NoChange.TOKEN
    return msgspec.json.decode(encoded, type=AcceptedChange)
