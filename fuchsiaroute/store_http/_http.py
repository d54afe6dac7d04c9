"""HTTP calls of platform services, with errors as typed results."""

from typing import TypeVar

import httpx
import msgspec
from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.decoding import DECODER_ERRORS
from fuchsiaroute.store._table_store import StoreError, StoreErrorKind

#: Timeout of each step of a call: connect, write, read, and wait for a connection.
DEFAULT_TIMEOUT = Milliseconds(2_000)
MILLISECONDS_PER_SECOND = 1_000

#: Errors that are raised before any part of the request is sent.
_NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
#: Statuses with which a service reports that the call had no effect.
_NO_EFFECT_STATUSES = frozenset(
    {
        httpx.codes.BAD_REQUEST,
        httpx.codes.UNAUTHORIZED,
        httpx.codes.FORBIDDEN,
        httpx.codes.NOT_FOUND,
        httpx.codes.TOO_MANY_REQUESTS,
        httpx.codes.SERVICE_UNAVAILABLE,
    }
)

_Message = TypeVar("_Message")


def new_http_client(
    base_url: str, *, timeout: Milliseconds = DEFAULT_TIMEOUT
) -> httpx.AsyncClient:
    """Return a client for the platform service at ``base_url``."""
    return httpx.AsyncClient(
        base_url=base_url,
        timeout=timeout / MILLISECONDS_PER_SECOND,
        trust_env=False,
    )


async def call(
    client: httpx.AsyncClient,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    params: dict[str, str] | None = None,
) -> Result[httpx.Response, StoreError]:
    """
    Call a platform service and return its complete response.

    An error is ``REFUSED`` only if the call cannot have had an effect.
    """
    try:
        response = await client.request(method, path, content=body, params=params)
    except _NOT_SENT_ERRORS as error:
        return Failure(_error(StoreErrorKind.REFUSED, path, repr(error)))
    except httpx.HTTPError as error:
        return Failure(_error(StoreErrorKind.UNKNOWN, path, repr(error)))
    if response.is_success:
        return Success(response)
    kind = StoreErrorKind.UNKNOWN
    if response.status_code in _NO_EFFECT_STATUSES:
        kind = StoreErrorKind.REFUSED
    return Failure(_error(kind, path, f"status {response.status_code}"))


def decode_response(
    response: httpx.Response, message: type[_Message]
) -> Result[_Message, StoreError]:
    """Return the JSON body of ``response``, decoded as ``message``."""
    try:
        return Success(msgspec.json.decode(response.content, type=message))
    except DECODER_ERRORS as error:
        path = response.request.url.path
        return Failure(_error(StoreErrorKind.UNKNOWN, path, str(error)))


def _error(kind: StoreErrorKind, path: str, cause: str) -> StoreError:
    return StoreError(kind=kind, message=f"{path}: {cause}")
