"""Routes of the callers' interface."""

from typing import Any

import msgspec
from litestar import Litestar, Request as HttpRequest, Response, get, post
from litestar.exceptions import HTTPException
from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock
from fuchsiaroute.configuration import Organisation
from fuchsiaroute.entry import Call, CurrentConfiguration, Pipeline
from fuchsiaroute.gateway._advice import AdviceSource
from fuchsiaroute.gateway._authentication import KeyIndex
from fuchsiaroute.gateway._parse import (
    ServicePath,
    parse_completion,
    parse_service_call,
)
from fuchsiaroute.gateway._render import render_answer, render_refusal
from fuchsiaroute.ids import ServiceId
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

AnyRequest = HttpRequest[Any, Any, Any]
AnyResponse = Response[Any]

BEARER = "Bearer "
#: Largest body of a caller's request, in bytes.
MAXIMUM_BODY_BYTES = 1 << 20


class _Routes:
    """Handlers of the callers' interface."""

    def __init__(
        self,
        *,
        pipeline: Pipeline,
        current: CurrentConfiguration,
        keys: KeyIndex,
        clock: Clock,
    ) -> None:
        self._pipeline = pipeline
        self._current = current
        self._keys = keys
        self._clock = clock

    async def complete(self, request: AnyRequest) -> AnyResponse:
        """Answer a chat-completions request."""
        organisation = self._organisation(request)
        if isinstance(organisation, Refusal):
            return render_refusal(organisation)
        call = parse_completion(
            body=await request.body(),
            headers=request.headers,
            organisation=organisation,
            configuration=self._current.configuration,
            clock=self._clock,
        )
        return await self._answer(call)

    async def call_service(
        self, request: AnyRequest, service: ServiceId, path: ServicePath
    ) -> AnyResponse:
        """Answer a call of a plain service."""
        organisation = self._organisation(request)
        if isinstance(organisation, Refusal):
            return render_refusal(organisation)
        call = parse_service_call(
            service=service,
            path=path,
            body=await request.body(),
            headers=request.headers,
            organisation=organisation,
            configuration=self._current.configuration,
            clock=self._clock,
        )
        return await self._answer(call)

    async def _answer(self, parsed: Result[Call, Refusal]) -> AnyResponse:
        match parsed:
            case Success(call):
                match await self._pipeline.handle(call):
                    case Success(answer):
                        return await render_answer(answer, call.request.id)
                    case Failure(refusal):
                        return render_refusal(refusal)
            case Failure(refusal):
                return render_refusal(refusal)
        raise AssertionError("a Result is a Success or a Failure")

    def _organisation(self, request: AnyRequest) -> Organisation | Refusal:
        if not self._current.is_ready:
            return _refusal(RefusalReason.NOT_READY, "no configuration is in force")
        authorization = request.headers.get("authorization", "")
        if not authorization.startswith(BEARER):
            return _refusal(RefusalReason.UNAUTHENTICATED, "a bearer key is required")
        organisation = self._keys.find(authorization.removeprefix(BEARER))
        if organisation is None:
            return _refusal(RefusalReason.UNAUTHENTICATED, "the key is unknown")
        return organisation


def build_app(
    *,
    pipeline: Pipeline,
    current: CurrentConfiguration,
    advice: AdviceSource,
    clock: Clock,
) -> Litestar:
    """Return the application that serves callers."""
    keys = KeyIndex()
    current.subscribe(keys.update)
    routes = _Routes(pipeline=pipeline, current=current, keys=keys, clock=clock)

    @post("/v1/chat/completions")
    async def complete(request: AnyRequest) -> AnyResponse:
        return await routes.complete(request)

    @post("/v1/services/{service:str}/{path:path}")
    async def call_service(request: AnyRequest, service: str, path: str) -> AnyResponse:
        return await routes.call_service(
            request, ServiceId(service), ServicePath(f"/{path.lstrip('/')}")
        )

    @get("/v1/entries")
    async def entries(request: AnyRequest, failure_domain: str = "") -> AnyResponse:
        caller = request.client.host if request.client else ""
        advised = advice.advise(caller=caller, failure_domain=failure_domain)
        return Response(
            content=msgspec.json.encode(advised), media_type="application/json"
        )

    return Litestar(
        route_handlers=[complete, call_service, entries],
        request_max_body_size=MAXIMUM_BODY_BYTES,
        exception_handlers={HTTPException: _render_http_error},
        openapi_config=None,
        logging_config=None,
    )


def _render_http_error(request: AnyRequest, error: HTTPException) -> AnyResponse:
    """Return a typed error for what litestar itself refused."""
    reason = (
        RefusalReason.TOO_LARGE
        if error.status_code == 413
        else RefusalReason.INVALID_REQUEST
    )
    response = render_refusal(_refusal(reason, str(error.detail)))
    response.status_code = error.status_code
    return response


def _refusal(reason: RefusalReason, message: str) -> Refusal:
    return Refusal(reason=reason, verdict=Verdict.NOT_RUN, message=message)
