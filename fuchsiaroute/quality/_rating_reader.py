"""Reader of the rating service's log, shared by all entries."""

from returns.result import Failure, Result, Success

from fuchsiaroute.configuration import Configuration
from fuchsiaroute.quality._codec import BookError, decode, encode
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

#: Key of the quality table in the table service.
QUALITY_TABLE_KEY = "quality/book"
#: Maximum pages read per call of ``refresh``.
_MAX_PAGES = 20


class RatingReader:
    """
    Reads new ratings and shares the resulting quality table with other entries.

    The table and its cursor form one record, written with a compare-and-set. A rating
    counts once whichever entry reads it, and a new entry continues at the cursor of
    the last one. While the table service is down, each entry reads new ratings on its
    own; after that, the table with the latest cursor is written.
    """

    def __init__(self, *, store: TableStore, service: RatingService) -> None:
        self._store = store
        self._service = service
        self._table = QualityTable()

    @property
    def table(self) -> QualityTable:
        """Return the table with the latest cursor that this entry holds."""
        return self._table

    def merge(self, table: QualityTable) -> None:
        """Replace the table by a peer's ``table`` if that has more ratings."""
        self._table = newer_table(self._table, table)

    async def refresh(
        self, configuration: Configuration
    ) -> Result[QualityTable, StoreError]:
        """
        Read new ratings and return the table with the latest cursor.

        If another entry has stored a newer table since the last call, this entry takes
        it and sends no request to the rating service, so that all entries together
        read about as often as a single one. Fails if the rating service does not
        answer; the table then holds the ratings read until that point.
        """
        previous = self._table
        loaded = await self._load()
        if self._table is not previous and isinstance(loaded, Success):
            return Success(self._table)
        pages_read = await self._read_new_pages(configuration)
        if isinstance(pages_read, Failure):
            return pages_read
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
            except BookError as error:
                return Failure(
                    StoreError(kind=StoreErrorKind.REFUSED, message=str(error))
                )
        return Success(record)

    async def _read_new_pages(
        self, configuration: Configuration
    ) -> Result[None, StoreError]:
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
        """Replace ``record`` by the table; on a conflict, load the stored table."""
        if record.value and decode(record.value).total >= self._table.total:
            return
        transaction = Transaction(
            checks=(Check(key=record.key, version=record.version),),
            puts=(Put(key=record.key, value=encode(self._table)),),
        )
        outcome = await self._store.commit(transaction)
        if isinstance(outcome, Success) and not isinstance(outcome.unwrap(), Committed):
            await self._load()
