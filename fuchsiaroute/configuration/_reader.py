"""Reads of accepted configurations by entries."""

from collections.abc import Sequence
from enum import Enum

from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.configuration._change import (
    DELTA_SLOTS,
    HEAD_KEY,
    AcceptedChange,
    NoChange,
    body_digest,
    body_key,
    decode_change,
    delta_key,
)
from fuchsiaroute.configuration._delta import apply_delta, decode_delta
from fuchsiaroute.configuration._snapshot import (
    Snapshot,
    SnapshotError,
    make_snapshot,
)
from fuchsiaroute.ids import Revision
from fuchsiaroute.store import (
    Record,
    StoreError,
    StoreErrorKind,
    TableStore,
    TimedOut,
    run_with_timeout,
)

READ_TIMEOUT = Milliseconds(1_000)


class NoSnapshot(Enum):
    """Sentinel for the absence of a configuration."""

    TOKEN = "no-snapshot"


LoadError = StoreError | SnapshotError


class ConfigurationReader:
    """Reads the head record, and configurations by delta where possible."""

    def __init__(self, store: TableStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    async def head(self) -> Result[AcceptedChange | NoChange, StoreError]:
        """Return the change in force, by a read of the head record."""
        found = await self._read([HEAD_KEY])
        return found.map(lambda records: decode_change(records[0].value))

    async def latest(self) -> Result[Snapshot | NoSnapshot, LoadError]:
        """Return the configuration in force, without use of deltas."""
        match await self.head():
            case Success(AcceptedChange() as change):
                return await self._load_body(change)
            case Success(_):
                return Success(NoSnapshot.TOKEN)
            case found:
                return Failure(found.failure())

    async def load(
        self, change: AcceptedChange, held: Snapshot | NoSnapshot
    ) -> Result[Snapshot, LoadError]:
        """
        Return the configuration of ``change``, by deltas from ``held`` if possible.

        An error means that the store did not respond or that later changes have
        overwritten the slot. In the second case the head record has a later change.
        """
        if isinstance(held, Snapshot) and _has_deltas(held, change):
            deltas = await self._read(_delta_keys(held, change))
            match deltas:
                case Success(records):
                    body = _apply_deltas(held.body, records)
                    if body_digest(body) == change.digest:
                        return make_snapshot(change, body)
                case Failure(error):
                    return Failure(error)
        return await self._load_body(change)

    async def _load_body(self, change: AcceptedChange) -> Result[Snapshot, LoadError]:
        match await self._read([body_key(change.revision)]):
            case Success((record,)):
                return make_snapshot(change, record.value)
            case Failure(error):
                return Failure(error)
            case _:
                message = "the store returned an unexpected number of records"
                return Failure(SnapshotError(message=message))

    async def _read(
        self, keys: Sequence[str]
    ) -> Result[tuple[Record, ...], StoreError]:
        # These reads are few and small. They have a timeout of their own and bypass the
        # circuit breaker: a circuit that slow writes have opened must not delay a
        # change that declares an outage.
        answer = await run_with_timeout(
            self._clock, READ_TIMEOUT, self._store.read(keys)
        )
        if isinstance(answer, TimedOut):
            message = "no response within the read timeout"
            return Failure(StoreError(kind=StoreErrorKind.UNKNOWN, message=message))
        return answer


def _has_deltas(held: Snapshot, change: AcceptedChange) -> bool:
    return 0 < change.revision - held.change.revision < DELTA_SLOTS


def _delta_keys(held: Snapshot, change: AcceptedChange) -> list[str]:
    revisions = range(held.change.revision + 1, change.revision + 1)
    return [delta_key(Revision(revision)) for revision in revisions]


def _apply_deltas(body: bytes, records: tuple[Record, ...]) -> bytes:
    for record in records:
        body = apply_delta(body, decode_delta(record.value))
    return body
