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
from fuchsiaroute.gateway._body import read_with_timeout
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
#: Reasons for which a request is malformed or not authenticated.
_INVALID_REQUEST_REASONS = frozenset(
    {
        RefusalReason.INVALID_REQUEST,
        RefusalReason.TOO_LARGE,
        RefusalReason.UNAUTHENTICATED,
    }
)
_REASON_BY_STATUS = {413: RefusalReason.TOO_LARGE}


@dataclass(frozen=True, kw_only=True)
class _ReceivedRequest:
    """An authenticated request with its whole body."""

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
                if not received.headers.is_id_from_caller:
                    parsed = parsed.map(self._with_issued_id)
                if isinstance(parsed, Failure):
                    return render_refusal(
                        _with_request_verdict(parsed.failure(), request)
                    )
                return await self._answer(parsed)
            case Failure(refusal):
                return render_refusal(_with_request_verdict(refusal, request))
        raise AssertionError("a Result is a Success or a Failure")

    def issue_ids(self, request: AnyRequest) -> AnyResponse:
        """Issue ids for requests that only this entry dispatches."""
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
        """Return ``call`` with an issued id, which needs no claim in the store."""
        if call.request.is_idempotent or self._request_ids is None:
            return call
        issued = self._request_ids.issue(call.request.organisation)
        return replace(call, request=replace(call.request, id=issued))

    async def _receive(self, request: AnyRequest) -> Result[_ReceivedRequest, Refusal]:
        """Authenticate the request, then read its body."""
        raw = request.scope["headers"]
        organisation = parse_key(raw).bind(self._organisation)
        if isinstance(organisation, Failure):
            return organisation
        headers = parse_headers(raw, limits=self._limits)
        if isinstance(headers, Failure):
            return headers
        body = await read_with_timeout(
            request.body(), clock=self._clock, time_limit=self._limits.body_timeout
        )
        return body.map(
            lambda content: _ReceivedRequest(
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
                        return await _render_or_refuse(answer, call.request.id)
                    case Failure(refusal):
                        return render_refusal(refusal)
            case Failure(refusal):
                return render_refusal(refusal)
        raise AssertionError("a Result is a Success or a Failure")


def _caller_identity(request: AnyRequest) -> str:
    """
    Return the value by which callers are spread over the entries.

    Callers behind one NAT share an address, and the callers of an organisation share
    a key. The combination of both separates most callers.
    """
    host = request.client.host if request.client else ""
    return f"{host}|{request.headers.get('authorization', '')}"


def _with_request_verdict(refusal: Refusal, request: AnyRequest) -> Refusal:
    """
    Return ``refusal`` with the verdict on the request instead of this attempt.

    A request whose id was set by the caller may have run before, on any entry, and
    its claim is not looked up here. A malformed request cannot be the one that ran
    under this id and keeps its verdict.
    """
    is_id_from_caller = REQUEST_ID_HEADER in request.headers
    if not is_id_from_caller or refusal.reason in _INVALID_REQUEST_REASONS:
        return refusal
    return replace(refusal, verdict=Verdict.MAY_HAVE_RUN)


async def _render_or_refuse(answer: Answer, request: RequestId) -> AnyResponse:
    """Return the answer, or a typed error if it fails before its first byte."""
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
        advised = advice.advise(
            caller=_caller_identity(request), failure_domain=failure_domain
        )
        return Response(
            content=msgspec.json.encode(advised), media_type="application/json"
        )

    return Litestar(
        route_handlers=[complete, call_service, request_ids_route, entries],
        request_max_body_size=limits.max_body,
        exception_handlers={
            HTTPException: _render_http_error,
            Exception: _render_unexpected_error,
        },
        openapi_config=None,
        logging_config=None,
    )


def _render_http_error(request: AnyRequest, error: HTTPException) -> AnyResponse:
    """Return a typed error for a request that litestar refused."""
    reason = _REASON_BY_STATUS.get(error.status_code, RefusalReason.INVALID_REQUEST)
    response = render_refusal(refuse(reason, HTTPStatus(error.status_code).phrase))
    response.status_code = error.status_code
    return response


def _render_unexpected_error(request: AnyRequest, error: Exception) -> AnyResponse:
    """Return a typed error; the request may have been dispatched before the defect."""
    _LOGGER.error("unhandled exception %s", type(error).__name__, exc_info=error)
    refusal = Refusal(
        reason=RefusalReason.INTERNAL,
        verdict=Verdict.MAY_HAVE_RUN,
        message="the entry failed",
    )
    return render_refusal(refusal)
