"""HTTP adapters for the instance list, the rating service and engine orders."""

from collections.abc import Callable

import httpx
import msgspec
from returns.result import Failure, Result, Success

from fuchsiaroute.ids import EndpointId, VersionId
from fuchsiaroute.store._engine import Order, OrderError
from fuchsiaroute.store._instance_list import InstanceRecord
from fuchsiaroute.store._rating import RatingPage
from fuchsiaroute.store._table_store import StoreError, StoreErrorKind
from fuchsiaroute.store_http._http import call, decode_response
from fuchsiaroute.store_http._wire import (
    InstancesResponse,
    LoadedResponse,
    OrderRequest,
)

_ERROR_BY_STATUS = {
    httpx.codes.CONFLICT: OrderError.FENCED,
    httpx.codes.BAD_REQUEST: OrderError.REFUSED,
    httpx.codes.NOT_FOUND: OrderError.REFUSED,
    httpx.codes.TOO_MANY_REQUESTS: OrderError.REFUSED,
    httpx.codes.SERVICE_UNAVAILABLE: OrderError.REFUSED,
}


class HttpInstanceList:
    """Instance list over HTTP; implements ``InstanceList``."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self._client = client

    async def instances(self) -> Result[tuple[InstanceRecord, ...], StoreError]:
        """Return the current list, which may lag behind."""
        answer = await call(self._client, "GET", "/instances")
        if not isinstance(answer, Success):
            return Failure(answer.failure())
        decoded = decode_response(answer.unwrap(), InstancesResponse)
        return decoded.map(_instances_of)


class HttpRatingService:
    """Rating service over HTTP; implements ``RatingService``."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self._client = client

    async def ratings(self, cursor: str) -> Result[RatingPage, StoreError]:
        """Return the ratings after ``cursor``; an empty cursor is the beginning."""
        params = {"cursor": cursor}
        answer = await call(self._client, "GET", "/ratings", params=params)
        if not isinstance(answer, Success):
            return Failure(answer.failure())
        return decode_response(answer.unwrap(), RatingPage)


class HttpEngineOrders:
    """Orders to engines over HTTP; implements ``EngineOrders``."""

    def __init__(
        self, client: httpx.AsyncClient, url_of: Callable[[EndpointId], str | None]
    ) -> None:
        self._client = client
        self._url_of = url_of

    async def send(self, order: Order) -> Result[None, OrderError]:
        """Send ``order`` and wait for the engine's confirmation."""
        url = self._url_of(order.endpoint)
        if url is None:
            return Failure(OrderError.REFUSED)
        message = OrderRequest(
            kind=order.kind.value, version=order.version, fencing=order.fencing
        )
        body = msgspec.json.encode(message)
        try:
            response = await self._client.post(f"{url}/orders", content=body)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
            return Failure(OrderError.REFUSED)
        except httpx.HTTPError:
            return Failure(OrderError.UNKNOWN)
        if response.is_success:
            return Success(None)
        status = httpx.codes(response.status_code)
        return Failure(_ERROR_BY_STATUS.get(status, OrderError.UNKNOWN))

    async def loaded(
        self, endpoint: EndpointId
    ) -> Result[frozenset[VersionId], OrderError]:
        """Return the versions that the engine has loaded."""
        url = self._url_of(endpoint)
        if url is None:
            return Failure(OrderError.REFUSED)
        answer = await call(self._client, "GET", f"{url}/orders/loaded")
        if not isinstance(answer, Success):
            return Failure(_order_error(answer.failure()))
        decoded = decode_response(answer.unwrap(), LoadedResponse)
        return decoded.map(_versions_of).alt(_order_error)


def _instances_of(response: InstancesResponse) -> tuple[InstanceRecord, ...]:
    return response.instances


def _versions_of(response: LoadedResponse) -> frozenset[VersionId]:
    return frozenset(VersionId(version) for version in response.versions)


def _order_error(error: StoreError) -> OrderError:
    if error.kind is StoreErrorKind.REFUSED:
        return OrderError.REFUSED
    return OrderError.UNKNOWN
