"""Header fields that the platform defines for requests and responses."""

import math
from dataclasses import dataclass
from enum import Enum
from typing import NewType

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.decoding import parse_digits
from fuchsiaroute.http1 import Headers, end_to_end_headers, find_header
from fuchsiaroute.ids import EndpointId, ModelId, OrganisationId, RequestId

#: Id of an event in a stream, assigned by the endpoint.
EventId = NewType("EventId", str)

_REQUEST_ID = b"x-request-id"
_MODEL = b"x-model"
_ANY_MODEL = b"*"
_DEADLINE = b"x-deadline-ms"
_API_KEY = b"x-key"
_LAST_EVENT_ID = b"last-event-id"
_PROMPT_PREFIX = b"x-prompt-prefix"
_TOKEN_COUNTS = b"x-token-counts"
_LENGTH_HINT = b"x-length-hint"
_SIGNATURE = b"x-response-signature"
_CONFIDENCE = b"x-confidence"
#: Set by an endpoint that has not run the request and never will.
_NOT_RUN = b"x-not-executed"
#: Set to 1 by an endpoint that is about to stop.
_LEAVING = b"server-leaving"
_IS_LEAVING = b"1"
#: Requests a second, a decimal number, that the endpoint takes from all instances.
_REQUEST_RATE = b"server-limit"
#: Rejections for want of room in a second, a decimal number, beyond which the endpoint
#: falls over.
_REJECTION_TOLERANCE = b"server-brittle"
_INSTANCE = b"x-instance-id"
_RETRY_AFTER = b"retry-after"
_CONTENT_TYPE = b"content-type"
_EVENT_STREAM = b"text/event-stream"
#: Limits the time to a value that the clock can add.
_MAX_RETRY_AFTER_SECONDS = 30.0 * 24 * 3_600
_UNAVAILABLE = 503
#: 421: the address belongs to another endpoint, which did not run the request.
_MISDIRECTED = 421
#: Statuses that tell a caller that its request has not run and never will.
_NOT_RUN_STATUSES = frozenset({408, _MISDIRECTED, 429, _UNAVAILABLE})
#: The confidence field is a percentage.
_FULL_CONFIDENCE = 100.0

#: Fields of the caller that are never forwarded: those that only the router may set,
#: and the caller's key.
_ROUTER_FIELDS = frozenset(
    {
        _API_KEY,
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
_ROUTER_FIELDS_AND_MODEL = _ROUTER_FIELDS | {_MODEL}
_LAST_EVENT_ID_ONLY = frozenset({_LAST_EVENT_ID})
#: Priorities range from 0, the highest, to this value.
_LOWEST_PRIORITY = 9


@dataclass(frozen=True, kw_only=True)
class PromptPart:
    """A part of a prompt; equal ids mean equal tokens."""

    id: str
    tokens: int


@dataclass(frozen=True, kw_only=True)
class RequestFields:
    """Decoded header section of a caller's request."""

    request_id: RequestId | None
    host: str
    #: None if the caller leaves the choice to the router or needs no model.
    model: ModelId | None
    accepts_any_model: bool
    #: Time that the caller allows for the response; None if it states none.
    timeout: Milliseconds | None
    key: bytes | None
    #: In prompt order; the last part belongs to this request or its session alone.
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    max_output_tokens: int
    #: The caller's rough estimate of the output's length.
    expected_output_tokens: int | None
    #: Last event that the caller received of the stream that it resumes.
    last_event: EventId | None
    #: Names of malformed fields, which count as absent.
    unreadable: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class ResponseFields:
    """Decoded header section of an endpoint's response."""

    request_id: bytes | None
    is_signed: bool
    #: Whether the endpoint guarantees that the request has not run and never will.
    is_not_run: bool
    #: The endpoint that answers 421; None if it does not state its id.
    misdirected_to: EndpointId | None
    #: The model's confidence in its answer, from 0 to 1; None if it states none.
    confidence: float | None
    #: Whether the body is a series of events; None if its type is not stated.
    is_event_stream: bool | None = None
    #: Whether the endpoint is about to stop and wants no new requests.
    is_leaving: bool = False
    #: Time for which the endpoint wants no requests from this instance; None if it
    #: states none.
    back_off: Milliseconds | None = None
    #: Requests a second that the endpoint takes from all instances together; None if
    #: it names no rate.
    request_rate: float | None = None
    is_rate_unreadable: bool = False
    #: Rejections a second beyond which the endpoint falls over; None if it is not
    #: brittle.
    rejection_tolerance: float | None = None
    is_tolerance_unreadable: bool = False
    #: Names of malformed fields, which count as absent.
    unreadable: tuple[str, ...] = ()


def read_request(headers: Headers) -> RequestFields:
    """Decode a caller's header section; malformed fields count as absent."""
    fields = {name.lower(): value for name, value in headers}
    model = fields.get(_MODEL)
    counts = _parse_numbers(fields.get(_TOKEN_COUNTS, b""))
    prompt = _parse_prompt(fields.get(_PROMPT_PREFIX, b""))
    timeout = _parse_number(fields.get(_DEADLINE))
    length_hint = _parse_number(fields.get(_LENGTH_HINT))
    unreadable = [
        name.decode("latin-1")
        for name, is_read in (
            (_TOKEN_COUNTS, len(counts) == _item_count(fields.get(_TOKEN_COUNTS))),
            (_PROMPT_PREFIX, len(prompt) == _item_count(fields.get(_PROMPT_PREFIX))),
            (_DEADLINE, timeout is not None or _DEADLINE not in fields),
            (_LENGTH_HINT, length_hint is not None or _LENGTH_HINT not in fields),
        )
        if not is_read
    ]
    request_id = fields.get(_REQUEST_ID)
    last_event = fields.get(_LAST_EVENT_ID)
    host = fields.get(b"host", b"").decode("latin-1").lower()
    return RequestFields(
        request_id=RequestId(request_id.decode("latin-1")) if request_id else None,
        host=host.partition(":")[0],
        model=ModelId(model.decode("latin-1")) if model else None,
        accepts_any_model=model == _ANY_MODEL,
        timeout=Milliseconds(timeout) if timeout is not None else None,
        key=fields.get(_API_KEY),
        prompt=prompt,
        prompt_tokens=counts[0] if counts else sum(part.tokens for part in prompt),
        max_output_tokens=counts[1] if len(counts) > 1 else 0,
        expected_output_tokens=length_hint,
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
    Return the header section of a request to an endpoint.

    ``model`` replaces the caller's ``X-Model`` and ``resume_after`` its
    ``Last-Event-Id``, unless they are None. ``remaining`` is the time until the
    request's deadline; the endpoint is given at least 1 ms.
    """
    excluded = _ROUTER_FIELDS if model is None else _ROUTER_FIELDS_AND_MODEL
    if resume_after is not None:
        excluded |= _LAST_EVENT_ID_ONLY
    forwarded = end_to_end_headers(headers, excluded=excluded)
    forwarded.append((b"X-Deadline-Ms", b"%d" % max(remaining, 1)))
    forwarded.append((b"X-Expect-Instance", endpoint.encode("latin-1")))
    clamped_priority = min(max(priority, 0), _LOWEST_PRIORITY)
    forwarded.append((b"X-Request-Priority", b"%d" % clamped_priority))
    if organisation is not None:
        forwarded.append((b"X-Tenant", organisation.encode()))
    if model is not None:
        forwarded.append((b"X-Model", model.encode()))
    if resume_after is not None:
        forwarded.append((b"Last-Event-Id", resume_after.encode("latin-1")))
    return forwarded


def read_response(status: int, headers: Headers) -> ResponseFields:
    """Decode an endpoint's header section."""
    value = find_header(headers, _CONFIDENCE)
    confidence = _parse_confidence(value)
    unreadable = []
    if value is not None and confidence is None:
        unreadable.append(_CONFIDENCE.decode())
    # At an address that belongs to another endpoint now, the fields speak of that one.
    is_misdirected = status == _MISDIRECTED
    leaving = None if is_misdirected else find_header(headers, _LEAVING)
    delay = find_header(headers, _RETRY_AFTER) if status == _UNAVAILABLE else None
    back_off = _parse_retry_after(delay)
    if delay is not None and back_off is None:
        unreadable.append(_RETRY_AFTER.decode())
    named_rate = None if is_misdirected else find_header(headers, _REQUEST_RATE)
    request_rate = _parse_rate(named_rate)
    if named_rate is not None and request_rate is None:
        unreadable.append(_REQUEST_RATE.decode())
    stated = None if is_misdirected else find_header(headers, _REJECTION_TOLERANCE)
    tolerance = _parse_rate(stated)
    if stated is not None and tolerance is None:
        unreadable.append(_REJECTION_TOLERANCE.decode())
    return ResponseFields(
        request_id=find_header(headers, _REQUEST_ID),
        is_signed=find_header(headers, _SIGNATURE) is not None,
        is_not_run=is_misdirected or find_header(headers, _NOT_RUN) is not None,
        misdirected_to=_misdirected_to(headers) if is_misdirected else None,
        confidence=confidence,
        is_event_stream=_is_event_stream(find_header(headers, _CONTENT_TYPE)),
        is_leaving=leaving is not None and leaving.strip() == _IS_LEAVING,
        back_off=back_off,
        request_rate=request_rate,
        is_rate_unreadable=named_rate is not None and request_rate is None,
        rejection_tolerance=tolerance,
        is_tolerance_unreadable=stated is not None and tolerance is None,
        unreadable=tuple(unreadable),
    )


def states_not_run(status: int) -> bool:
    """Return whether a status tells the caller that its request has not run."""
    return status in _NOT_RUN_STATUSES


class AnswerSubject(Enum):
    """The request that an answer names by its id."""

    #: The request that was sent, or one without an id.
    THIS = "this"
    OTHER = "other"
    UNNAMED = "unnamed"


def answer_subject(request_id: RequestId | None, headers: Headers) -> AnswerSubject:
    """Return whether a response is to the request with ``request_id``."""
    found = find_header(headers, _REQUEST_ID)
    if request_id is None:
        return AnswerSubject.THIS
    if found is None:
        return AnswerSubject.UNNAMED
    is_same = found.decode("latin-1") == request_id
    return AnswerSubject.THIS if is_same else AnswerSubject.OTHER


def caller_headers(headers: Headers) -> Headers:
    """Return the fields of an endpoint's response to forward to the caller."""
    return end_to_end_headers(headers, excluded=frozenset({_NOT_RUN}))


def retry_after(delay: Milliseconds) -> tuple[bytes, bytes]:
    """Return the ``Retry-After`` field for ``delay``, in seconds with two decimals."""
    return (b"Retry-After", b"%.2f" % (delay / 1_000))


def local_reply_headers(request_id: RequestId | None) -> Headers:
    """Return the fields of a response that the router generates itself."""
    if request_id is None:
        return []
    return [(b"X-Request-Id", request_id.encode("latin-1"))]


def _misdirected_to(headers: Headers) -> EndpointId | None:
    found = find_header(headers, _INSTANCE)
    return EndpointId(found.decode("latin-1")) if found is not None else None


def _is_event_stream(content_type: bytes | None) -> bool | None:
    if content_type is None:
        return None
    return content_type.partition(b";")[0].strip().lower() == _EVENT_STREAM


def _parse_confidence(value: bytes | None) -> float | None:
    try:
        confidence = float(value) / _FULL_CONFIDENCE if value is not None else None
    except ValueError:
        # read_response lists the field in ``unreadable``.
        return None
    return confidence if confidence is None or math.isfinite(confidence) else None


def _parse_retry_after(value: bytes | None) -> Milliseconds | None:
    """
    Return a time in seconds, which may have a fraction, as milliseconds.

    A negative number means no time at all. Text, a date and numbers that are not finite
    return None, and times of more than 30 days are shortened to that.
    """
    try:
        seconds = float(value) if value is not None else None
    except ValueError:
        # read_response lists the field in ``unreadable``.
        return None
    if seconds is None or not math.isfinite(seconds):
        return None
    bounded = min(max(seconds, 0.0), _MAX_RETRY_AFTER_SECONDS)
    return Milliseconds(math.ceil(bounded * 1_000))


def _parse_rate(value: bytes | None) -> float | None:
    """Return a number that is neither negative nor infinite; None for anything else."""
    try:
        rate = float(value) if value is not None else None
    except ValueError:
        # read_response lists the field in ``unreadable``.
        return None
    return rate if rate is not None and 0.0 <= rate < math.inf else None


def _parse_number(value: bytes | None) -> int | None:
    return parse_digits(value.strip()) if value is not None else None


def _item_count(value: bytes | None) -> int:
    return len(value.split(b",")) if value else 0


def _parse_numbers(value: bytes) -> list[int]:
    numbers = (parse_digits(item.strip()) for item in value.split(b","))
    return [number for number in numbers if number is not None]


def _parse_prompt(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for item in value.split(b","):
        name, _, digits = item.strip().partition(b":")
        tokens = parse_digits(digits)
        if name and tokens is not None:
            parts.append(PromptPart(id=name.decode("latin-1"), tokens=tokens))
    return tuple(parts)
