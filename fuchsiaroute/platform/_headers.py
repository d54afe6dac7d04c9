"""Header fields of requests and responses: the platform's names and forms."""

import math
from dataclasses import dataclass
from typing import NewType

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.http1 import Headers, end_to_end_headers, find_header
from fuchsiaroute.ids import EndpointId, ModelId, OrganisationId, RequestId

#: Position in an event stream, as the endpoint counts its events.
EventId = NewType("EventId", str)

_REQUEST_ID = b"x-request-id"
_MODEL = b"x-model"
_ANY_MODEL = b"*"
_DEADLINE = b"x-deadline-ms"
_KEY = b"x-key"
_LAST_EVENT = b"last-event-id"
_PREFIX = b"x-prompt-prefix"
_TOKENS = b"x-token-counts"
_HINT = b"x-length-hint"
_SIGNATURE = b"x-response-signature"
_CONFIDENCE = b"x-confidence"
#: The endpoint did not run the request, and never will.
_NOT_RUN = b"x-not-executed"
#: Another endpoint has the address; it did not run the request.
_MISDIRECTED = 421
_FULL_CONFIDENCE = 100.0

#: Fields that the router sets itself, whatever the caller sent, and the caller's key.
_OWN_FIELDS = frozenset(
    {
        _KEY,
        _DEADLINE,
        b"x-tenant",
        b"x-expect-instance",
        b"x-expect-version",
        b"x-request-priority",
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
    }
)
_WITH_MODEL = _OWN_FIELDS | {_MODEL}
_WITH_EVENT = frozenset({_LAST_EVENT})
_LOWEST_PRIORITY = 9


@dataclass(frozen=True, kw_only=True)
class PromptPart:
    """A part of a prompt; equal ids mean equal tokens."""

    id: str
    tokens: int


@dataclass(frozen=True, kw_only=True)
class RequestFields:
    """What a caller's header section says."""

    request_id: RequestId | None
    host: str
    #: None if the caller leaves the choice to the router or needs no model.
    model: ModelId | None
    accepts_any_model: bool
    #: Time for which the caller waits; None if it does not say.
    timeout: Milliseconds | None
    key: bytes | None
    #: In the order of the prompt; the last one is the request's or its session's own.
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    max_output_tokens: int
    #: The caller's rough estimate of the output's length.
    expected_output_tokens: int | None
    #: Event after which the caller wants its stream to go on.
    last_event: EventId | None
    #: Names of fields that cannot be read and therefore count as absent.
    unreadable: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class ResponseFields:
    """What an endpoint's header section says."""

    request_id: bytes | None
    is_signed: bool
    #: Whether the endpoint promises that the request has not run and never will.
    is_not_run: bool
    #: The model's own opinion of its answer, from 0 to 1; None if it has none.
    confidence: float | None
    #: Names of fields that cannot be read and therefore count as absent.
    unreadable: tuple[str, ...] = ()


def read_request(headers: Headers) -> RequestFields:
    """Decode a caller's header section; fields that cannot be read count as absent."""
    fields = {name.lower(): value for name, value in headers}
    model = fields.get(_MODEL)
    counts = _numbers(fields.get(_TOKENS, b""))
    prompt = _prompt(fields.get(_PREFIX, b""))
    timeout = _number(fields.get(_DEADLINE))
    hint = _number(fields.get(_HINT))
    unreadable = [
        name.decode("latin-1")
        for name, is_read in (
            (_TOKENS, len(counts) == _items(fields.get(_TOKENS))),
            (_PREFIX, len(prompt) == _items(fields.get(_PREFIX))),
            (_DEADLINE, timeout is not None or _DEADLINE not in fields),
            (_HINT, hint is not None or _HINT not in fields),
        )
        if not is_read
    ]
    request_id = fields.get(_REQUEST_ID)
    last_event = fields.get(_LAST_EVENT)
    host = fields.get(b"host", b"").decode("latin-1").lower()
    return RequestFields(
        request_id=RequestId(request_id.decode("latin-1")) if request_id else None,
        host=host.partition(":")[0],
        model=ModelId(model.decode("latin-1")) if model else None,
        accepts_any_model=model == _ANY_MODEL,
        timeout=Milliseconds(timeout) if timeout is not None else None,
        key=fields.get(_KEY),
        prompt=prompt,
        prompt_tokens=counts[0] if counts else sum(part.tokens for part in prompt),
        max_output_tokens=counts[1] if len(counts) > 1 else 0,
        expected_output_tokens=hint,
        last_event=EventId(last_event.decode("latin-1")) if last_event else None,
        unreadable=tuple(unreadable),
    )


def endpoint_headers(
    headers: Headers,
    *,
    endpoint: EndpointId,
    organisation: OrganisationId | None,
    remaining: Milliseconds,
    priority: int,
    model: ModelId | None,
    resume_after: EventId | None,
) -> Headers:
    """
    Return the header section for an endpoint.

    ``model`` replaces the caller's choice and ``resume_after`` its position in the
    stream, unless they are None. ``remaining`` is the time left in milliseconds.
    """
    without = _OWN_FIELDS if model is None else _WITH_MODEL
    if resume_after is not None:
        without |= _WITH_EVENT
    passed = end_to_end_headers(headers, without=without)
    passed.append((b"X-Deadline-Ms", b"%d" % max(remaining, 1)))
    passed.append((b"X-Expect-Instance", endpoint.encode("latin-1")))
    rank = min(max(priority, 0), _LOWEST_PRIORITY)
    passed.append((b"X-Request-Priority", b"%d" % rank))
    if organisation is not None:
        passed.append((b"X-Tenant", organisation.encode()))
    if model is not None:
        passed.append((b"X-Model", model.encode()))
    if resume_after is not None:
        passed.append((b"Last-Event-Id", resume_after.encode("latin-1")))
    return passed


def read_response(status: int, headers: Headers) -> ResponseFields:
    """Decode an endpoint's header section."""
    told = find_header(headers, _CONFIDENCE)
    confidence = _confidence(told)
    is_unreadable = told is not None and confidence is None
    return ResponseFields(
        request_id=find_header(headers, _REQUEST_ID),
        is_signed=find_header(headers, _SIGNATURE) is not None,
        is_not_run=status == _MISDIRECTED or find_header(headers, _NOT_RUN) is not None,
        confidence=confidence,
        unreadable=(_CONFIDENCE.decode(),) if is_unreadable else (),
    )


def is_response_to(request_id: RequestId | None, headers: Headers) -> bool:
    """Return whether a response names ``request_id``, or none at all."""
    named = find_header(headers, _REQUEST_ID)
    if named is None or request_id is None:
        return True
    return named.decode("latin-1") == request_id


def caller_headers(headers: Headers) -> Headers:
    """Return the header section of an endpoint's response for the caller."""
    return end_to_end_headers(headers, without=frozenset({_NOT_RUN}))


def retry_after(delay: Milliseconds) -> tuple[bytes, bytes]:
    """Return the field that tells a caller when to come back."""
    return (b"Retry-After", b"%.2f" % (delay / 1_000))


def local_reply_headers(request_id: RequestId | None) -> Headers:
    """Return the fields of a response that the router gives itself."""
    if request_id is None:
        return []
    return [(b"X-Request-Id", request_id.encode("latin-1"))]


def _confidence(value: bytes | None) -> float | None:
    try:
        confidence = float(value) / _FULL_CONFIDENCE if value is not None else None
    except ValueError:
        # Told to the caller of the decoder as unreadable.
        return None
    return confidence if confidence is None or math.isfinite(confidence) else None


def _number(value: bytes | None) -> int | None:
    if value is None or not value.strip().isdigit():
        return None
    return int(value)


def _items(value: bytes | None) -> int:
    return len(value.split(b",")) if value else 0


def _numbers(value: bytes) -> list[int]:
    return [int(item) for item in value.split(b",") if item.strip().isdigit()]


def _prompt(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for item in value.split(b","):
        name, _, tokens = item.strip().partition(b":")
        if name and tokens.isdigit():
            parts.append(PromptPart(id=name.decode("latin-1"), tokens=int(tokens)))
    return tuple(parts)
