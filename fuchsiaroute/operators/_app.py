"""Routes of the operators' interface."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec
from litestar import Litestar, Request as HttpRequest, Response, get, post
from litestar.exceptions import HTTPException
from returns.result import Failure, Result, Success

from fuchsiaroute.declaration import parse
from fuchsiaroute.decoding import DECODER_ERRORS
from fuchsiaroute.ids import ChangeId
from fuchsiaroute.logs import ChangeSubmitted, log_event
from fuchsiaroute.metrics import CONTENT_TYPE
from fuchsiaroute.operators._authentication import OperatorKeys
from fuchsiaroute.operators._interfaces import ChangeLog, EntryView
from fuchsiaroute.operators._messages import (
    ChangeOutcome,
    ChangeReply,
    ExplanationRequest,
    OperatorError,
    SubmittedChange,
)

AnyRequest = HttpRequest[Any, Any, Any]
AnyResponse = Response[bytes]
JSON = "application/json"
#: The configuration of the largest deployment takes a few MiB.
MAX_BODY_BYTES = 16 << 20

_Message = TypeVar("_Message")

_STATUS_OF_OUTCOME = {
    ChangeOutcome.ACCEPTED: 200,
    ChangeOutcome.CONFLICT: 409,
    ChangeOutcome.CHANGE_ID_REUSED: 409,
    ChangeOutcome.INVALID: 422,
    ChangeOutcome.NOT_WRITTEN: 503,
    ChangeOutcome.UNKNOWN: 504,
}


class _RawChange(msgspec.Struct):
    """A change with an undecoded configuration; parsing it reports every fault."""

    change: str
    base: int
    summary: str
    configuration: msgspec.Raw


@dataclass(frozen=True, kw_only=True)
class _Routes:
    """Handlers of the operators' interface."""

    view: EntryView
    changes: ChangeLog
    keys: OperatorKeys

    async def submit(self, request: AnyRequest, author: str) -> AnyResponse:
        """Put a configuration in force."""
        match _decode(await request.body(), _RawChange):
            case Success(raw):
                reply = await self._submit(raw, author)
                return _render(reply, _STATUS_OF_OUTCOME[reply.outcome])
            case Failure(error):
                return _render(error, 400)
        raise AssertionError("a Result is a Success or a Failure")

    async def _submit(self, raw: _RawChange, author: str) -> ChangeReply:
        match parse(bytes(raw.configuration)):
            case Failure(faults):
                return ChangeReply(
                    outcome=ChangeOutcome.INVALID,
                    message="the configuration has errors",
                    faults=faults,
                )
            case Success(configuration):
                change = SubmittedChange(
                    change=ChangeId(raw.change),
                    base=raw.base,  # type: ignore[arg-type]
                    summary=raw.summary,
                    configuration=configuration,
                )
        reply = await self.changes.submit(change, author=author)
        log_event(
            ChangeSubmitted(
                change=change.change,
                base=change.base,
                author=author,
                outcome=reply.outcome.value,
            )
        )
        return reply

    async def outcome(self, request: AnyRequest, author: str) -> AnyResponse:
        """Return the outcome of a change."""
        change = ChangeId(request.path_params["change"])
        reply = await self.changes.outcome(change)
        return _render(reply, _STATUS_OF_OUTCOME[reply.outcome])

    async def in_force(self, request: AnyRequest, author: str) -> AnyResponse:
        """Return the configuration in force, with the digests of callers' keys."""
        return _render(self.view.in_force(), 200)

    async def explain(self, request: AnyRequest, author: str) -> AnyResponse:
        """Return how a request would be routed."""
        match _decode(await request.body(), ExplanationRequest):
            case Success(question):
                return _render(self.view.explain(question), 200)
            case Failure(error):
                return _render(error, 400)
        raise AssertionError("a Result is a Success or a Failure")

    async def call_authenticated(
        self, request: AnyRequest, handler: Callable[..., Any]
    ) -> AnyResponse:
        """Call ``handler`` with the author, or refuse a request without a valid key."""
        author = self.keys.author(request.scope["headers"])
        if not author:
            return _render(OperatorError(message="an operator key is required"), 401)
        response: AnyResponse = await handler(request, author)
        return response


def build_operators_app(
    *, view: EntryView, changes: ChangeLog, keys: OperatorKeys
) -> Litestar:
    """
    Return the application that serves operators, on an address of its own.

    Status, readiness and metrics need no key and contain no secret; every other
    route requires an operator's key.
    """
    routes = _Routes(view=view, changes=changes, keys=keys)

    @get("/v1/status")
    async def status(request: AnyRequest) -> AnyResponse:
        return _render(view.status(), 200)

    @get("/v1/ready")
    async def ready(request: AnyRequest) -> AnyResponse:
        current_status = view.status()
        return _render(current_status.is_ready, 200 if current_status.is_ready else 503)

    @get("/metrics")
    async def scrape(request: AnyRequest) -> AnyResponse:
        return Response(content=view.metrics(), media_type=CONTENT_TYPE)

    @get("/v1/configuration")
    async def in_force(request: AnyRequest) -> AnyResponse:
        return await routes.call_authenticated(request, routes.in_force)

    @post("/v1/changes")
    async def submit(request: AnyRequest) -> AnyResponse:
        return await routes.call_authenticated(request, routes.submit)

    @get("/v1/changes/{change:str}")
    async def outcome(request: AnyRequest) -> AnyResponse:
        return await routes.call_authenticated(request, routes.outcome)

    @post("/v1/explain")
    async def explain(request: AnyRequest) -> AnyResponse:
        return await routes.call_authenticated(request, routes.explain)

    return Litestar(
        route_handlers=[status, ready, scrape, in_force, submit, outcome, explain],
        request_max_body_size=MAX_BODY_BYTES,
        exception_handlers={HTTPException: _render_http_error},
        openapi_config=None,
        logging_config=None,
    )


def _decode(body: bytes, message: type[_Message]) -> Result[_Message, OperatorError]:
    try:
        return Success(msgspec.json.decode(body, type=message))
    except DECODER_ERRORS as error:
        return Failure(OperatorError(message=str(error)))


def _render(message: object, status: int) -> AnyResponse:
    return Response(
        content=msgspec.json.encode(message), status_code=status, media_type=JSON
    )


def _render_http_error(request: AnyRequest, error: HTTPException) -> AnyResponse:
    return _render(OperatorError(message=str(error.detail)), error.status_code)
