"""Reading the body of an answer and checking that it is complete."""

import asyncio
from collections.abc import AsyncIterator

import httpx

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.dispatch._call import DispatchOutcome, EndpointCall
from fuchsiaroute.dispatch._connections import EndpointConnections
from fuchsiaroute.dispatch._exceptions import BrokenAnswerError

EVENT_STREAM = "text/event-stream"
#: Last event of a complete streamed answer.
STREAM_END = b"data: [DONE]"
#: Bytes kept from the end of a stream, enough to contain its last event.
TAIL_BYTES = 64
MILLISECONDS_PER_SECOND = 1_000


async def checked_chunks(
    call: EndpointCall,
    response: httpx.Response,
    connections: EndpointConnections,
    *,
    progress_timeout: Milliseconds,
) -> AsyncIterator[bytes]:
    """
    Yield the bytes of ``response``; raise ``BrokenAnswerError`` if incomplete.

    Closing the generator before its end closes the connection, which cancels the
    stream at the endpoint.
    """
    outcome = DispatchOutcome.CANCELLED
    tail = b""
    received = response.aiter_raw()
    if not call.is_streamed:
        # The transport applies a read timeout only to streamed answers.
        received = _with_timeout(received, progress_timeout)
    try:
        async for chunk in received:
            tail = (tail + chunk)[-TAIL_BYTES:]
            yield chunk
        is_stream = EVENT_STREAM in response.headers.get("content-type", "")
        if is_stream and STREAM_END not in tail:
            outcome = DispatchOutcome.TRUNCATED
            raise BrokenAnswerError("stream ended before its last event")
        outcome = DispatchOutcome.ANSWERED
    except (httpx.ReadTimeout, TimeoutError) as error:
        outcome = DispatchOutcome.SILENT
        raise BrokenAnswerError("no progress within the timeout") from error
    except httpx.HTTPError as error:
        outcome = DispatchOutcome.TRUNCATED
        raise BrokenAnswerError(type(error).__name__) from error
    finally:
        call.on_end(outcome)
        await response.aclose()
        await connections.release()


async def _with_timeout(
    chunks: AsyncIterator[bytes], max_gap: Milliseconds
) -> AsyncIterator[bytes]:
    """Yield ``chunks``; raise ``TimeoutError`` if one takes more than ``max_gap``."""
    while True:
        async with asyncio.timeout(max_gap / MILLISECONDS_PER_SECOND):
            chunk = await anext(chunks, None)
        if chunk is None:
            return
        yield chunk
