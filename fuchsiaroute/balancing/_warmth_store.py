"""Warmth facts in the table service, from which starting entries read them."""

from collections.abc import Sequence

import msgspec
from returns.result import Failure, Result, Success

from fuchsiaroute.balancing._chooser import EndpointChooser
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.endpoints import UNKNOWN_WARMTH, Warmth, WarmthFact
from fuchsiaroute.ids import EndpointId
from fuchsiaroute.store import (
    Check,
    Put,
    Record,
    StoreError,
    TableStore,
    Transaction,
)

MAX_SCAN_RECORDS = 10_000
MIN_SCAN_INTERVAL = Milliseconds(500)
#: Time between two scans, per endpoint: records of 100 bytes read at 0.5 KB/s.
SCAN_INTERVAL_PER_ENDPOINT = Milliseconds(200)
#: Maximum number of facts written in one step.
MAX_FACTS_PER_WRITE = 50
_PREFIX = "warmth/"


class WarmthStore:
    """Exchanges warmth facts between this entry and the table service."""

    def __init__(
        self, *, store: TableStore, chooser: EndpointChooser, clock: Clock
    ) -> None:
        self._store = store
        self._chooser = chooser
        self._clock = clock
        self._stored: dict[EndpointId, Warmth] = {}
        self._next_scan_at = clock.now()

    async def step(self) -> Result[None, StoreError]:
        """Scan if a scan is due, then write the facts that are newer than the store."""
        if self._clock.now() >= self._next_scan_at:
            scanned = await self._scan()
            if isinstance(scanned, Failure):
                return scanned
        return await self._write()

    async def _scan(self) -> Result[None, StoreError]:
        interval = max(
            MIN_SCAN_INTERVAL, SCAN_INTERVAL_PER_ENDPOINT * len(self._chooser.table)
        )
        self._next_scan_at = Milliseconds(self._clock.now() + interval)
        scanned = await self._store.scan(_PREFIX, limit=MAX_SCAN_RECORDS)
        return scanned.map(self._merge)

    def _merge(self, records: Sequence[Record]) -> None:
        facts = [_fact(record) for record in records]
        self._stored.update((fact.endpoint, fact.warmth) for fact in facts)
        self._chooser.merge_warmth(facts)

    async def _write(self) -> Result[None, StoreError]:
        newer = [fact for fact in self._chooser.table.facts() if self._is_newer(fact)][
            :MAX_FACTS_PER_WRITE
        ]
        if not newer:
            return Success(None)
        # Other entries may have written the same facts since the last scan.
        read = await self._store.read([_key(fact) for fact in newer])
        if isinstance(read, Failure):
            return Failure(read.failure())
        records = read.unwrap()
        self._merge([record for record in records if record.value])
        return await self._commit(list(zip(newer, records, strict=True)))

    def _is_newer(self, fact: WarmthFact) -> bool:
        stored = self._stored.get(fact.endpoint, UNKNOWN_WARMTH)
        # Nearly every fact is the same object that was stored or read; comparing the
        # fields of each, twice a second, would cost 1% of a core at 2,000 endpoints.
        return fact.warmth is not stored and fact.warmth > stored

    async def _commit(
        self, pairs: Sequence[tuple[WarmthFact, Record]]
    ) -> Result[None, StoreError]:
        missing = [(fact, record) for fact, record in pairs if self._is_newer(fact)]
        if not missing:
            return Success(None)
        transaction = Transaction(
            checks=tuple(
                Check(key=record.key, version=record.version) for _, record in missing
            ),
            puts=tuple(warmth_put(fact) for fact, _ in missing),
        )
        # After a conflict or a lost answer the next step reads the records again.
        return (await self._store.commit(transaction)).map(lambda _: None)


def warmth_put(fact: WarmthFact) -> Put:
    """Return the table write that stores ``fact``."""
    return Put(key=_key(fact), value=msgspec.json.encode(fact))


def _key(fact: WarmthFact) -> str:
    return f"{_PREFIX}{fact.endpoint}"


def _fact(record: Record) -> WarmthFact:
    return msgspec.json.decode(record.value, type=WarmthFact)
