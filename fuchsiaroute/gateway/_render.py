"""Renders answers and refusals as HTTP responses."""

from collections.abc import AsyncIterator

import msgspec
from litestar import Response
from litestar.response import Stream

from fuchsiaroute.entry import Answer, NoVersion
from fuchsiaroute.gateway._headers import PIN_HEADER, REQUEST_ID_HEADER
from fuchsiaroute.ids import RequestId
from fuchsiaroute.verdict import Refusal, RefusalReason

VERSION_HEADER = "x-model-version"
MILLISECONDS_PER_SECOND = 1_000

_STATUS = {
    RefusalReason.INVALID_REQUEST: 400,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.TOO_SLOW: 408,
    RefusalReason.UNAUTHENTICATED: 401,
    RefusalReason.NOT_PERMITTED: 403,
    RefusalReason.VERSION_WITHDRAWN: 410,
    RefusalReason.INVALID_PIN: 400,
    RefusalReason.COST_LIMIT: 402,
    RefusalReason.OVERLOADED: 429,
    RefusalReason.NO_ENDPOINT: 503,
    RefusalReason.DEADLINE: 504,
    RefusalReason.DUPLICATE: 409,
    RefusalReason.NOT_READY: 503,
    RefusalReason.STORE_UNAVAILABLE: 503,
    RefusalReason.ENDPOINT_FAILED: 502,
    RefusalReason.INTERNAL: 500,
}

#: Reasons after which the connection is closed, since the request is not read whole.
_CLOSING_REASONS = frozenset(
    {
        RefusalReason.INVALID_REQUEST,
        RefusalReason.TOO_LARGE,
        RefusalReason.TOO_SLOW,
        RefusalReason.UNAUTHENTICATED,
        RefusalReason.NOT_READY,
    }
)


class _ErrorBody(msgspec.Struct):
    reason: str
    verdict: str
    message: str
    retry_after_ms: int


class _Error(msgspec.Struct):
    error: _ErrorBody


def encode_refusal(refusal: Refusal) -> bytes:
    """Return ``refusal`` as JSON."""
    error = _Error(
        error=_ErrorBody(
            reason=refusal.reason.value,
            verdict=refusal.verdict.value,
            message=refusal.message,
            retry_after_ms=refusal.retry_after,
        )
    )
    return msgspec.json.encode(error)


def render_refusal(refusal: Refusal) -> Response[bytes]:
    """Return the error response for ``refusal``."""
    headers = {}
    if refusal.retry_after:
        # Retry-After is in whole seconds; rounding down would invite early retries.
        seconds = -(-refusal.retry_after // MILLISECONDS_PER_SECOND)
        headers["retry-after"] = str(seconds)
    if refusal.reason in _CLOSING_REASONS:
        headers["connection"] = "close"
    return Response(
        content=encode_refusal(refusal),
        status_code=_STATUS[refusal.reason],
        media_type="application/json",
        headers=headers,
    )


async def render_answer(answer: Answer, request: RequestId) -> Stream:
    """Return a response that streams ``answer`` as it arrives."""
    headers: dict[str, str] = {REQUEST_ID_HEADER: request}
    if not isinstance(answer.version, NoVersion):
        headers[VERSION_HEADER] = answer.version
    if answer.pin:
        headers[PIN_HEADER] = answer.pin
    return Stream(
        await _with_first_chunk_read(answer.chunks),
        status_code=answer.status,
        # litestar adds the character set to text types itself.
        media_type=answer.content_type.partition(";")[0],
        headers=headers,
    )


async def _with_first_chunk_read(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """
    Return an iterator over ``chunks`` after reading the first one.

    If the caller disconnects, the event loop closes an asynchronous generator that
    has been started. The ``finally`` block of one that has not is never run.
    """
    first = await anext(chunks, b"")

    async def relay() -> AsyncIterator[bytes]:
        yield first
        async for chunk in chunks:
            yield chunk

    return relay()
