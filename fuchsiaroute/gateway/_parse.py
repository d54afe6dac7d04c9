"""Callers' HTTP requests become calls."""

import secrets
from collections.abc import Mapping
from typing import NewType

import msgspec
import xxhash
from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.configuration import Configuration, Organisation, RequestClassSpec
from fuchsiaroute.entry import Call, ModelTarget, ServiceTarget
from fuchsiaroute.ids import (
    ModelId,
    RequestClass,
    RequestId,
    ServiceId,
    SessionId,
)
from fuchsiaroute.request import AnyModel, ModelChoice, NoSession, Request
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

Headers = Mapping[str, str]
ServicePath = NewType("ServicePath", str)

REQUEST_ID_HEADER = "x-request-id"
REQUEST_CLASS_HEADER = "x-request-class"
SESSION_HEADER = "x-session-id"
PIN_HEADER = "x-session-pin"
TIMEOUT_HEADER = "x-timeout-ms"
DEFAULT_TIMEOUT = Milliseconds(60_000)
MAXIMUM_TIMEOUT = Milliseconds(600_000)
REQUEST_ID_BYTES = 16
#: Bytes of the messages that identify a shared prompt prefix.
PREFIX_BYTES = 512


class _Completion(msgspec.Struct):
    """The fields of a completion that routing reads; the rest passes through."""

    messages: msgspec.Raw
    model: str = AnyModel.TOKEN.value
    stream: bool = False


_COMPLETION = msgspec.json.Decoder(_Completion)
_ANY_OBJECT = msgspec.json.Decoder(dict[str, msgspec.Raw])


def parse_completion(
    *,
    body: bytes,
    headers: Headers,
    organisation: Organisation,
    configuration: Configuration,
    clock: Clock,
) -> Result[Call, Refusal]:
    """Return the call in a chat-completions request."""
    try:
        completion = _COMPLETION.decode(body)
    except msgspec.MsgspecError as error:
        return _invalid(str(error))
    deadline = _deadline(headers, clock)
    if isinstance(deadline, Refusal):
        return Failure(deadline)
    spec = _request_class(headers, organisation, configuration)
    if spec is None:
        return _invalid("the product has no such request class")
    session = headers.get(SESSION_HEADER, "")
    request = Request(
        id=_request_id(headers),
        organisation=organisation.id,
        product=organisation.product,
        request_class=spec.id,
        model=_model(completion.model),
        session=SessionId(session) if session else NoSession.TOKEN,
        pin=headers.get(PIN_HEADER, ""),
        deadline=deadline,
        prefix_hash=xxhash.xxh3_64_intdigest(bytes(completion.messages)[:PREFIX_BYTES]),
        expected_tokens=spec.expected_tokens,
        is_streamed=completion.stream,
    )
    return Success(Call(request=request, target=ModelTarget(), body=body))


def parse_service_call(
    *,
    service: ServiceId,
    path: ServicePath,
    body: bytes,
    headers: Headers,
    organisation: Organisation,
    configuration: Configuration,
    clock: Clock,
) -> Result[Call, Refusal]:
    """Return the call of a plain service."""
    try:
        _ANY_OBJECT.decode(body)
    except msgspec.MsgspecError as error:
        return _invalid(str(error))
    deadline = _deadline(headers, clock)
    if isinstance(deadline, Refusal):
        return Failure(deadline)
    declared = [
        (item, call)
        for item in configuration.services
        if item.id == service and service in organisation.permitted_services
        for call in item.calls
        if call.path == path
    ]
    if not declared:
        return _refuse(RefusalReason.NOT_PERMITTED, "no permitted service matches")
    item, call = declared[0]
    request = Request(
        id=_request_id(headers),
        organisation=organisation.id,
        product=organisation.product,
        request_class=RequestClass(""),
        model=service,
        is_idempotent=call.is_idempotent,
        deadline=deadline,
    )
    target = ServiceTarget(service=service, path=path, cost=item.cost_per_call)
    return Success(Call(request=request, target=target, body=body))


def _request_id(headers: Headers) -> RequestId:
    given = headers.get(REQUEST_ID_HEADER, "")
    return RequestId(given or secrets.token_hex(REQUEST_ID_BYTES))


def _model(name: str) -> ModelChoice:
    return AnyModel.TOKEN if name == AnyModel.TOKEN.value else ModelId(name)


def _deadline(headers: Headers, clock: Clock) -> Milliseconds | Refusal:
    text = headers.get(TIMEOUT_HEADER, str(DEFAULT_TIMEOUT))
    if not text.isascii() or not text.isdigit():
        return _refusal(RefusalReason.INVALID_REQUEST, "the timeout is no number")
    timeout = min(int(text), MAXIMUM_TIMEOUT)
    return Milliseconds(clock.wall() + timeout)


def _request_class(
    headers: Headers, organisation: Organisation, configuration: Configuration
) -> RequestClassSpec | None:
    """Return the class named, or the product's most demanding one if none is."""
    specs = [
        spec
        for product in configuration.products
        if product.id == organisation.product
        for spec in product.classes
    ]
    name = headers.get(REQUEST_CLASS_HEADER, "")
    if not name:
        return max(specs, key=lambda spec: spec.quality_target, default=None)
    return next((spec for spec in specs if spec.id == name), None)


def _refusal(reason: RefusalReason, message: str) -> Refusal:
    return Refusal(reason=reason, verdict=Verdict.NOT_RUN, message=message)


def _refuse(reason: RefusalReason, message: str) -> Result[Call, Refusal]:
    return Failure(_refusal(reason, message))


def _invalid(message: str) -> Result[Call, Refusal]:
    return _refuse(RefusalReason.INVALID_REQUEST, message)
