"""HTTP interface of a stand-in model engine for orders."""

from typing import Any

import msgspec
from litestar import Request, Response, get, post
from litestar.handlers import HTTPRouteHandler
from returns.result import Success

from fuchsiaroute.ids import EndpointId, FencingNumber, VersionId
from fuchsiaroute.store import MemoryEngine, Order, OrderKind
from fuchsiaroute.store_http._wire import LoadedResponse, OrderRequest

JSON = "application/json"
HTTP_OK = 200
HTTP_CONFLICT = 409


def build_order_handlers(engine: MemoryEngine) -> list[HTTPRouteHandler]:
    """Return the route handlers that apply orders to ``engine``."""

    @post("/orders", status_code=HTTP_OK)
    async def apply_order(request: Request[Any, Any, Any]) -> Response[Any]:
        """Apply an order, or answer 409 if its fencing number is too low."""
        message = msgspec.json.decode(await request.body(), type=OrderRequest)
        order = Order(
            endpoint=EndpointId(""),
            kind=OrderKind(message.kind),
            version=VersionId(message.version),
            fencing=FencingNumber(message.fencing),
        )
        is_applied = isinstance(engine.apply(order), Success)
        return Response(None, status_code=HTTP_OK if is_applied else HTTP_CONFLICT)

    @get("/orders/loaded")
    async def list_loaded() -> Response[Any]:
        """List the loaded versions."""
        answer = LoadedResponse(versions=tuple(sorted(engine.loaded)))
        return Response(msgspec.json.encode(answer), media_type=JSON)

    return [apply_order, list_loaded]
