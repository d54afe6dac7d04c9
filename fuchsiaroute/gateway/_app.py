"""Routes of the callers' interface."""

import logging
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import Any

import msgspec
from litestar import Litestar, Request as HttpRequest, Response, get, post
from litestar.exceptions import HTTPException
from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock
from fuchsiaroute.configuration import Organisation
from fuchsiaroute.dispatch import BrokenAnswerError
from fuchsiaroute.entry import Answer, Call, CallHandler, CurrentConfiguration
from fuchsiaroute.gateway._advice import AdviceSource
from fuchsiaroute.gateway._authentication import KeyIndex
from fuchsiaroute.gateway._body import read_within
from fuchsiaroute.gateway._headers import (
    REQUEST_ID_HEADER,
    CallerHeaders,
    parse_headers,
    parse_key,
)
from fuchsiaroute.gateway._limits import CallerLimits
from fuchsiaroute.gateway._parse import (
    ServicePath,
    parse_completion,
    parse_service_call,
)
from fuchsiaroute.gateway._refusals import invalid, refuse
from fuchsiaroute.gateway._render import render_answer, render_refusal
from fuchsiaroute.gateway._request_ids import RequestIds, issue_ids
from fuchsiaroute.ids import RequestId, ServiceId
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

AnyRequest = HttpRequest[Any, Any, Any]
AnyResponse = Response[Any]

DEFAULT_LIMITS = CallerLimits()


_LOGGER = logging.getLogger(__name__)
#: Refusals of what is no well-formed request of a known organisation.
_MALFORMED = frozenset(
    {
        RefusalReason.INVALID_REQUEST,
        RefusalReason.TOO_LARGE,
        RefusalReason.UNAUTHENTICATED,
    }
)
_REASON_OF_STATUS = {413: RefusalReason.TOO_LARGE}


@dataclass(frozen=True, kw_only=True)
class _Received:
    """A request of a known caller, with its whole body."""

    organisation: Organisation
    headers: CallerHeaders
    body: bytes


class _Routes:
    """Handlers of the callers' interface."""

    def __init__(
        self,
        *,
        pipeline: CallHandler,
        current: CurrentConfiguration,
        keys: KeyIndex,
        clock: Clock,
        limits: CallerLimits,
        request_ids: RequestIds | None,
    ) -> None:
        self._pipeline = pipeline
        self._current = current
        self._keys = keys
        self._clock = clock
        self._limits = limits
        self._request_ids = request_ids

    async def complete(self, request: AnyRequest) -> AnyResponse:
        """Answer a chat-completions request."""
        match await self._receive(request):
            case Success(received):
                parsed = parse_completion(
                    body=received.body,
                    headers=received.headers,
                    organisation=received.organisation,
                    configuration=self._current.configuration,
                    clock=self._clock,
                )
                return await self._answer(parsed)
            case Failure(refusal):
                return render_refusal(refusal)
        raise AssertionError("a Result is a Success or a Failure")

    async def call_service(
        self, request: AnyRequest, service: ServiceId, path: ServicePath
    ) -> AnyResponse:
        """Answer a call of a plain service."""
        match await self._receive(request):
            case Success(received):
                parsed = parse_service_call(
                    service=service,
                    path=path,
                    body=received.body,
                    headers=received.headers,
                    organisation=received.organisation,
                    configuration=self._current.configuration,
                    clock=self._clock,
                )
                if not received.headers.is_id_chosen:
                    parsed = parsed.map(self._with_issued_id)
                if isinstance(parsed, Failure):
                    return render_refusal(_unclaimed(parsed.failure(), request))
                return await self._answer(parsed)
            case Failure(refusal):
                return render_refusal(_unclaimed(refusal, request))
        raise AssertionError("a Result is a Success or a Failure")

    def issue_ids(self, request: AnyRequest) -> AnyResponse:
        """Issue ids of requests that this entry alone dispatches."""
        organisation = parse_key(request.scope["headers"]).bind(self._organisation)
        if isinstance(organisation, Failure):
            return render_refusal(organisation.failure())
        if self._request_ids is None:
            return render_refusal(invalid("this entry issues no request ids"))
        count = request.query_params.get("count", "1")
        match issue_ids(self._request_ids, organisation.unwrap().id, count):
            case Success(issued):
                return Response(
                    content=msgspec.json.encode(issued), media_type="application/json"
                )
            case Failure(refusal):
                return render_refusal(refusal)
        raise AssertionError("a Result is a Success or a Failure")

    def _with_issued_id(self, call: Call) -> Call:
        """Return ``call`` with an id that needs no claim in the store."""
        if call.request.is_idempotent or self._request_ids is None:
            return call
        issued = self._request_ids.issue(call.request.organisation)
        return replace(call, request=replace(call.request, id=issued))

    async def _receive(self, request: AnyRequest) -> Result[_Received, Refusal]:
        """Return the request; the body of an unknown caller is not read."""
        raw = request.scope["headers"]
        organisation = parse_key(raw).bind(self._organisation)
        if isinstance(organisation, Failure):
            return organisation
        headers = parse_headers(raw, limits=self._limits)
        if isinstance(headers, Failure):
            return headers
        body = await read_within(
            request.body(), clock=self._clock, limit=self._limits.body_timeout
        )
        return body.map(
            lambda content: _Received(
                organisation=organisation.unwrap(),
                headers=headers.unwrap(),
                body=content,
            )
        )

    def _organisation(self, key: str) -> Result[Organisation, Refusal]:
        if not self._current.is_ready:
            message = "no configuration is in force"
            return Failure(refuse(RefusalReason.NOT_READY, message))
        organisation = self._keys.find(key)
        if organisation is None:
            return Failure(refuse(RefusalReason.UNAUTHENTICATED, "the key is unknown"))
        return Success(organisation)

    async def _answer(self, parsed: Result[Call, Refusal]) -> AnyResponse:
        match parsed:
            case Success(call):
                match await self._pipeline.handle(call):
                    case Success(answer):
                        return await _render_started(answer, call.request.id)
                    case Failure(refusal):
                        return render_refusal(refusal)
            case Failure(refusal):
                return render_refusal(refusal)
        raise AssertionError("a Result is a Success or a Failure")


def _caller(request: AnyRequest) -> str:
    """
    Return what tells one caller from another for the spread over entries.

    Many callers may share one address, as behind an office's connection, and one
    organisation may have many addresses; together they spread best.
    """
    host = request.client.host if request.client else ""
    return f"{host}|{request.headers.get('authorization', '')}"


def _unclaimed(refusal: Refusal, request: AnyRequest) -> Refusal:
    """
    Return ``refusal`` with a verdict that needs no look at the request's claim.

    A request whose id the caller chose may have run before, at any entry. Only a
    request that is malformed is certainly another one than the id names.
    """
    is_id_chosen = REQUEST_ID_HEADER in request.headers
    if not is_id_chosen or refusal.reason in _MALFORMED:
        return refusal
    return replace(refusal, verdict=Verdict.MAY_HAVE_RUN)


async def _render_started(answer: Answer, request: RequestId) -> AnyResponse:
    """Return the answer, or a typed error if it breaks before its first byte."""
    try:
        return await render_answer(answer, request)
    except BrokenAnswerError as error:
        refusal = Refusal(
            reason=RefusalReason.ENDPOINT_FAILED,
            verdict=Verdict.MAY_HAVE_RUN,
            message=f"the answer broke off before its first byte: {error}",
        )
        return render_refusal(refusal)


def build_app(
    *,
    pipeline: CallHandler,
    current: CurrentConfiguration,
    advice: AdviceSource,
    clock: Clock,
    limits: CallerLimits = DEFAULT_LIMITS,
    request_ids: RequestIds | None = None,
) -> Litestar:
    """Return the application that serves callers."""
    keys = KeyIndex()
    current.subscribe(keys.update)
    routes = _Routes(
        pipeline=pipeline,
        current=current,
        keys=keys,
        clock=clock,
        limits=limits,
        request_ids=request_ids,
    )

    @post("/v1/chat/completions")
    async def complete(request: AnyRequest) -> AnyResponse:
        return await routes.complete(request)

    @post("/v1/services/{service:str}/{path:path}")
    async def call_service(request: AnyRequest) -> AnyResponse:
        service = ServiceId(request.path_params["service"])
        path = str(request.path_params["path"]).lstrip("/")
        return await routes.call_service(request, service, ServicePath(f"/{path}"))

    @post("/v1/request-ids", status_code=HTTPStatus.OK)
    async def request_ids_route(request: AnyRequest) -> AnyResponse:
        return routes.issue_ids(request)

    @get("/v1/entries")
    async def entries(request: AnyRequest) -> AnyResponse:
        failure_domain = request.query_params.get("failure_domain", "")
        advised = advice.advise(caller=_caller(request), failure_domain=failure_domain)
        return Response(
            content=msgspec.json.encode(advised), media_type="application/json"
        )

    return Litestar(
        route_handlers=[complete, call_service, request_ids_route, entries],
        request_max_body_size=limits.max_body,
        exception_handlers={
            HTTPException: _render_http_error,
            Exception: _render_unforeseen,
        },
        openapi_config=None,
        logging_config=None,
    )


def _render_http_error(request: AnyRequest, error: HTTPException) -> AnyResponse:
    """Return a typed error for what litestar itself refused."""
    reason = _REASON_OF_STATUS.get(error.status_code, RefusalReason.INVALID_REQUEST)
    response = render_refusal(refuse(reason, HTTPStatus(error.status_code).phrase))
    response.status_code = error.status_code
    return response


def _render_unforeseen(request: AnyRequest, error: Exception) -> AnyResponse:
    """Return a typed error for a defect; the request may have been dispatched."""
    _LOGGER.error("unforeseen %s", type(error).__name__, exc_info=error)
    refusal = Refusal(
        reason=RefusalReason.INTERNAL,
        verdict=Verdict.MAY_HAVE_RUN,
        message="the entry failed",
    )
    return render_refusal(refusal)
