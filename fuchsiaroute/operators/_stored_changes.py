"""Changes as compare-and-set on the accepted configuration in the table service."""

import msgspec
import xxhash
from returns.result import Failure, Success

from fuchsiaroute.configuration import Configuration
from fuchsiaroute.declaration import encode
from fuchsiaroute.ids import ChangeId, Revision
from fuchsiaroute.operators._messages import (
    ChangeOutcome,
    ChangeReply,
    SubmittedChange,
)
from fuchsiaroute.platform import (
    ABSENT,
    Check,
    Committed,
    Conflict,
    Put,
    Record,
    StoreError,
    StoreErrorKind,
    TableStore,
    Transaction,
)


class _ChangeRecord(msgspec.Struct):
    """What a change leaves for good under its id."""

    revision: int
    digest: str
    author: str
    summary: str


class StoredChanges:
    """
    Accepts a change by one transaction; implements ``ChangeLog``.

    The transaction checks the revision that the author has seen and that the change
    id is unused. Sent again, it takes effect at most once and tells what became of
    the first time.
    """

    def __init__(self, *, store: TableStore, head_key: str) -> None:
        self._store = store
        self._head_key = head_key

    async def submit(self, change: SubmittedChange, *, author: str) -> ChangeReply:
        """Try to put ``change`` in force; the same change again is harmless."""
        record = _ChangeRecord(
            revision=change.base + 1,
            digest=_digest(change.configuration),
            author=author,
            summary=change.summary,
        )
        transaction = Transaction(
            checks=(
                Check(key=self._head_key, version=change.base),
                Check(key=_change_key(change.change), version=ABSENT),
            ),
            puts=(
                Put(key=self._head_key, value=encode(change.configuration)),
                Put(
                    key=_change_key(change.change),
                    value=msgspec.json.encode(record),
                ),
            ),
        )
        match await self._store.commit(transaction):
            case Success(Committed()):
                return _accepted(Revision(record.revision))
            case Success(Conflict(records=(head, mine))):
                return _after_conflict(change, record, head, mine)
            case Failure(StoreError() as error):
                return _store_failed(error)
        return ChangeReply(outcome=ChangeOutcome.UNKNOWN, message="no usable answer")

    async def outcome(self, change: ChangeId) -> ChangeReply:
        """Return what became of ``change``."""
        match await self._store.read([_change_key(change)]):
            case Success((Record() as found,)) if found.version != ABSENT:
                return _accepted(Revision(_decode(found).revision))
            case Success(_):
                message = "no record of it; a commit may be on its way"
                return ChangeReply(outcome=ChangeOutcome.UNKNOWN, message=message)
            case Failure(StoreError() as error):
                message = error.message
                return ChangeReply(outcome=ChangeOutcome.UNKNOWN, message=message)
        return ChangeReply(outcome=ChangeOutcome.UNKNOWN, message="no usable answer")


def _after_conflict(
    change: SubmittedChange, record: _ChangeRecord, head: Record, mine: Record
) -> ChangeReply:
    if mine.version == ABSENT:
        message = f"revision {head.version} is in force; expected {change.base}"
        return ChangeReply(outcome=ChangeOutcome.CONFLICT, message=message)
    found = _decode(mine)
    if (found.revision, found.digest) == (record.revision, record.digest):
        return _accepted(Revision(found.revision))
    message = f"the change id was used for revision {found.revision}"
    return ChangeReply(outcome=ChangeOutcome.CHANGE_ID_REUSED, message=message)


def _accepted(revision: Revision) -> ChangeReply:
    return ChangeReply(outcome=ChangeOutcome.ACCEPTED, revision=revision)


def _store_failed(error: StoreError) -> ChangeReply:
    outcomes = {
        StoreErrorKind.REFUSED: ChangeOutcome.NOT_WRITTEN,
        StoreErrorKind.UNKNOWN: ChangeOutcome.UNKNOWN,
    }
    return ChangeReply(outcome=outcomes[error.kind], message=error.message)


def _change_key(change: ChangeId) -> str:
    return f"configuration/change/{change}"


def _digest(configuration: Configuration) -> str:
    return xxhash.xxh3_128_hexdigest(encode(configuration))


def _decode(record: Record) -> _ChangeRecord:
    return msgspec.json.decode(record.value, type=_ChangeRecord)
