"""One call to one endpoint, and what its failure says about the request."""

import asyncio
from collections import Counter
from typing import NoReturn

import httpx
from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.dispatch._call import (
    UNKNOWN_INCARNATION,
    DispatchFailure,
    DispatchOutcome,
    EndpointCall,
    OpenAnswer,
)
from fuchsiaroute.dispatch._chunks import whole_chunks
from fuchsiaroute.dispatch._connections import Connections, EndpointConnections
from fuchsiaroute.dispatch._sending import NotSentError, Sending
from fuchsiaroute.dispatch._status import named_incarnation, read_status
from fuchsiaroute.ids import Incarnation
from fuchsiaroute.transport import sending_hook

NONCE_HEADER = "x-request-id"
#: Header by which an endpoint says that it did not run a request.
REFUSAL_HEADER = "x-not-run"
CONNECT_TIMEOUT = Milliseconds(1_000)
#: Longest silence before and within an answer.
PROGRESS_TIMEOUT = Milliseconds(10_000)
#: Time between two looks at an endpoint whose answer has not begun.
PING_INTERVAL = Milliseconds(2_000)
#: Looks in a row that must find the endpoint silent or without the request.
PINGS_UNTIL_LOST = 2
MILLISECONDS_PER_SECOND = 1_000

_REFUSALS = {
    "cold": DispatchOutcome.REFUSED_COLD,
    "full": DispatchOutcome.REFUSED_FULL,
}


class Dispatcher:
    """Sends calls to endpoints and checks that answers are whole and their own."""

    def __init__(
        self,
        *,
        connections: Connections,
        clock: Clock,
        progress_timeout: Milliseconds = PROGRESS_TIMEOUT,
        ping_interval: Milliseconds = PING_INTERVAL,
    ) -> None:
        self._connections = connections
        self._clock = clock
        self._progress_timeout = progress_timeout
        self._ping_interval = ping_interval
        #: Calls that got no answer, by outcome.
        self.failures: Counter[DispatchOutcome] = Counter()

    async def open(self, call: EndpointCall) -> Result[OpenAnswer, DispatchFailure]:
        """Send ``call`` and wait for the head of the answer."""
        connections = self._connections.acquire(call.url)
        is_open = False
        try:
            result = await self._opened(call, connections)
            is_open = isinstance(result, Success)
        finally:
            # An open answer releases the connections itself, at its end.
            if not is_open:
                await connections.release()
        if isinstance(result, Failure):
            self.failures[result.failure().outcome] += 1
        return result

    async def _opened(
        self, call: EndpointCall, connections: EndpointConnections
    ) -> Result[OpenAnswer, DispatchFailure]:
        remaining = call.deadline - self._clock.wall()
        if remaining <= 0:
            return _failure(DispatchOutcome.NOT_SENT, "deadline passed")
        sending = Sending(call=call, client=connections.client)
        try:
            response = await self._head(call, sending, connections, remaining)
        except NotSentError as error:
            return _failure(error.outcome, str(error), sending.status.incarnation)
        except (TimeoutError, httpx.HTTPError, _LostError) as error:
            return await self._failed(call, sending, connections, error)
        return await self._checked(call, response, connections)

    async def _head(
        self,
        call: EndpointCall,
        sending: Sending,
        connections: EndpointConnections,
        remaining: int,
    ) -> httpx.Response:
        """Return the response; raises what keeps its head from arriving."""
        request = self._request(call, connections.client)
        limit = (
            min(remaining, self._progress_timeout) if call.is_streamed else remaining
        )
        async with asyncio.timeout(limit / MILLISECONDS_PER_SECOND):
            return await self._send_watched(call, sending, request, connections)

    async def _send_watched(
        self,
        call: EndpointCall,
        sending: Sending,
        request: httpx.Request,
        connections: EndpointConnections,
    ) -> httpx.Response:
        hooked = _send_hooked(sending, connections.client, request)
        send = asyncio.create_task(hooked)
        interval = self._ping_interval / MILLISECONDS_PER_SECOND
        try:
            done, _ = await asyncio.wait([send], timeout=interval)
            if not done:
                await self._watch(call, send, connections)
            return await send
        except BaseException:
            await _abandon(send)
            raise

    async def _watch(
        self,
        call: EndpointCall,
        send: "asyncio.Task[httpx.Response]",
        connections: EndpointConnections,
    ) -> None:
        """Return once ``send`` is done; raises ``_LostError`` if it never will be."""
        interval = self._ping_interval / MILLISECONDS_PER_SECOND
        misses = 0
        while not send.done():
            status = await read_status(connections.client, call.url)
            is_missed = not isinstance(status, Success)
            # An idle endpoint has not got the request, or has lost it.
            is_idle = not is_missed and status.unwrap().in_flight == 0
            misses = misses + 1 if is_missed or is_idle else 0
            if misses >= PINGS_UNTIL_LOST and not send.done():
                _raise_lost(is_endpoint_alive=is_idle)
            await asyncio.wait([send], timeout=interval)

    async def _failed(
        self,
        call: EndpointCall,
        sending: Sending,
        connections: EndpointConnections,
        error: Exception,
    ) -> Result[OpenAnswer, DispatchFailure]:
        name = type(error).__name__
        if not sending.is_sent:
            return _failure(DispatchOutcome.NOT_SENT, name)
        is_silent = isinstance(
            error, TimeoutError | httpx.TimeoutException | _LostError
        )
        if sending.is_new_connection and not isinstance(error, _LostError):
            outcome = DispatchOutcome.SILENT if is_silent else DispatchOutcome.FAILED
            return _failure(outcome, name, sending.status.incarnation)
        # Something between the ends may have forgotten the old connections. The
        # endpoint is blamed only if it does not answer on a new one either.
        await self._connections.retire(call.url, connections)
        status = await self._status_on_new_connection(call.url)
        if isinstance(status, Success):
            incarnation = status.unwrap().incarnation
            return _failure(DispatchOutcome.CONNECTION_LOST, name, incarnation)
        outcome = DispatchOutcome.SILENT if is_silent else DispatchOutcome.FAILED
        return _failure(outcome, name)

    async def _status_on_new_connection(self, url: str) -> Result[object, str]:
        fresh = self._connections.acquire(url)
        try:
            return await read_status(fresh.client, url)
        finally:
            await fresh.release()

    def _request(self, call: EndpointCall, client: httpx.AsyncClient) -> httpx.Request:
        # The head of a whole answer may take longer than the pauses within it.
        read = self._progress_timeout if call.is_streamed else None
        return client.build_request(
            "POST",
            call.url + call.path,
            content=call.body,
            headers={"content-type": "application/json", NONCE_HEADER: call.nonce},
            timeout=httpx.Timeout(
                None if read is None else read / MILLISECONDS_PER_SECOND,
                connect=CONNECT_TIMEOUT / MILLISECONDS_PER_SECOND,
            ),
        )

    async def _checked(
        self,
        call: EndpointCall,
        response: httpx.Response,
        connections: EndpointConnections,
    ) -> Result[OpenAnswer, DispatchFailure]:
        incarnation = named_incarnation(response.headers)
        found = _fault(call, response)
        if found is not None:
            await response.aclose()
            return _failure(found, f"status {response.status_code}", incarnation)
        answer = OpenAnswer(
            status=response.status_code,
            content_type=response.headers.get("content-type", ""),
            incarnation=incarnation,
            chunks=whole_chunks(
                call, response, connections, progress_timeout=self._progress_timeout
            ),
        )
        return Success(answer)


async def _send_hooked(
    sending: Sending, client: httpx.AsyncClient, request: httpx.Request
) -> httpx.Response:
    sending_hook.set(sending)
    return await client.send(request, stream=True)


class _LostError(Exception):
    """The endpoint is silent, or idle while a request should run there."""


def _raise_lost(*, is_endpoint_alive: bool) -> NoReturn:
    raise _LostError("idle" if is_endpoint_alive else "silent")


def _fault(call: EndpointCall, response: httpx.Response) -> DispatchOutcome | None:
    refusal = _REFUSALS.get(response.headers.get(REFUSAL_HEADER, ""))
    if refusal is not None:
        return refusal
    if response.headers.get(NONCE_HEADER) != call.nonce:
        return DispatchOutcome.CROSSED
    if response.status_code >= httpx.codes.INTERNAL_SERVER_ERROR:
        return DispatchOutcome.FAILED
    return None


async def _abandon(send: "asyncio.Task[httpx.Response]") -> None:
    """End ``send`` and close the response that nobody will read."""
    send.cancel()
    await asyncio.wait([send])
    if not send.cancelled() and send.exception() is None:
        await send.result().aclose()


def _failure(
    outcome: DispatchOutcome,
    message: str,
    incarnation: Incarnation = UNKNOWN_INCARNATION,
) -> Result[OpenAnswer, DispatchFailure]:
    return Failure(
        DispatchFailure(outcome=outcome, message=message, incarnation=incarnation)
    )
