"""Parses callers' HTTP requests into calls."""

import re
from typing import NewType

import msgspec
import xxhash
from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.configuration import Configuration, Organisation, RequestClassSpec
from fuchsiaroute.decoding import DECODER_ERRORS
from fuchsiaroute.entry import Call, ModelTarget, ServiceTarget
from fuchsiaroute.gateway._headers import CallerHeaders
from fuchsiaroute.gateway._refusals import invalid, refuse
from fuchsiaroute.ids import (
    ModelId,
    RequestClass,
    ServiceId,
)
from fuchsiaroute.request import AnyModel, ModelChoice, Request
from fuchsiaroute.verdict import Refusal, RefusalReason

ServicePath = NewType("ServicePath", str)

#: Leading bytes of the messages whose hash identifies a shared prompt prefix.
PREFIX_BYTES = 512


class _Completion(msgspec.Struct):
    """Fields of a completion that routing uses; the body is forwarded unchanged."""

    messages: msgspec.Raw
    model: str = AnyModel.TOKEN.value
    stream: bool = False


_MODEL_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}", re.ASCII)
_COMPLETION = msgspec.json.Decoder(_Completion)
_ANY_OBJECT = msgspec.json.Decoder(dict[str, msgspec.Raw])


def parse_completion(
    *,
    body: bytes,
    headers: CallerHeaders,
    organisation: Organisation,
    configuration: Configuration,
    clock: Clock,
) -> Result[Call, Refusal]:
    """Return the call in a chat-completions request."""
    try:
        completion = _COMPLETION.decode(body)
    except DECODER_ERRORS as error:
        return Failure(invalid(f"the body is malformed: {error}"))
    if not _is_non_empty_list(completion.messages):
        return Failure(invalid("messages must be a list with at least one item"))
    if _MODEL_PATTERN.fullmatch(completion.model) is None:
        return Failure(invalid("model is malformed"))
    spec = _request_class(headers, organisation, configuration)
    if spec is None:
        return Failure(invalid("the product has no such request class"))
    request = Request(
        id=headers.request_id,
        organisation=organisation.id,
        product=organisation.product,
        request_class=spec.id,
        model=_model(completion.model),
        session=headers.session,
        pin=headers.pin,
        deadline=_deadline(headers, clock),
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
    headers: CallerHeaders,
    organisation: Organisation,
    configuration: Configuration,
    clock: Clock,
) -> Result[Call, Refusal]:
    """Return the call of a plain service."""
    try:
        _ANY_OBJECT.decode(body)
    except DECODER_ERRORS as error:
        return Failure(invalid(f"the body is malformed: {error}"))
    matches = [
        (item, call)
        for item in configuration.services
        if item.id == service and service in organisation.permitted_services
        for call in item.calls
        if call.path == path
    ]
    if not matches:
        return Failure(
            refuse(RefusalReason.NOT_PERMITTED, "no permitted service matches")
        )
    item, call = matches[0]
    request = Request(
        id=headers.request_id,
        organisation=organisation.id,
        product=organisation.product,
        request_class=RequestClass(""),
        model=service,
        is_idempotent=call.is_idempotent,
        deadline=_deadline(headers, clock),
    )
    target = ServiceTarget(service=service, path=path, cost=item.cost_per_call)
    return Success(Call(request=request, target=target, body=body))


def _is_non_empty_list(raw: msgspec.Raw) -> bool:
    text = bytes(raw)
    return text.startswith(b"[") and text[1:-1].strip() != b""


def _model(name: str) -> ModelChoice:
    return AnyModel.TOKEN if name == AnyModel.TOKEN.value else ModelId(name)


def _deadline(headers: CallerHeaders, clock: Clock) -> Milliseconds:
    return Milliseconds(clock.wall() + headers.timeout)


def _request_class(
    headers: CallerHeaders, organisation: Organisation, configuration: Configuration
) -> RequestClassSpec | None:
    """Return the class that the caller set, or that with the highest target."""
    specs = [
        spec
        for product in configuration.products
        if product.id == organisation.product
        for spec in product.classes
    ]
    if not headers.request_class:
        return max(specs, key=lambda spec: spec.quality_target, default=None)
    named = (spec for spec in specs if spec.id == headers.request_class)
    return next(named, None)
