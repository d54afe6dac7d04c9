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
    body_key,
    change_key,
    decode_change,
    delta_key,
    digest_of,
    encode_change,
)
from fuchsiaroute.configuration._codec import encode_body
from fuchsiaroute.configuration._delta import difference, encode_delta
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

#: Commits of one call, the first one and those that resolve a lost answer.
COMMIT_ATTEMPTS = 5
#: Wait before the first repeated commit; doubled before each further one.
FIRST_BACKOFF = Milliseconds(100)

#: Change id of a deployment's first configuration.
FIRST_CHANGE = ChangeId("first")

ChangeResult = Result[Accepted, ChangeError]


class ConfigurationLog:
    """
    The operators' side of the configuration: accepts changes one after another.

    A change is accepted once one transaction has checked that the head record is
    the one the author saw and that the change id is unused, and has written the
    head, the body and a record under the change id. The transaction can take
    effect at most once however often it is sent, so a lost answer is resolved by
    sending it again.
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
        attempts: int = COMMIT_ATTEMPTS,
    ) -> ChangeResult:
        """
        Put ``configuration`` in force after revision ``expected_revision``.

        A commit whose answer is lost is sent again, ``attempts`` times in all.

        Calling it again with the same arguments gives the same answer. Errors
        tell a conflict, which is final, from an outcome that is not known.
        """
        body = encode_body(configuration)
        change = AcceptedChange(
            revision=Revision(expected_revision + 1),
            change_id=change_id,
            author=author,
            summary=summary,
            digest=digest_of(body),
            attempted_at=self._clock.wall(),
        )
        keys = [HEAD_KEY, change_key(change_id), body_key(expected_revision)]
        found = await self._store.read(keys)
        match found:
            case Success((head, mine, base)):
                refused = _judge(change, head, mine)
                if refused is not None:
                    return refused
                transaction = _transaction(change, body, head, base)
                return await self._commit(change, transaction, attempts)
            case _:
                return Failure(_not_written(found.failure().message))

    async def status(self, change_id: ChangeId) -> ChangeResult:
        """
        Return what became of a change id.

        ``UNKNOWN`` means that no record of it was found or that the store did
        not answer: a commit may still be on its way.
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
        """Return the change in force, for authors of the next one."""
        found = await self._store.read([HEAD_KEY])
        return found.map(lambda records: decode_change(records[0].value))

    async def _commit(
        self, change: AcceptedChange, transaction: Transaction, attempts: int
    ) -> ChangeResult:
        in_doubt = False
        backoff = FIRST_BACKOFF
        for attempt in range(attempts):
            if attempt:
                await self._clock.sleep(backoff)
                backoff = Milliseconds(2 * backoff)
            match await self._store.commit(transaction):
                case Success(Committed()):
                    return Success(Accepted(change=change))
                case Success(Conflict() as conflict):
                    return _after_conflict(change, conflict)
                case Failure(StoreError(kind=StoreErrorKind.UNKNOWN)):
                    in_doubt = True
                case Failure(StoreError() as error) if not in_doubt:
                    return Failure(_not_written(error.message))
        return Failure(_unknown("the store's answer to the commit was lost"))


async def accept_first_configuration(
    store: TableStore, clock: Clock, configuration: Configuration, *, author: str
) -> ChangeResult:
    """Put the first configuration of a deployment in force."""
    return await ConfigurationLog(store, clock).accept(
        configuration,
        change_id=FIRST_CHANGE,
        expected_revision=NO_REVISION,
        author=author,
        summary="first configuration",
    )


def _transaction(
    change: AcceptedChange, body: bytes, head: Record, base: Record
) -> Transaction:
    record = encode_change(change)
    delta = encode_delta(difference(base.value, body))
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


def _judge(change: AcceptedChange, head: Record, mine: Record) -> ChangeResult | None:
    if mine.version != ABSENT:
        return _known(change, _decode(mine))
    present = decode_change(head.value)
    revision = NO_REVISION if present is NoChange.TOKEN else present.revision
    if revision + 1 != change.revision:
        return Failure(_conflict(change, present))
    return None


def _after_conflict(change: AcceptedChange, conflict: Conflict) -> ChangeResult:
    head, mine = conflict.records
    if mine.version != ABSENT:
        return _known(change, _decode(mine))
    return Failure(_conflict(change, decode_change(head.value)))


def _known(change: AcceptedChange, found: AcceptedChange) -> ChangeResult:
    is_same = (found.digest, found.revision) == (change.digest, change.revision)
    if is_same:
        return Success(Accepted(change=found))
    message = f"change id {change.change_id} was used for revision {found.revision}"
    kind = ChangeErrorKind.CHANGE_ID_REUSED
    return Failure(ChangeError(kind=kind, message=message, other=found))


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
