"""Orders sent over HTTP to a stand-in engine."""

import httpx
import pytest
from returns.result import Failure, Success

from fuchsiaroute.clock import ManualClock
from fuchsiaroute.standin import StandInEndpoint
from fuchsiaroute.store import Order, OrderError, OrderKind
from fuchsiaroute.store_http import HttpEngineOrders


@pytest.fixture
def orders():
    app = StandInEndpoint(clock=ManualClock()).build_app()
    client = httpx.AsyncClient(transport=httpx.ASGITransport(app=app))
    urls = {"engine": "http://engine"}
    return HttpEngineOrders(client, urls.get)


def order(kind, fencing, *, endpoint="engine"):
    return Order(endpoint=endpoint, kind=kind, version="v", fencing=fencing)


async def test_order_with_lower_fencing_number_is_fenced(orders):
    load, unload = OrderKind.LOAD_VERSION, OrderKind.UNLOAD_VERSION
    assert await orders.send(order(load, 2)) == Success(None)
    assert await orders.send(order(unload, 1)) == Failure(OrderError.FENCED)
    assert await orders.loaded("engine") == Success(frozenset({"v"}))
    assert await orders.send(order(unload, 2)) == Success(None)
    assert await orders.loaded("engine") == Success(frozenset())


async def test_order_to_unknown_endpoint_is_refused(orders):
    sent = await orders.send(order(OrderKind.LOAD_VERSION, 1, endpoint="other"))
    assert sent == Failure(OrderError.REFUSED)
