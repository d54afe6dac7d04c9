"""Client of the platform's store."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

import msgspec
from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.decoding import MalformedDataError, decode, parse_digits
from fuchsiaroute.http1 import (
    ClientConnection,
    ConnectError,
    ExchangeError,
    ResponseBody,
    connect,
    encode_request,
    find_header,
)
from fuchsiaroute.platform._address import Address
from fuchsiaroute.platform._rows import (
    RESPONSE_DECODER,
    HistoryGone,
    Row,
    Rows,
    StoreResponse,
    Table,
    as_record,
    decode_rows,
    row_address,
    wire_put,
)
from fuchsiaroute.store import (
    MAX_ERA,
    Committed,
    Conflict,
    StoreError,
    StoreErrorKind,
    StorePosition,
    Transaction,
    era_of,
    version_of,
)

#: Timeout for connecting to the store, which answers within milliseconds while it
#: is up.
CONNECT_TIMEOUT = Milliseconds(1_000)
#: Timeout of a call. A store that is 60 times slower than its stated response time
#: still responds within 250 ms.
CALL_TIMEOUT = Milliseconds(2_000)
#: Time without further bytes after which a response that has begun counts as broken
#: off. While bytes arrive, the call goes on: at 5 Mbit/s, a declaration of 3,000 routes
#: takes 2 s.
STALL_TIMEOUT = Milliseconds(1_000)
#: Time after which a response that still arrives is given up: that of the largest one
#: at 4 Mbit/s.
MAX_TRANSFER_TIME = Milliseconds(9_000)
#: Longest wait that the store accepts in a watch.
MAX_WATCH_WAIT = Milliseconds(30_000)
#: Maximum size of a response; the store sends at most 1 MB of encoded rows in one.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
#: Time after which an idle connection is closed.
MAX_IDLE_TIME = Milliseconds(10_000)
MILLISECONDS_PER_SECOND = 1_000

#: Number of times that the store was restored from a copy, in all its responses.
_ERA = b"store-era"
_OK, _HISTORY_GONE, _CONDITION_FAILED = 200, 410, 412
#: Statuses of calls that had no effect.
_NO_EFFECT_STATUSES = frozenset({400, 403, 404, 429, 503, 507})


class PlatformStore:
    """
    Reads, watches and writes rows.

    Keys in ``fuchsiaroute.store`` types are ``TABLE/KEY``. A connection on which a
    call failed is closed, since a late response could be mistaken for the response
    to the next call.

    Responses of an era before the latest known one are dropped.
    """

    def __init__(self, address: Address, *, clock: Clock) -> None:
        self._address = address
        self._clock = clock
        self._idle: list[ClientConnection] = []
        self._clock_offset: float | None = None
        self._era = 0
        #: Number of calls by purpose and table.
        self.calls: Counter[str] = Counter()

    @property
    def era(self) -> int:
        """Return the latest era that a response has stated; 0 before."""
        return self._era

    def now(self) -> Milliseconds | None:
        """Return the store's monotonic time; None before its first response."""
        if self._clock_offset is None:
            return None
        return Milliseconds(round(self._clock.now() + self._clock_offset))

    async def read_table(
        self, table: Table, *, on_part: Callable[[], None] = lambda: None
    ) -> Result[Rows, StoreError]:
        """
        Return all rows of a table.

        ``on_part`` is called for each part of a response's body.
        """
        rows: list[Row] = []
        start = ""
        revision: StorePosition | None = None
        while True:
            query = {"Table": table.value, "part": "", "Limit": "500"}
            if start:
                query["From"] = start
            self._count_call("read", table)
            answer = await self._get("rows-get", query, CALL_TIMEOUT, on_part)
            if isinstance(answer, Failure):
                return Failure(answer.failure())
            page = answer.unwrap()
            if isinstance(page, HistoryGone):
                return Failure(_unknown("unexpected status 410 for a table read"))
            if revision is None:
                # A watch from the first page's position returns the changes that were
                # made while further pages were read.
                revision = page.position(page.SchemaVersion)
            elif era_of(revision) != page.era:
                return Failure(_unknown("the store was restored during a table read"))
            rows += decode_rows(page.Rows, page.era)
            if not page.HasMore or not page.Rows:
                return Success(Rows(rows=tuple(rows), revision=revision))
            start = page.Rows[-1].Key + "\0"

    async def watch(
        self,
        table: Table,
        *,
        after: StorePosition,
        wait: Milliseconds,
        within: Milliseconds = CALL_TIMEOUT,
        on_part: Callable[[], None] = lambda: None,
    ) -> Result[Rows | HistoryGone, StoreError]:
        """
        Return the changes after a position, or none once ``wait`` has passed.

        ``within`` is the time allowed in addition until the body begins to arrive, as a
        store may send the head before it waits; ``on_part`` is called for each part.
        """
        wait = min(wait, MAX_WATCH_WAIT)
        query = {
            "Table": table.value,
            "After": str(version_of(after)),
            "WaitMs": str(wait),
        }
        timeout = Milliseconds(wait + within)
        self._count_call("watch" if wait else "read changes of", table)
        answer = await self._get("rows-feed", query, timeout, on_part)
        if isinstance(answer, Failure):
            return Failure(answer.failure())
        page = answer.unwrap()
        if isinstance(page, HistoryGone):
            return Success(page)
        if page.era != era_of(after):
            return Success(HistoryGone())
        revision = max(page.position(page.SchemaVersion), after)
        return Success(Rows(rows=decode_rows(page.Rows, page.era), revision=revision))

    async def commit(
        self, transaction: Transaction
    ) -> Result[Committed | Conflict, StoreError]:
        """
        Apply ``transaction`` atomically.

        A check of a position in a former era demands that the row is absent: it is
        either lost, or its present position comes back as a conflict.
        """
        era = self._era
        body = msgspec.json.encode(
            {
                "Precondition": [
                    {
                        **row_address(check.key),
                        "SchemaVersion": _checked_version(check.version, era),
                    }
                    for check in transaction.checks
                ],
                "Puts": [wire_put(put) for put in transaction.puts],
                "Remove": [],
            }
        )
        self.calls["change"] += 1
        result = await self._call("POST", "/api/rows-tx", body, CALL_TIMEOUT)
        if isinstance(result, Failure):
            return Failure(result.failure())
        response = result.unwrap()
        if response.head.status not in (_OK, _CONDITION_FAILED):
            return Failure(_error(response.head.status))
        decoded = self._decode(response)
        if response.head.status == _OK:
            if self._era != era and era:
                return Failure(_unknown("the store was restored during a write"))
            written = decoded.map(lambda answer: answer.position(answer.SchemaVersion))
            # The writes took effect, even if the body is malformed.
            return Success(Committed(version=written.value_or(StorePosition(0))))
        if isinstance(decoded, Failure):
            return Failure(decoded.failure())
        answer = decoded.unwrap()
        by_key = {
            f"{row.Table}/{row.Key}": decode_rows([row], answer.era)
            for row in answer.Rows
        }
        records = []
        for check in transaction.checks:
            found = by_key.get(check.key)
            records.append(as_record(check.key, found[0] if found else None))
        return Success(Conflict(records=tuple(records)))

    def set_address(self, address: Address) -> None:
        """Use ``address`` from the next call on; calls in progress are completed."""
        if address != self._address:
            self._address = address
            self.close()

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def _count_call(self, purpose: str, table: Table) -> None:
        self.calls[f"{purpose} {table.name.lower()}"] += 1

    async def _get(
        self,
        name: str,
        query: dict[str, str],
        within: Milliseconds,
        on_part: Callable[[], None],
    ) -> Result[StoreResponse | HistoryGone, StoreError]:
        target = f"/api/{name}?{urlencode(query)}"
        result = await self._call("GET", target, b"", within, on_part)
        if isinstance(result, Failure):
            return Failure(result.failure())
        response = result.unwrap()
        if response.head.status not in (_OK, _HISTORY_GONE):
            return Failure(_error(response.head.status))
        if response.head.status == _HISTORY_GONE:
            era = self._read_era(response)
            return era.map(lambda _: HistoryGone())
        return self._decode(response).map(self._update_clock_offset)

    def _decode(self, response: ResponseBody) -> Result[StoreResponse, StoreError]:
        era = self._read_era(response)
        if isinstance(era, Failure):
            return Failure(era.failure())
        decoded = _decode_response(response)
        if isinstance(decoded, Failure):
            return decoded
        answer = decoded.unwrap()
        if not answer.is_in_range:
            return Failure(_unknown("malformed response: a version is out of range"))
        answer.era = era.unwrap()
        return Success(answer)

    def _read_era(self, response: ResponseBody) -> Result[int, StoreError]:
        """Return the era of a response; a former era and a malformed one fail."""
        value = find_header(response.head.headers, _ERA)
        if value is None:
            # A platform without restores does not send the field.
            return Success(self._era)
        era = parse_digits(value.strip())
        if era is None or era > MAX_ERA:
            return Failure(_unknown(f"malformed era {value[:40]!r}"))
        if era < self._era:
            return Failure(_unknown(f"response of era {era}, before era {self._era}"))
        self._era = era
        return Success(era)

    def _update_clock_offset(self, answer: StoreResponse) -> StoreResponse:
        if answer.NowMs:
            self._clock_offset = answer.NowMs - self._clock.now()
        return answer

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes,
        within: Milliseconds,
        on_part: Callable[[], None] = lambda: None,
    ) -> Result[ResponseBody, StoreError]:
        address = self._address
        started_at = self._clock.now()
        connection: ClientConnection | None = None
        try:
            async with asyncio.timeout(within / MILLISECONDS_PER_SECOND) as limit:
                connection = await self._connection(address)
                request = _encode(address, method, target, body)
                connection.send(request, _any_response)
                response = await connection.read_whole(
                    limit=MAX_RESPONSE_BYTES, on_part=_extender(limit, on_part)
                )
        except ConnectError as error:
            return Failure(_refused(str(error)))
        except TimeoutError:
            received = 0 if connection is None else connection.received_bytes
            _abort(connection)
            took = Milliseconds(self._clock.now() - started_at)
            return Failure(_unknown(_late(took, within, received)))
        except ExchangeError as error:
            _abort(connection)
            return Failure(_unknown(str(error)))
        except asyncio.CancelledError:
            _abort(connection)
            raise
        if address != self._address:
            connection.abort()
        elif connection.is_open:
            self._idle.append(connection)
        return Success(response)

    async def _connection(self, address: Address) -> ClientConnection:
        while self._idle:
            connection = self._idle.pop()
            idle_for = self._clock.now() - connection.idle_since
            if connection.is_open and idle_for < connection.idle_timeout(MAX_IDLE_TIME):
                return connection
            connection.abort()
        return await connect(
            address.host,
            address.port,
            clock=self._clock,
            within=CONNECT_TIMEOUT,
        )


def _encode(address: Address, method: str, target: str, body: bytes) -> bytes:
    headers = [(b"Host", str(address).encode())]
    if body:
        headers.append((b"Content-Type", b"application/json"))
    return encode_request(
        method.encode(), target.encode(), headers, body, has_body=bool(body)
    )


def _any_response(status: int, headers: Any) -> bool:
    return True


def _abort(connection: ClientConnection | None) -> None:
    if connection is not None:
        connection.abort()


def _extender(
    limit: asyncio.Timeout, on_part: Callable[[], None]
) -> Callable[[], None]:
    """Return what moves ``limit`` while a response arrives, and calls ``on_part``."""
    now = asyncio.get_running_loop().time
    last: float | None = None

    def extend() -> None:
        nonlocal last
        if last is None:
            last = now() + MAX_TRANSFER_TIME / MILLISECONDS_PER_SECOND
        limit.reschedule(min(now() + STALL_TIMEOUT / MILLISECONDS_PER_SECOND, last))
        on_part()

    return extend


def _late(took: Milliseconds, within: Milliseconds, received: int) -> str:
    """Return the reason of a time-out: an incomplete response is not a silent store."""
    if not received:
        return f"no response within {within} ms"
    return f"incomplete response after {took} ms, {received} bytes received"


def _checked_version(position: int, era: int) -> int:
    return version_of(position) if era_of(position) == era else 0


def _decode_response(response: ResponseBody) -> Result[StoreResponse, StoreError]:
    try:
        return Success(decode(RESPONSE_DECODER, response.data))
    except MalformedDataError as error:
        return Failure(_unknown(f"malformed response: {error}"))


def _error(status: int) -> StoreError:
    message = f"status {status}"
    return _refused(message) if status in _NO_EFFECT_STATUSES else _unknown(message)


def _refused(message: str) -> StoreError:
    return StoreError(kind=StoreErrorKind.REFUSED, message=message)


def _unknown(message: str) -> StoreError:
    return StoreError(kind=StoreErrorKind.UNKNOWN, message=message)
