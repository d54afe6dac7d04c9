"""The client of the platform's store."""

import asyncio
import base64
import binascii
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec
from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.http1 import (
    ClientConnection,
    ConnectError,
    ExchangeError,
    ResponseBody,
    connect,
    encode_request,
)
from fuchsiaroute.platform._node_settings import Address
from fuchsiaroute.store import (
    Committed,
    Conflict,
    Put,
    Record,
    StoreError,
    StoreErrorKind,
    Transaction,
)

#: Time for a connection to the store; it answers within milliseconds while it is up.
CONNECT_TIMEOUT = Milliseconds(1_000)
#: Time for a call; 60 times the store's stated answer time is a quarter of a second.
CALL_TIMEOUT = Milliseconds(2_000)
#: Longest wait that the store takes in a watch.
MAX_WATCH_WAIT = Milliseconds(30_000)
#: Largest response: the store sends at most 1 MB of rows, encoded.
MOST_RESPONSE_BYTES = 4 * 1024 * 1024
#: Time for which an unused connection is kept.
IDLE_LIMIT = Milliseconds(10_000)
_MS = 1_000

_OK, _HISTORY_GONE, _CONDITION_FAILED = 200, 410, 412
#: Statuses that say that nothing was done.
_REFUSALS = frozenset({400, 403, 404, 429, 503, 507})


class Table(Enum):
    """Tables of the store."""

    #: What operators write: the deployment, roll-outs, evacuations.
    ORDERS = "op"
    #: Announcements of endpoints.
    ENDPOINTS = "servers"
    #: What operators read: the state of each roll-out.
    STATUS = "status"
    #: Instances of the router, by name.
    INSTANCES = "instances"
    #: Records of roll-outs, by service.
    ROLLOUTS = "rollouts"


@dataclass(frozen=True, kw_only=True)
class Row:
    """A row of a table; ``value`` is None if the row has been removed."""

    key: str
    value: bytes | None
    #: Grows with each write to the store.
    revision: int


@dataclass(frozen=True, kw_only=True)
class Rows:
    """All rows of a table, or those that changed, as of one revision."""

    rows: tuple[Row, ...]
    revision: int


@dataclass(frozen=True)
class HistoryGone:
    """The store no longer has the changes asked for; read the table anew."""


class _Row(msgspec.Struct):
    Key: str
    Table: str = ""
    # Base64 of the value; absent in the row of a removed key.
    Value: str = ""
    # Version of the row, not of its format.
    SchemaVersion: int = 0
    Deleted: bool = False


class _Answer(msgspec.Struct):
    Rows: list[_Row] = []
    HasMore: bool = False
    # Newest version in the store.
    SchemaVersion: int = 0
    # The store's steady clock.
    NowMs: float = 0.0


_ANSWER = msgspec.json.Decoder(_Answer)
_Value = TypeVar("_Value")


class PlatformStore:
    """
    Reads, watches and changes rows.

    Keys of ``store`` types are ``TABLE/KEY``. A connection on which a call failed is
    closed, since a late response could be taken for that of the next call.
    """

    def __init__(self, address: Address, *, clock: Clock) -> None:
        self._address = address
        self._clock = clock
        self._idle: list[ClientConnection] = []
        self._clock_offset: float | None = None
        #: Calls made, by purpose.
        self.calls: Counter[str] = Counter()

    def now(self) -> Milliseconds | None:
        """Return the time on the store's steady clock; None before any answer."""
        if self._clock_offset is None:
            return None
        return Milliseconds(round(self._clock.now() + self._clock_offset))

    async def read_table(self, table: Table) -> Result[Rows, StoreError]:
        """Return all rows of a table."""
        rows: list[Row] = []
        start = ""
        revision: int | None = None
        while True:
            query = {"Table": table.value, "part": "", "Limit": "500"}
            if start:
                query["From"] = start
            self._count("read", table)
            answer = await self._get("rows-get", query, CALL_TIMEOUT)
            if isinstance(answer, Failure):
                return Failure(answer.failure())
            page = answer.unwrap()
            if isinstance(page, HistoryGone):
                return Failure(_unknown("a read answered that history is gone"))
            # Changes since the first page are found by watching from its revision.
            revision = page.SchemaVersion if revision is None else revision
            rows += _rows(page.Rows)
            if not page.HasMore or not page.Rows:
                return Success(Rows(rows=tuple(rows), revision=revision))
            start = page.Rows[-1].Key + "\0"

    async def watch(
        self,
        table: Table,
        *,
        after: int,
        wait: Milliseconds,
        within: Milliseconds = CALL_TIMEOUT,
    ) -> Result[Rows | HistoryGone, StoreError]:
        """
        Return the changes after a revision, or none once ``wait`` has passed.

        ``within`` bounds what the store and the way to it take in addition.
        """
        wait = min(wait, MAX_WATCH_WAIT)
        query = {
            "Table": table.value,
            "After": str(after),
            "WaitMs": str(wait),
        }
        timeout = Milliseconds(wait + within)
        self._count("watch" if wait else "read changes of", table)
        answer = await self._get("rows-feed", query, timeout)
        if isinstance(answer, Failure):
            return Failure(answer.failure())
        page = answer.unwrap()
        if isinstance(page, HistoryGone):
            return Success(page)
        revision = max(page.SchemaVersion, after)
        return Success(Rows(rows=tuple(_rows(page.Rows)), revision=revision))

    async def commit(
        self, transaction: Transaction
    ) -> Result[Committed | Conflict, StoreError]:
        """Apply ``transaction`` as a whole, or nothing of it."""
        body = msgspec.json.encode(
            {
                "Precondition": [
                    {**_name(check.key), "SchemaVersion": check.version}
                    for check in transaction.checks
                ],
                "Puts": [_put(put) for put in transaction.puts],
                "Remove": [],
            }
        )
        self.calls["change"] += 1
        called = await self._call("POST", "/api/rows-tx", body, CALL_TIMEOUT)
        if isinstance(called, Failure):
            return Failure(called.failure())
        response = called.unwrap()
        if response.head.status == _OK:
            written = _decode_answer(response).map(lambda answer: answer.SchemaVersion)
            # The writes took effect, whatever the body says.
            return Success(Committed(version=written.value_or(0)))
        if response.head.status != _CONDITION_FAILED:
            return Failure(_error(response.head.status))
        decoded = _decode_answer(response)
        if isinstance(decoded, Failure):
            return Failure(decoded.failure())
        rows = decoded.unwrap().Rows
        by_key = {f"{row.Table}/{row.Key}": _rows([row]) for row in rows}
        records = []
        for check in transaction.checks:
            found = by_key.get(check.key)
            records.append(_record(check.key, found[0] if found else None))
        return Success(Conflict(records=tuple(records)))

    def set_address(self, address: Address) -> None:
        """Use another address from the next call on."""
        if address != self._address:
            self._address = address
            self.close()

    def close(self) -> None:
        """Close the unused connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def _count(self, what: str, table: Table) -> None:
        self.calls[f"{what} {table.name.lower()}"] += 1

    async def _get(
        self, name: str, query: dict[str, str], within: Milliseconds
    ) -> Result[_Answer | HistoryGone, StoreError]:
        target = f"/api/{name}?{urlencode(query)}"
        called = await self._call("GET", target, b"", within)
        if isinstance(called, Failure):
            return Failure(called.failure())
        response = called.unwrap()
        if response.head.status == _HISTORY_GONE:
            return Success(HistoryGone())
        if response.head.status != _OK:
            return Failure(_error(response.head.status))
        return _decode_answer(response).map(self._note_time)

    def _note_time(self, answer: _Answer) -> _Answer:
        if answer.NowMs:
            self._clock_offset = answer.NowMs - self._clock.now()
        return answer

    async def _call(
        self, method: str, target: str, body: bytes, within: Milliseconds
    ) -> Result[ResponseBody, StoreError]:
        connection: ClientConnection | None = None
        try:
            async with asyncio.timeout(within / _MS):
                connection = await self._connection()
                connection.send(self._encode(method, target, body), _any_response)
                response = await connection.read_whole(limit=MOST_RESPONSE_BYTES)
        except ConnectError as error:
            return Failure(_refused(str(error)))
        except TimeoutError:
            _drop(connection)
            return Failure(_unknown(f"no answer within {within} ms"))
        except ExchangeError as error:
            _drop(connection)
            return Failure(_unknown(str(error)))
        except asyncio.CancelledError:
            _drop(connection)
            raise
        if connection.is_open:
            self._idle.append(connection)
        return Success(response)

    def _encode(self, method: str, target: str, body: bytes) -> bytes:
        headers = [(b"Host", str(self._address).encode())]
        if body:
            headers.append((b"Content-Type", b"application/json"))
        return encode_request(
            method.encode(), target.encode(), headers, body, has_body=bool(body)
        )

    async def _connection(self) -> ClientConnection:
        while self._idle:
            connection = self._idle.pop()
            idle_for = self._clock.now() - connection.idle_since
            if connection.is_open and idle_for < connection.idle_timeout(IDLE_LIMIT):
                return connection
            connection.abort()
        return await connect(
            self._address.host,
            self._address.port,
            clock=self._clock,
            within=CONNECT_TIMEOUT,
        )


def row_key(table: Table, key: str) -> str:
    """Return the key of a row in the ``store`` types."""
    return f"{table.value}/{key}"


def _any_response(status: int, headers: Any) -> bool:
    return True


def _drop(connection: ClientConnection | None) -> None:
    if connection is not None:
        connection.abort()


def _name(key: str) -> dict[str, Any]:
    table, _, name = key.partition("/")
    return {"Table": table, "part": "", "Key": name}


def _put(put: Put) -> dict[str, Any]:
    return {**_name(put.key), "Value": base64.b64encode(put.value).decode()}


def _rows(found: Iterable[_Row]) -> list[Row]:
    rows = []
    for row in found:
        value: bytes | None = None
        if not row.Deleted:
            try:
                value = base64.b64decode(row.Value, validate=True)
            except binascii.Error:
                # Left to the decoder of the row, which reports it with its key.
                value = b""
        rows.append(Row(key=row.Key, value=value, revision=row.SchemaVersion))
    return rows


def _record(key: str, row: Row | None) -> Record:
    if row is None or row.value is None:
        return Record(key=key, value=b"", version=0)
    return Record(key=key, value=row.value, version=row.revision)


def _decode_answer(response: ResponseBody) -> Result[_Answer, StoreError]:
    try:
        return Success(_ANSWER.decode(response.data))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(_unknown(f"the answer cannot be decoded: {error}"))


def _error(status: int) -> StoreError:
    message = f"status {status}"
    return _refused(message) if status in _REFUSALS else _unknown(message)


def _refused(message: str) -> StoreError:
    return StoreError(kind=StoreErrorKind.REFUSED, message=message)


def _unknown(message: str) -> StoreError:
    return StoreError(kind=StoreErrorKind.UNKNOWN, message=message)
