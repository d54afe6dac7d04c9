"""Relaying of responses that are buffered before they are sent."""

import asyncio

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.forwarding._attempt_runner import AttemptRunner
from fuchsiaroute.forwarding._call import Call
from fuchsiaroute.forwarding._endpoint_client import OpenResponse
from fuchsiaroute.forwarding._result import (
    CallResult,
    Ending,
    NoReservation,
    refused_result,
)
from fuchsiaroute.http1 import ExchangeError
from fuchsiaroute.lifecycle import Outcome
from fuchsiaroute.platform import caller_headers

#: Maximum size of a response that is buffered in memory.
MAX_BODY_BYTES = 8 * 1024 * 1024
MILLISECONDS_PER_SECOND = 1_000


class BufferedRelay:
    """Serves requests with buffered responses, retrying where that is safe."""

    def __init__(self, runner: AttemptRunner, *, clock: Clock) -> None:
        self._runner = runner
        self._clock = clock

    async def serve(self, call: Call) -> CallResult:
        """Serve ``call``; the response has been sent if the result is ``ANSWERED``."""
        while True:
            result = await self._runner.attempt(call, model=None)
            if isinstance(result, NoReservation):
                return refused_result(result.refusal)
            body: bytes | None = None
            if isinstance(result, OpenResponse):
                body = await self._read(call, result)
                if body is None:
                    endpoint = result.reservation.endpoint
                    await self._runner.check_crash(call, endpoint)
                elif result.is_success:
                    self._runner.record_answer_begun(call)
                    return self._respond(call, result, body)
            if self._runner.may_retry(call):
                continue
            if isinstance(result, OpenResponse) and body is not None:
                if not result.is_false_refusal:
                    return self._respond(call, result, body)
                self._runner.record_false_refusal(call, result)
            return CallResult(ending=Ending.ATTEMPTS_FAILED)

    async def _read(self, call: Call, response: OpenResponse) -> bytes | None:
        """Return the body, or None if it is truncated."""
        outcome = Outcome.CANCELLED
        remaining = Milliseconds(max(call.remaining(self._clock), 1))
        try:
            async with asyncio.timeout(remaining / MILLISECONDS_PER_SECOND):
                body = await response.read_whole(limit=MAX_BODY_BYTES)
            outcome = Outcome.ANSWERED
        except ExchangeError as error:
            outcome = Outcome.TRUNCATED
            self._runner.record_broken_response(call, response, str(error))
            return None
        finally:
            response.close(outcome)
        return body

    def _respond(self, call: Call, response: OpenResponse, body: bytes) -> CallResult:
        self._runner.record_complete_response(call, response)
        headers = caller_headers(response.head.headers)
        call.answer_started_at = self._clock.now()
        call.responder.send(response.head.status, headers, body)
        return CallResult(
            ending=Ending.ANSWERED,
            endpoint=response.reservation.endpoint.id,
            version=response.reservation.endpoint.version,
        )
