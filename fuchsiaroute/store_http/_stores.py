"""HTTP adapters for the table service and the object store."""

from collections.abc import Sequence

import httpx
import msgspec
from returns.result import Failure, Result, Success

from fuchsiaroute.store._table_store import (
    Committed,
    Conflict,
    Record,
    StoreError,
    Transaction,
)
from fuchsiaroute.store_http._http import call, decode_response
from fuchsiaroute.store_http._wire import (
    CommitResponse,
    ReadRequest,
    RecordsResponse,
    ScanRequest,
)


class HttpTableStore:
    """Table service over HTTP; implements ``TableStore``."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self._client = client

    async def read(self, keys: Sequence[str]) -> Result[tuple[Record, ...], StoreError]:
        """Return a record per key, in the order of ``keys``."""
        body = msgspec.json.encode(ReadRequest(keys=tuple(keys)))
        return await self._records("/table/read", body)

    async def scan(
        self, prefix: str, *, limit: int
    ) -> Result[tuple[Record, ...], StoreError]:
        """Return at most ``limit`` records whose keys start with ``prefix``."""
        body = msgspec.json.encode(ScanRequest(prefix=prefix, limit=limit))
        return await self._records("/table/scan", body)

    async def commit(
        self, transaction: Transaction
    ) -> Result[Committed | Conflict, StoreError]:
        """Apply ``transaction`` as a whole, or nothing of it."""
        body = msgspec.json.encode(transaction)
        answer = await call(self._client, "POST", "/table/commit", body=body)
        if not isinstance(answer, Success):
            return Failure(answer.failure())
        decoded = decode_response(answer.unwrap(), CommitResponse)
        return decoded.map(_commit_outcome)

    async def _records(
        self, path: str, body: bytes
    ) -> Result[tuple[Record, ...], StoreError]:
        answer = await call(self._client, "POST", path, body=body)
        if not isinstance(answer, Success):
            return Failure(answer.failure())
        decoded = decode_response(answer.unwrap(), RecordsResponse)
        return decoded.map(_records_of)


class HttpObjectStore:
    """Object store over HTTP; implements ``ObjectStore``."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self._client = client

    async def put(self, key: str, value: bytes) -> Result[None, StoreError]:
        """Store ``value`` under ``key``."""
        answer = await call(
            self._client, "PUT", "/objects", body=value, params={"key": key}
        )
        return answer.map(_discard_response)

    async def get(self, key: str) -> Result[bytes | None, StoreError]:
        """Return the object under ``key``, or None if there is none."""
        answer = await call(self._client, "GET", "/objects", params={"key": key})
        return answer.map(_object_of)


def _commit_outcome(response: CommitResponse) -> Committed | Conflict:
    if response.is_committed:
        return Committed()
    return Conflict(response.records)


def _records_of(response: RecordsResponse) -> tuple[Record, ...]:
    return response.records


def _object_of(response: httpx.Response) -> bytes | None:
    if response.status_code == httpx.codes.NO_CONTENT:
        return None
    return response.content


def _discard_response(response: httpx.Response) -> None:
    del response
