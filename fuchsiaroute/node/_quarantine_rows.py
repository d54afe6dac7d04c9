"""Keeps quarantined subjects in the store, for a restart of all instances."""

import asyncio
import re

import msgspec
from returns.result import Failure

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.decoding import Int64, MalformedDataError, decode
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.platform import PlatformStore, Table, row_key
from fuchsiaroute.quarantine import Quarantine, SubjectKey, SubjectReport
from fuchsiaroute.store import Put, Transaction

#: Delay after a failed call.
RETRY_DELAY = Milliseconds(1_000)


class _QuarantineRow(msgspec.Struct):
    """The value of a row."""

    #: Start of the quarantine on the store's clock; None once it is cleared.
    since: Int64 | None
    companions: list[int] = []


#: The subject in hexadecimal digits, negative for a request.
_KEY = re.compile(r"-?[0-9a-f]{1,16}", re.ASCII)
_MIN_SUBJECT, _MAX_SUBJECT = -(2**63), 2**64 - 1
_DECODER = msgspec.json.Decoder(_QuarantineRow)


class QuarantineRows:
    """
    Reads the quarantined subjects at the start and writes those found here.

    Running instances learn of them from peers. The row of a subject is written by the
    instance whose evidence decided on it; a later write replaces it.
    """

    def __init__(
        self,
        *,
        store: PlatformStore,
        quarantine: Quarantine,
        clock: Clock,
        log: LineLog,
    ) -> None:
        self._store = store
        self._quarantine = quarantine
        self._clock = clock
        self._log = log
        #: Starts of quarantines to write on the monotonic clock; None to clear one.
        self._unwritten: dict[SubjectKey, Milliseconds | None] = {}
        self._changed = asyncio.Event()
        #: Whether the rows have been read.
        self.is_loaded = False

    def write(self, subject: SubjectKey, since: Milliseconds | None) -> None:
        """Write the start of a quarantine, or that it is cleared (None)."""
        self._unwritten[subject] = since
        self._changed.set()

    async def run(self) -> None:
        """Read the rows, then write changes until cancelled."""
        while not await self._load():
            await self._clock.sleep(RETRY_DELAY)
        while True:
            await self._changed.wait()
            self._changed.clear()
            while self._unwritten and not await self._write_all():
                await self._clock.sleep(RETRY_DELAY)

    async def _load(self) -> bool:
        answer = await self._store.read_table(Table.QUARANTINE)
        store_now = self._store.now()
        if isinstance(answer, Failure) or store_now is None:
            return False
        offset = self._clock.now() - store_now
        for row in answer.unwrap().rows:
            if row.value is None:
                continue
            try:
                subject = _subject(row.key)
                found = decode(_DECODER, row.value)
                companions = frozenset(_checked(item) for item in found.companions)
            except MalformedDataError as error:
                self._log.write(
                    "prompt-part:unreadable", key=row.key, reason=str(error)
                )
                continue
            if found.since is not None:
                report = SubjectReport(
                    subject,
                    Milliseconds(found.since + offset),
                    companions,
                )
                self._quarantine.apply_quarantine(report, source="store")
        self.is_loaded = True
        return True

    async def _write_all(self) -> bool:
        store_now = self._store.now()
        if store_now is None:
            return False
        changes = dict(self._unwritten)
        offset = store_now - self._clock.now()
        puts = tuple(
            Put(
                key=row_key(Table.QUARANTINE, f"{subject:016x}"),
                value=msgspec.json.encode(
                    _QuarantineRow(
                        None if since is None else since + offset,
                        list(self._quarantine.companions(subject)),
                    )
                ),
            )
            for subject, since in changes.items()
        )
        answer = await self._store.commit(Transaction(puts=puts))
        if isinstance(answer, Failure):
            self._log.write("prompt-part:not-written", reason=answer.failure().message)
            return False
        for subject, since in changes.items():
            if self._unwritten.get(subject) == since:
                self._unwritten.pop(subject, None)
        return True


def _subject(key: str) -> SubjectKey:
    """Return the subject of a row; raises ``MalformedDataError``."""
    if _KEY.fullmatch(key) is None:
        raise MalformedDataError("the key is no subject")
    return _checked(int(key, 16))


def _checked(subject: int) -> SubjectKey:
    """Return a key that messages can carry; raises ``MalformedDataError``."""
    if not _MIN_SUBJECT <= subject <= _MAX_SUBJECT:
        raise MalformedDataError("the hash of a subject is out of range")
    return SubjectKey(subject)
