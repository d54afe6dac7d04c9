"""Stand-in for the platform's HTTP services, with fault injection."""

import asyncio

import msgspec
from litestar import Litestar, Request, Response, get, post, put
from litestar.exceptions import HTTPException
from litestar.handlers import HTTPRouteHandler
from returns.result import Success

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.store import (
    Committed,
    FaultInjector,
    InstanceRecord,
    MemoryInstanceList,
    MemoryObjectStore,
    MemoryRatingService,
    MemoryTableStore,
    StoreError,
    StoreErrorKind,
    StoreFault,
    Transaction,
)
from fuchsiaroute.store_http._wire import (
    CommitResponse,
    InstancesResponse,
    RatingsRequest,
    ReadRequest,
    RecordsResponse,
    ScanRequest,
)

MEDIA_TYPE = "application/json"
#: Time before the error response to a call whose answer is lost.
LOST_ANSWER_DELAY_SECONDS = 10.0
_STATUS = {StoreErrorKind.REFUSED: 503, StoreErrorKind.UNKNOWN: 504}


class FaultRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /faults``."""

    #: One of ``table``, ``objects``, ``instances`` and ``ratings``.
    service: str
    fault: StoreFault
    #: Delay of slow calls in milliseconds.
    delay: Milliseconds = Milliseconds(5_000)


class StandInPlatform:
    """All platform services in memory, with an application that serves them."""

    def __init__(self, instances: tuple[InstanceRecord, ...] = ()) -> None:
        #: Public for tests that run in the same process.
        self.table = MemoryTableStore()
        self.objects = MemoryObjectStore()
        self.instances = MemoryInstanceList(instances)
        self.ratings = MemoryRatingService()
        self._injectors: dict[str, FaultInjector] = {
            "table": self.table.injector,
            "objects": self.objects.injector,
            "instances": self.instances.injector,
            "ratings": self.ratings.injector,
        }

    def set_fault(self, request: FaultRequest) -> None:
        """Set the fault of one service."""
        injector = self._injectors[request.service]
        injector.fault = request.fault
        injector.delay = request.delay

    def build_app(self) -> Litestar:
        """Return the ASGI application of this platform."""
        return Litestar(
            route_handlers=[
                *_table_handlers(self.table),
                *_object_handlers(self.objects),
                *_service_handlers(self),
            ],
            openapi_config=None,
        )


def build_platform_app(instances: tuple[InstanceRecord, ...] = ()) -> Litestar:
    """Return the application of a new stand-in platform that lists ``instances``."""
    return StandInPlatform(instances).build_app()


def _table_handlers(table: MemoryTableStore) -> list[HTTPRouteHandler]:
    @post("/table/read", status_code=200)
    async def read(request: Request) -> Response[bytes]:  # type: ignore[type-arg]
        """Read records by key."""
        message = msgspec.json.decode(await request.body(), type=ReadRequest)
        answer = await table.read(message.keys)
        if not isinstance(answer, Success):
            raise await _http_error(answer.failure())
        return _json(RecordsResponse(records=answer.unwrap()))

    @post("/table/scan", status_code=200)
    async def scan(request: Request) -> Response[bytes]:  # type: ignore[type-arg]
        """Read records by prefix."""
        message = msgspec.json.decode(await request.body(), type=ScanRequest)
        answer = await table.scan(message.prefix, limit=message.limit)
        if not isinstance(answer, Success):
            raise await _http_error(answer.failure())
        return _json(RecordsResponse(records=answer.unwrap()))

    @post("/table/commit", status_code=200)
    async def commit(request: Request) -> Response[bytes]:  # type: ignore[type-arg]
        """Commit a transaction."""
        message = msgspec.json.decode(await request.body(), type=Transaction)
        answer = await table.commit(message)
        if not isinstance(answer, Success):
            raise await _http_error(answer.failure())
        outcome = answer.unwrap()
        if isinstance(outcome, Committed):
            return _json(CommitResponse(is_committed=True))
        return _json(CommitResponse(is_committed=False, records=outcome.records))

    return [read, scan, commit]


def _object_handlers(objects: MemoryObjectStore) -> list[HTTPRouteHandler]:
    @put("/objects", status_code=200)
    async def put_object(request: Request) -> None:  # type: ignore[type-arg]
        """Store an object."""
        key = request.query_params["key"]
        answer = await objects.put(key, await request.body())
        if not isinstance(answer, Success):
            raise await _http_error(answer.failure())

    @get("/objects")
    async def get_object(request: Request) -> Response[bytes]:  # type: ignore[type-arg]
        """Return an object, or 204 if there is none."""
        key = request.query_params["key"]
        answer = await objects.get(key)
        if not isinstance(answer, Success):
            raise await _http_error(answer.failure())
        value = answer.unwrap()
        if value is None:
            return Response(b"", status_code=204)
        return Response(value, media_type="application/octet-stream")

    return [put_object, get_object]


def _service_handlers(platform: StandInPlatform) -> list[HTTPRouteHandler]:
    @get("/instances")
    async def get_instances() -> Response[bytes]:
        """List the instances."""
        answer = await platform.instances.instances()
        if not isinstance(answer, Success):
            raise await _http_error(answer.failure())
        return _json(InstancesResponse(instances=answer.unwrap()))

    @put("/instances", status_code=204)
    async def put_instances(request: Request) -> None:  # type: ignore[type-arg]
        """Replace the list of instances."""
        message = msgspec.json.decode(await request.body(), type=InstancesResponse)
        platform.instances.records = message.instances

    @get("/ratings")
    async def get_ratings(request: Request) -> Response[bytes]:  # type: ignore[type-arg]
        """Return the ratings after a cursor."""
        cursor = request.query_params.get("cursor", "")
        answer = await platform.ratings.ratings(cursor)
        if not isinstance(answer, Success):
            raise await _http_error(answer.failure())
        return _json(answer.unwrap())

    @post("/ratings", status_code=204)
    async def post_ratings(request: Request) -> None:  # type: ignore[type-arg]
        """Publish ratings."""
        message = msgspec.json.decode(await request.body(), type=RatingsRequest)
        platform.ratings.add(*message.ratings)

    @post("/faults", status_code=204)
    async def post_fault(request: Request) -> None:  # type: ignore[type-arg]
        """Set the fault of a service."""
        message = msgspec.json.decode(await request.body(), type=FaultRequest)
        platform.set_fault(message)

    return [get_instances, put_instances, get_ratings, post_ratings, post_fault]


def _json(message: object) -> Response[bytes]:
    return Response(msgspec.json.encode(message), media_type=MEDIA_TYPE)


async def _http_error(error: StoreError) -> HTTPException:
    """Return the HTTP error for ``error``; if the answer is lost, after a delay."""
    if error.kind is StoreErrorKind.UNKNOWN:
        await asyncio.sleep(LOST_ANSWER_DELAY_SECONDS)
    return HTTPException(detail=error.message, status_code=_STATUS[error.kind])
