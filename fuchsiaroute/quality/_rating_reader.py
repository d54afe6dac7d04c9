"""The shared reading of the rating service's log."""

from returns.result import Failure, Result, Success

from fuchsiaroute.configuration import Configuration
from fuchsiaroute.quality._codec import QualityDecodeError, decode, encode
from fuchsiaroute.quality._table import QualityTable, add_ratings, newer_table
from fuchsiaroute.store import (
    Check,
    Committed,
    Put,
    RatingService,
    Record,
    StoreError,
    StoreErrorKind,
    TableStore,
    Transaction,
)

#: Key of the book in the table service.
QUALITY_TABLE_KEY = "quality/book"
#: Pages that one call reads at most.
_MAX_PAGES = 20


class RatingReader:
    """
    Reads ratings on behalf of all entries.

    The book and the cursor it stands at are one record, written with a
    compare-and-set: a rating counts once whichever entry reads it, and a fresh entry
    goes on where the last one stopped. While the table service is down, an entry
    reads on for itself; when it is back, the book that has read furthest is written.
    """

    def __init__(self, *, store: TableStore, service: RatingService) -> None:
        self._store = store
        self._service = service
        self._table = QualityTable()

    @property
    def table(self) -> QualityTable:
        """Return the furthest book that this entry knows."""
        return self._table

    def merge(self, table: QualityTable) -> None:
        """Take a peer's book if it has read further than this entry's."""
        self._table = newer_table(self._table, table)

    async def refresh(
        self, configuration: Configuration
    ) -> Result[QualityTable, StoreError]:
        """
        Read new ratings and return the furthest book known.

        When another entry has read on since the last call, its book is taken and the
        rating service is left alone, so that all entries together read about as often
        as one. Fails if the rating service does not answer; the book then stays as it
        is.
        """
        known = self._table
        loaded = await self._load()
        if self._table is not known and isinstance(loaded, Success):
            return Success(self._table)
        folded = await self._read_on(configuration)
        if isinstance(folded, Failure):
            return folded
        if isinstance(loaded, Success):
            await self._save(loaded.unwrap())
        return Success(self._table)

    async def _load(self) -> Result[Record, StoreError]:
        answer = await self._store.read((QUALITY_TABLE_KEY,))
        if isinstance(answer, Failure):
            return answer
        (record,) = answer.unwrap()
        if record.value:
            try:
                self.merge(decode(record.value))
            except QualityDecodeError as error:
                return Failure(
                    StoreError(kind=StoreErrorKind.REFUSED, message=str(error))
                )
        return Success(record)

    async def _read_on(self, configuration: Configuration) -> Result[None, StoreError]:
        for _ in range(_MAX_PAGES):
            answer = await self._service.ratings(self._table.cursor)
            if isinstance(answer, Failure):
                return answer
            page = answer.unwrap()
            if not page.ratings:
                break
            self._table = add_ratings(self._table, page, configuration)
        return Success(None)

    async def _save(self, record: Record) -> None:
        """Write the book over ``record``; a conflict leaves it to the other entry."""
        if record.value and decode(record.value).total >= self._table.total:
            return
        transaction = Transaction(
            checks=(Check(key=record.key, version=record.version),),
            puts=(Put(key=record.key, value=encode(self._table)),),
        )
        outcome = await self._store.commit(transaction)
        if isinstance(outcome, Success) and not isinstance(outcome.unwrap(), Committed):
            await self._load()
