"""Acceptance of configurations by compare-and-set on the head record."""

from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.configuration._change import (
    HEAD_KEY,
    NO_REVISION,
    Accepted,
    AcceptedChange,
    ChangeError,
    ChangeErrorKind,
    NoChange,
    body_digest,
    body_key,
    change_key,
    decode_change,
    delta_key,
    encode_change,
)
from fuchsiaroute.configuration._codec import encode_body
from fuchsiaroute.configuration._delta import compute_delta, encode_delta
from fuchsiaroute.configuration._model import Configuration
from fuchsiaroute.ids import ChangeId, Revision
from fuchsiaroute.store import (
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

#: Maximum commits per call, including those that repeat one whose response was lost.
MAX_COMMIT_ATTEMPTS = 5
#: Delay before the first repeated commit; doubled before each further one.
INITIAL_BACKOFF = Milliseconds(100)

#: Change id of a deployment's first configuration.
FIRST_CHANGE_ID = ChangeId("first")

ChangeResult = Result[Accepted, ChangeError]


class ConfigurationLog:
    """
    Accepts operators' changes one after another.

    One transaction per change checks that the head record is the one that the author
    read and that the change id is unused, and writes the head, the body, the delta and
    a record under the change id. These checks let it take effect at most once, so the
    same transaction is sent again after a lost response.
    """

    def __init__(self, store: TableStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    async def accept(
        self,
        configuration: Configuration,
        *,
        change_id: ChangeId,
        expected_revision: Revision,
        author: str,
        summary: str,
        attempts: int = MAX_COMMIT_ATTEMPTS,
    ) -> ChangeResult:
        """
        Put ``configuration`` in force as the successor of ``expected_revision``.

        A commit whose response is lost is sent again, up to ``attempts`` commits in
        all. A call with the same arguments is idempotent. The kind of the error
        separates a conflict, which is final, from an unknown outcome.
        """
        body = encode_body(configuration)
        change = AcceptedChange(
            revision=Revision(expected_revision + 1),
            change_id=change_id,
            author=author,
            summary=summary,
            digest=body_digest(body),
            attempted_at=self._clock.wall(),
        )
        keys = [HEAD_KEY, change_key(change_id), body_key(expected_revision)]
        found = await self._store.read(keys)
        match found:
            case Success((head, own, base)):
                settled = _settle_without_commit(change, head, own)
                if settled is not None:
                    return settled
                transaction = _transaction(change, body, head, base)
                return await self._commit(change, transaction, attempts)
            case _:
                return Failure(_not_written(found.failure().message))

    async def status(self, change_id: ChangeId) -> ChangeResult:
        """
        Return the outcome of a change.

        ``UNKNOWN`` means that the store has no record of the change or did not
        respond; a commit may still be in flight.
        """
        found = await self._store.read([change_key(change_id)])
        match found:
            case Success((Record() as record,)) if record.version != ABSENT:
                return Success(Accepted(change=_decode(record)))
            case Success(_):
                return Failure(_unknown(f"no record of change {change_id} yet"))
            case _:
                return Failure(_unknown(found.failure().message))

    async def head(self) -> Result[AcceptedChange | NoChange, StoreError]:
        """Return the change in force, on which the next one has to be based."""
        found = await self._store.read([HEAD_KEY])
        return found.map(lambda records: decode_change(records[0].value))

    async def _commit(
        self, change: AcceptedChange, transaction: Transaction, attempts: int
    ) -> ChangeResult:
        is_outcome_unknown = False
        backoff = INITIAL_BACKOFF
        for attempt in range(attempts):
            if attempt:
                await self._clock.sleep(backoff)
                backoff = Milliseconds(2 * backoff)
            match await self._store.commit(transaction):
                case Success(Committed()):
                    return Success(Accepted(change=change))
                case Success(Conflict() as conflict):
                    return _resolve_conflict(change, conflict)
                case Failure(StoreError(kind=StoreErrorKind.UNKNOWN)):
                    is_outcome_unknown = True
                case Failure(StoreError() as error) if not is_outcome_unknown:
                    return Failure(_not_written(error.message))
        return Failure(_unknown("the store's answer to the commit was lost"))


async def accept_first_configuration(
    store: TableStore, clock: Clock, configuration: Configuration, *, author: str
) -> ChangeResult:
    """Accept the first configuration of a deployment."""
    return await ConfigurationLog(store, clock).accept(
        configuration,
        change_id=FIRST_CHANGE_ID,
        expected_revision=NO_REVISION,
        author=author,
        summary="first configuration",
    )


def _transaction(
    change: AcceptedChange, body: bytes, head: Record, base: Record
) -> Transaction:
    record = encode_change(change)
    delta = encode_delta(compute_delta(base.value, body))
    return Transaction(
        checks=(
            Check(key=HEAD_KEY, version=head.version),
            Check(key=change_key(change.change_id), version=ABSENT),
        ),
        puts=(
            Put(key=HEAD_KEY, value=record),
            Put(key=change_key(change.change_id), value=record),
            Put(key=body_key(change.revision), value=body),
            Put(key=delta_key(change.revision), value=delta),
        ),
    )


def _settle_without_commit(
    change: AcceptedChange, head: Record, own: Record
) -> ChangeResult | None:
    if own.version != ABSENT:
        return _compare_with_recorded(change, _decode(own))
    present = decode_change(head.value)
    revision = NO_REVISION if present is NoChange.TOKEN else present.revision
    if revision + 1 != change.revision:
        return Failure(_conflict(change, present))
    return None


def _resolve_conflict(change: AcceptedChange, conflict: Conflict) -> ChangeResult:
    head, own = conflict.records
    if own.version != ABSENT:
        return _compare_with_recorded(change, _decode(own))
    return Failure(_conflict(change, decode_change(head.value)))


def _compare_with_recorded(
    change: AcceptedChange, recorded: AcceptedChange
) -> ChangeResult:
    is_same = (recorded.digest, recorded.revision) == (change.digest, change.revision)
    if is_same:
        return Success(Accepted(change=recorded))
    message = f"change id {change.change_id} was used for revision {recorded.revision}"
    kind = ChangeErrorKind.CHANGE_ID_REUSED
    return Failure(ChangeError(kind=kind, message=message, other=recorded))


def _conflict(change: AcceptedChange, other: AcceptedChange | NoChange) -> ChangeError:
    if other is NoChange.TOKEN:
        message = "no configuration has been accepted yet"
    else:
        message = (
            f"revision {other.revision} by {other.author} ({other.change_id}: "
            f"{other.summary}) is in force; expected {change.revision - 1}"
        )
    return ChangeError(kind=ChangeErrorKind.CONFLICT, message=message, other=other)


def _not_written(message: str) -> ChangeError:
    return ChangeError(kind=ChangeErrorKind.NOT_WRITTEN, message=message)


def _unknown(message: str) -> ChangeError:
    return ChangeError(kind=ChangeErrorKind.UNKNOWN, message=message)


def _decode(record: Record) -> AcceptedChange:
    change = decode_change(record.value)
    assert change is not NoChange.TOKEN
    return change
