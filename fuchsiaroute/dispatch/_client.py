"""Calls to endpoints, with the outcome of those that fail."""

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
from fuchsiaroute.dispatch._chunks import checked_chunks
from fuchsiaroute.dispatch._connections import Connections, EndpointConnections
from fuchsiaroute.dispatch._send_check import NotSentError, SendCheck
from fuchsiaroute.dispatch._status import parse_incarnation, read_status
from fuchsiaroute.ids import Incarnation
from fuchsiaroute.transport import sending_hook

NONCE_HEADER = "x-request-id"
#: Header in which an endpoint states why it did not run a request.
REFUSAL_HEADER = "x-not-run"
CONNECT_TIMEOUT = Milliseconds(1_000)
#: Maximum time without received bytes, before and within an answer.
PROGRESS_TIMEOUT = Milliseconds(10_000)
#: Interval between status requests to an endpoint whose answer has not begun.
STATUS_CHECK_INTERVAL = Milliseconds(2_000)
#: Consecutive status requests that must fail or report an idle endpoint before a call
#: counts as lost.
STATUS_CHECKS_UNTIL_LOST = 2
MILLISECONDS_PER_SECOND = 1_000

_REFUSALS = {
    "cold": DispatchOutcome.REFUSED_COLD,
    "full": DispatchOutcome.REFUSED_FULL,
}


class Dispatcher:
    """Sends calls to endpoints; checks the nonce and the completeness of answers."""

    def __init__(
        self,
        *,
        connections: Connections,
        clock: Clock,
        progress_timeout: Milliseconds = PROGRESS_TIMEOUT,
        status_check_interval: Milliseconds = STATUS_CHECK_INTERVAL,
    ) -> None:
        self._connections = connections
        self._clock = clock
        self._progress_timeout = progress_timeout
        self._status_check_interval = status_check_interval
        #: Number of calls without an answer, by outcome.
        self.failures: Counter[DispatchOutcome] = Counter()

    async def open(self, call: EndpointCall) -> Result[OpenAnswer, DispatchFailure]:
        """Send ``call`` and wait for the head of the answer."""
        connections = self._connections.acquire(call.url)
        is_open = False
        try:
            result = await self._open(call, connections)
            is_open = isinstance(result, Success)
        finally:
            # The connections of an open answer are released when it ends.
            if not is_open:
                await connections.release()
        if isinstance(result, Failure):
            self.failures[result.failure().outcome] += 1
        return result

    async def _open(
        self, call: EndpointCall, connections: EndpointConnections
    ) -> Result[OpenAnswer, DispatchFailure]:
        remaining = call.deadline - self._clock.wall()
        if remaining <= 0:
            return _failure(DispatchOutcome.NOT_SENT, "deadline passed")
        send_check = SendCheck(call=call, client=connections.client)
        try:
            response = await self._receive_head(
                call, send_check, connections, remaining
            )
        except NotSentError as error:
            return _failure(error.outcome, str(error), send_check.status.incarnation)
        except (TimeoutError, httpx.HTTPError, _LostError) as error:
            return await self._classify_failure(call, send_check, connections, error)
        return await self._check_head(call, response, connections)

    async def _receive_head(
        self,
        call: EndpointCall,
        send_check: SendCheck,
        connections: EndpointConnections,
        remaining: int,
    ) -> httpx.Response:
        """Send the request; return the response once its head has arrived."""
        request = self._request(call, connections.client)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + remaining / MILLISECONDS_PER_SECOND
        async with asyncio.timeout_at(deadline) as timeout:
            if call.is_streamed:
                # Connecting and reading the status have timeouts of their own.
                progress_timeout = self._progress_timeout / MILLISECONDS_PER_SECOND
                send_check.on_sent = lambda: timeout.reschedule(
                    min(deadline, loop.time() + progress_timeout)
                )
            return await self._send_watched(call, send_check, request, connections)

    async def _send_watched(
        self,
        call: EndpointCall,
        send_check: SendCheck,
        request: httpx.Request,
        connections: EndpointConnections,
    ) -> httpx.Response:
        hooked = _send_hooked(send_check, connections.client, request)
        send = asyncio.create_task(hooked)
        interval = self._status_check_interval / MILLISECONDS_PER_SECOND
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
        """Wait for ``send``; raise ``_LostError`` if the endpoint has lost the call."""
        interval = self._status_check_interval / MILLISECONDS_PER_SECOND
        misses = 0
        while not send.done():
            status = await read_status(connections.client, call.url)
            is_unanswered = not isinstance(status, Success)
            # An idle endpoint has not received the request, or has lost it.
            is_idle = not is_unanswered and status.unwrap().in_flight == 0
            misses = misses + 1 if is_unanswered or is_idle else 0
            if misses >= STATUS_CHECKS_UNTIL_LOST and not send.done():
                _raise_lost(is_endpoint_alive=is_idle)
            await asyncio.wait([send], timeout=interval)

    async def _classify_failure(
        self,
        call: EndpointCall,
        send_check: SendCheck,
        connections: EndpointConnections,
        error: Exception,
    ) -> Result[OpenAnswer, DispatchFailure]:
        name = type(error).__name__
        if not send_check.is_sent:
            return _failure(DispatchOutcome.NOT_SENT, name)
        is_timeout = isinstance(
            error, TimeoutError | httpx.TimeoutException | _LostError
        )
        if send_check.is_new_connection and not isinstance(error, _LostError):
            outcome = DispatchOutcome.SILENT if is_timeout else DispatchOutcome.FAILED
            return _failure(outcome, name, send_check.status.incarnation)
        # A middlebox may have dropped the state of the old connections. The endpoint
        # counts as failed only if it does not answer on a new connection either.
        await self._connections.retire(call.url, connections)
        status = await self._status_on_new_connection(call.url)
        if isinstance(status, Success):
            incarnation = status.unwrap().incarnation
            return _failure(DispatchOutcome.CONNECTION_LOST, name, incarnation)
        outcome = DispatchOutcome.SILENT if is_timeout else DispatchOutcome.FAILED
        return _failure(outcome, name)

    async def _status_on_new_connection(self, url: str) -> Result[object, str]:
        fresh = self._connections.acquire(url)
        try:
            return await read_status(fresh.client, url)
        finally:
            await fresh.release()

    def _request(self, call: EndpointCall, client: httpx.AsyncClient) -> httpx.Request:
        # Without streaming, the head may take longer than the gaps within the body.
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

    async def _check_head(
        self,
        call: EndpointCall,
        response: httpx.Response,
        connections: EndpointConnections,
    ) -> Result[OpenAnswer, DispatchFailure]:
        incarnation = parse_incarnation(response.headers)
        fault = _head_fault(call, response)
        if fault is not None:
            await response.aclose()
            return _failure(fault, f"status {response.status_code}", incarnation)
        answer = OpenAnswer(
            status=response.status_code,
            content_type=response.headers.get("content-type", ""),
            incarnation=incarnation,
            chunks=checked_chunks(
                call, response, connections, progress_timeout=self._progress_timeout
            ),
        )
        return Success(answer)


async def _send_hooked(
    send_check: SendCheck, client: httpx.AsyncClient, request: httpx.Request
) -> httpx.Response:
    sending_hook.set(send_check)
    return await client.send(request, stream=True)


class _LostError(Exception):
    """The endpoint does not respond, or is idle although a request was sent."""


def _raise_lost(*, is_endpoint_alive: bool) -> NoReturn:
    raise _LostError("idle" if is_endpoint_alive else "silent")


def _head_fault(call: EndpointCall, response: httpx.Response) -> DispatchOutcome | None:
    if response.headers.get(NONCE_HEADER) != call.nonce:
        # A refusal of another call says nothing of this one.
        return DispatchOutcome.CROSSED
    refusal = _REFUSALS.get(response.headers.get(REFUSAL_HEADER, ""))
    if refusal is not None:
        return refusal
    if response.status_code >= httpx.codes.INTERNAL_SERVER_ERROR:
        return DispatchOutcome.FAILED
    return None


async def _abandon(send: "asyncio.Task[httpx.Response]") -> None:
    """Cancel ``send`` and close its response, if it has one already."""
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
