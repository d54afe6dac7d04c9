"""One call to one endpoint, and what its failure says about the request."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum

import httpx
from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.dispatch._exceptions import BrokenAnswerError
from fuchsiaroute.ids import Nonce
from fuchsiaroute.verdict import Verdict

NONCE_HEADER = "x-request-id"
EVENT_STREAM = "text/event-stream"
#: Last event of a whole streamed answer.
STREAM_END = b"data: [DONE]"
#: Bytes kept of the end of a stream, enough for its last event.
TAIL_BYTES = 64
#: Longest silence within an answer before its endpoint counts as lost.
PROGRESS_TIMEOUT = Milliseconds(10_000)
MILLISECONDS_PER_SECOND = 1_000


class DispatchOutcome(Enum):
    """How a call ended, as far as the endpoint's health is concerned."""

    ANSWERED = "answered"
    #: The endpoint said that it is starting and did not run the request.
    REFUSED_COLD = "refused-cold"
    #: The endpoint said that it is full and did not run the request.
    REFUSED_FULL = "refused-full"
    #: No connection could be made; no byte of the request left.
    NOT_SENT = "not-sent"
    #: The call failed after bytes of the request may have left.
    FAILED = "failed"
    #: No progress within the timeout.
    SILENT = "silent"
    #: The answer ended before its end.
    TRUNCATED = "truncated"
    #: The answer belongs to another dispatch.
    CROSSED = "crossed"
    #: The caller went away.
    CANCELLED = "cancelled"


_VERDICTS = {
    DispatchOutcome.ANSWERED: Verdict.RUN,
    DispatchOutcome.REFUSED_COLD: Verdict.NOT_RUN,
    DispatchOutcome.REFUSED_FULL: Verdict.NOT_RUN,
    DispatchOutcome.NOT_SENT: Verdict.NOT_RUN,
}


@dataclass(frozen=True, kw_only=True)
class EndpointCall:
    """A call to one endpoint."""

    #: Base URL of the endpoint.
    url: str
    #: Path of the call.
    path: str
    #: JSON body.
    body: bytes
    #: Random value that the answer must carry.
    nonce: Nonce
    #: Unix time in milliseconds after which the answer is of no use.
    deadline: Milliseconds


@dataclass(frozen=True, kw_only=True)
class OpenAnswer:
    """An answer whose head has arrived; ``chunks`` raises ``BrokenAnswerError``."""

    status: int
    content_type: str
    chunks: AsyncIterator[bytes]


@dataclass(frozen=True, kw_only=True)
class DispatchFailure:
    """A call without an answer."""

    outcome: DispatchOutcome
    message: str

    @property
    def verdict(self) -> Verdict:
        """Return whether the endpoint may have run the request."""
        return _VERDICTS.get(self.outcome, Verdict.MAY_HAVE_RUN)


#: Values of the header by which an endpoint says that it did not run a request.
REFUSAL_HEADER = "x-not-run"
_REFUSALS = {
    "cold": DispatchOutcome.REFUSED_COLD,
    "full": DispatchOutcome.REFUSED_FULL,
}


class Dispatcher:
    """Sends calls to endpoints and checks that answers are whole and their own."""

    def __init__(self, *, client: httpx.AsyncClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock

    async def open(self, call: EndpointCall) -> Result[OpenAnswer, DispatchFailure]:
        """Send ``call`` and wait for the head of the answer."""
        remaining = call.deadline - self._clock.wall()
        if remaining <= 0:
            return _failure(DispatchOutcome.NOT_SENT, "deadline passed")
        request = self._request(call)
        try:
            async with asyncio.timeout(remaining / MILLISECONDS_PER_SECOND):
                response = await self._client.send(request, stream=True)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            return _failure(DispatchOutcome.NOT_SENT, type(error).__name__)
        except (TimeoutError, httpx.ReadTimeout) as error:
            return _failure(DispatchOutcome.SILENT, type(error).__name__)
        except httpx.HTTPError as error:
            return _failure(DispatchOutcome.FAILED, type(error).__name__)
        return await self._checked(call, response)

    def _request(self, call: EndpointCall) -> httpx.Request:
        return self._client.build_request(
            "POST",
            call.url + call.path,
            content=call.body,
            headers={"content-type": "application/json", NONCE_HEADER: call.nonce},
        )

    async def _checked(
        self, call: EndpointCall, response: httpx.Response
    ) -> Result[OpenAnswer, DispatchFailure]:
        refusal = _REFUSALS.get(response.headers.get(REFUSAL_HEADER, ""))
        if refusal is not None:
            await response.aclose()
            return _failure(refusal, f"endpoint refused with {response.status_code}")
        if response.headers.get(NONCE_HEADER) != call.nonce:
            await response.aclose()
            return _failure(DispatchOutcome.CROSSED, "answer to another dispatch")
        if response.status_code >= httpx.codes.INTERNAL_SERVER_ERROR:
            await response.aclose()
            return _failure(DispatchOutcome.FAILED, f"status {response.status_code}")
        content_type = response.headers.get("content-type", "")
        answer = OpenAnswer(
            status=response.status_code,
            content_type=content_type,
            chunks=_whole_chunks(response, is_stream=EVENT_STREAM in content_type),
        )
        return Success(answer)


async def _whole_chunks(
    response: httpx.Response, *, is_stream: bool
) -> AsyncIterator[bytes]:
    """Yield the bytes of ``response``; raise ``BrokenAnswerError`` if it is cut."""
    tail = b""
    try:
        async for chunk in response.aiter_raw():
            tail = (tail + chunk)[-TAIL_BYTES:]
            yield chunk
    except httpx.HTTPError as error:
        raise BrokenAnswerError(type(error).__name__) from error
    finally:
        await response.aclose()
    if is_stream and STREAM_END not in tail:
        raise BrokenAnswerError("stream ended before its last event")


def _failure(
    outcome: DispatchOutcome, message: str
) -> Result[OpenAnswer, DispatchFailure]:
    return Failure(DispatchFailure(outcome=outcome, message=message))
