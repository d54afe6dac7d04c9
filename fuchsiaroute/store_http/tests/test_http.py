"""The HTTP adapters against the stand-in of the platform."""

import httpx
import pytest
from returns.result import Failure, Success

from fuchsiaroute.ids import EndpointId, FailureDomainId, InstanceId, VersionId
from fuchsiaroute.standin import StandInPlatform
from fuchsiaroute.store import (
    ABSENT,
    Check,
    Committed,
    Conflict,
    InstanceRecord,
    Order,
    OrderError,
    OrderKind,
    Put,
    Rating,
    StoreErrorKind,
    StoreFault,
    Transaction,
)
from fuchsiaroute.store_http import (
    HttpEngineOrders,
    HttpInstanceList,
    HttpObjectStore,
    HttpRatingService,
    HttpTableStore,
)

ENTRY = InstanceRecord(
    id=InstanceId("entry-1"),
    address="127.0.0.1:9000",
    failure_domain=FailureDomainId("lakes-a"),
)


@pytest.fixture
def platform():
    return StandInPlatform((ENTRY,))


@pytest.fixture
def client(platform):
    transport = httpx.ASGITransport(app=platform.build_app())
    return httpx.AsyncClient(transport=transport, base_url="http://platform")


def put_if_absent(key, value):
    return Transaction(
        checks=(Check(key=key, version=ABSENT),), puts=(Put(key=key, value=value),)
    )


async def test_second_put_if_absent_conflicts_and_returns_the_first(client):
    store = HttpTableStore(client)
    first = await store.commit(put_if_absent("a/1", b"\x00first"))
    assert first == Success(Committed())
    second = (await store.commit(put_if_absent("a/1", b"second"))).unwrap()
    assert isinstance(second, Conflict)
    assert second.records[0].value == b"\x00first"
    assert (await store.read(["a/1", "b"])).unwrap()[1].version == ABSENT
    assert len((await store.scan("a/", limit=10)).unwrap()) == 1


async def test_objects_round_trip_under_keys_with_slashes(client):
    store = HttpObjectStore(client)
    assert (await store.get("a/b c")).unwrap() is None
    assert (await store.put("a/b c", b"\xff")) == Success(None)
    assert (await store.get("a/b c")).unwrap() == b"\xff"


async def test_stale_list_returns_its_former_content(platform, client):
    instances = HttpInstanceList(client)
    assert (await instances.instances()).unwrap() == (ENTRY,)
    platform.instances.injector.fault = StoreFault.STALE
    platform.instances.records = ()
    assert (await instances.instances()).unwrap() == (ENTRY,)
    platform.instances.injector.fault = StoreFault.NONE
    assert (await instances.instances()).unwrap() == ()


async def test_ratings_continue_from_the_cursor(platform, client):
    service = HttpRatingService(client)
    ratings = [
        Rating(request=f"r{number}", version="v", request_class="c", is_good=True)
        for number in range(700)
    ]
    platform.ratings.add(*ratings)
    first = (await service.ratings("")).unwrap()
    second = (await service.ratings(first.cursor)).unwrap()
    assert (*first.ratings, *second.ratings) == tuple(ratings)


@pytest.mark.parametrize(
    ("fault", "kind", "has_effect"),
    [
        (StoreFault.DOWN, StoreErrorKind.REFUSED, False),
        (StoreFault.ANSWER_LOST, StoreErrorKind.UNKNOWN, True),
        (StoreFault.LATE, StoreErrorKind.UNKNOWN, False),
    ],
)
async def test_error_kind_is_unknown_if_a_write_may_have_taken_effect(
    platform, client, monkeypatch, fault, kind, has_effect
):
    monkeypatch.setattr("fuchsiaroute.standin._platform.LOST_ANSWER_DELAY_SECONDS", 0)
    store = HttpTableStore(client)
    platform.table.injector.queued_faults.append(fault)
    answer = await store.commit(put_if_absent("key", b"value"))
    assert answer.failure().kind is kind
    record = (await store.read(["key"])).unwrap()[0]
    assert (record.version != ABSENT) is has_effect


@pytest.mark.parametrize(
    ("error", "kind"),
    [
        (httpx.ConnectError("refused"), StoreErrorKind.REFUSED),
        (httpx.ConnectTimeout("timed out"), StoreErrorKind.REFUSED),
        (httpx.ReadTimeout("timed out"), StoreErrorKind.UNKNOWN),
        (httpx.RemoteProtocolError("cut"), StoreErrorKind.UNKNOWN),
    ],
)
async def test_transport_error_is_refused_only_if_nothing_was_sent(error, kind):
    def fail(request):
        raise error

    transport = httpx.MockTransport(fail)
    client = httpx.AsyncClient(transport=transport, base_url="http://platform")
    answer = await HttpTableStore(client).commit(put_if_absent("key", b""))
    assert answer.failure().kind is kind


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (200, Success(None)),
        (409, Failure(OrderError.FENCED)),
        (503, Failure(OrderError.REFUSED)),
        (500, Failure(OrderError.UNKNOWN)),
    ],
)
async def test_http_status_of_an_order_determines_its_outcome(status, outcome):
    transport = httpx.MockTransport(lambda request: httpx.Response(status))
    client = httpx.AsyncClient(transport=transport)
    orders = HttpEngineOrders(client, lambda endpoint: "http://engine")
    order = Order(
        endpoint=EndpointId("e"),
        kind=OrderKind.LOAD_VERSION,
        version=VersionId("v"),
        fencing=3,
    )
    assert await orders.send(order) == outcome
