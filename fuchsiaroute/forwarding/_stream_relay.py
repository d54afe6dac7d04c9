"""Requests that are answered with a stream of events."""

import asyncio
from dataclasses import dataclass, field

from fuchsiaroute.clock import Clock
from fuchsiaroute.confidence import Answer, ConfidenceUnknown, is_weak
from fuchsiaroute.forwarding._attempt_runner import AttemptRunner, NoPlace
from fuchsiaroute.forwarding._buffered_relay import MOST_BODY_BYTES
from fuchsiaroute.forwarding._call import Call
from fuchsiaroute.forwarding._endpoint_client import AttemptFailure, OpenResponse
from fuchsiaroute.forwarding._events import EventSplitter, EventTooLongError
from fuchsiaroute.forwarding._result import CallResult, Ending, without_place
from fuchsiaroute.http1 import ExchangeError
from fuchsiaroute.ids import ModelId
from fuchsiaroute.lifecycle import Outcome
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.platform import EventId, caller_headers
from fuchsiaroute.verdict import Verdict

#: Confidence below which the largest model is asked instead.
WEAK_BELOW = 0.6
#: Part of the threshold that is given up where the wait is as long as the latency
#: target: answers in time are worth more then than better ones.
PRESSURE_EFFECT = 2.0
#: Part of the longest pause after which a silent stream is continued elsewhere; the
#: rest is left for the other endpoint's first event.
SILENCE_SHARE = 0.7
_MS = 1_000


@dataclass(slots=True)
class _Relayed:
    """A stream while it is passed on."""

    response: OpenResponse
    splitter: EventSplitter = field(default_factory=EventSplitter)
    resumptions: int = 0


class StreamRelay:
    """
    Passes events on as they arrive.

    On a route with several models the smallest answers first; a weak answer is held
    back while the largest model is asked, and serves if that fails.
    """

    def __init__(self, runner: AttemptRunner, *, clock: Clock, log: LineLog) -> None:
        self._runner = runner
        self._clock = clock
        self._log = log

    async def serve(self, call: Call) -> CallResult:
        """Serve ``call``; its response has been started if one was passed on."""
        models = call.route.models
        model = models[0] if models else None
        weak: OpenResponse | None = None
        try:
            while True:
                result = await self._runner.attempt(call, model=model)
                if isinstance(result, OpenResponse) and result.is_success:
                    if weak is not None:
                        weak.close(Outcome.CANCELLED)
                        return await self._relay(call, result, is_escalated=True)
                    if not self._is_escalated(call, result):
                        return await self._relay(call, result, is_escalated=False)
                    weak, model = result, models[-1]
                elif weak is not None and self._may_ask_again(call, result):
                    _discard(result)
                elif weak is not None:
                    _discard(result)
                    return await self._relay(call, weak, is_escalated=False)
                elif isinstance(result, NoPlace) or not self._may_repeat(call):
                    return await self._fail(call, result)
                else:
                    _discard(result)
        finally:
            if weak is not None:
                weak.close(Outcome.CANCELLED)

    def _may_repeat(self, call: Call) -> bool:
        return self._runner.may_repeat(call)

    def _may_ask_again(
        self, call: Call, result: OpenResponse | AttemptFailure | NoPlace
    ) -> bool:
        """Return whether another endpoint may be asked for a better answer."""
        is_not_run = (
            isinstance(result, AttemptFailure) and result.verdict is Verdict.NOT_RUN
        )
        return is_not_run and self._may_repeat(call)

    def _is_escalated(self, call: Call, response: OpenResponse) -> bool:
        """Return whether the largest model is to be asked after this answer."""
        models = call.route.models
        if len(models) < 2 or response.model != models[0]:
            return False
        confidence = response.fields.confidence
        answer = Answer(
            tokens=1,
            confidence=(ConfidenceUnknown.TOKEN if confidence is None else confidence),
        )
        pressure = self._runner.pressure(call)
        threshold = WEAK_BELOW * max(1.0 - PRESSURE_EFFECT * pressure, 0.0)
        if not is_weak(answer, threshold=threshold):
            return False
        is_allowed = self._runner.may_escalate(call)
        self._log.write(
            "request:weak-answer",
            request=call.request_id,
            model=response.model,
            confidence=confidence,
            threshold=round(threshold, 3),
            is_escalated=is_allowed,
        )
        return is_allowed

    async def _fail(
        self, call: Call, result: OpenResponse | AttemptFailure | NoPlace
    ) -> CallResult:
        """Pass an endpoint's failure on; without one, leave it to the caller."""
        if isinstance(result, NoPlace):
            return without_place(result.refusal)
        if isinstance(result, AttemptFailure):
            return CallResult(ending=Ending.ATTEMPTS_FAILED)
        outcome = Outcome.CANCELLED
        try:
            body = await result.read_whole(limit=MOST_BODY_BYTES)
            outcome = Outcome.ANSWERED
        except ExchangeError as error:
            outcome = Outcome.TRUNCATED
            self._runner.broke(call, result, str(error))
            return CallResult(ending=Ending.ATTEMPTS_FAILED)
        finally:
            result.close(outcome)
        headers = caller_headers(result.head.headers)
        call.responder.send(result.head.status, headers, body)
        return self._result(call, _Relayed(result), Ending.ANSWERED, False)

    async def _relay(
        self, call: Call, response: OpenResponse, *, is_escalated: bool
    ) -> CallResult:
        relayed = _Relayed(response)
        ending = Ending.BROKEN_OFF
        outcome = Outcome.CANCELLED
        try:
            call.responder.start(
                response.head.status, caller_headers(response.head.headers)
            )
            if await self._pass_events(call, relayed):
                ending, outcome = Ending.ANSWERED, Outcome.ANSWERED
        finally:
            relayed.response.close(outcome)
        if ending is Ending.ANSWERED:
            self._runner.ended(call, relayed.response)
            call.responder.finish()
        else:
            call.responder.abort()
        return self._result(call, relayed, ending, is_escalated)

    async def _pass_events(self, call: Call, relayed: _Relayed) -> bool:
        """Pass the stream on; return whether it came to its end."""
        responder = call.responder
        while True:
            try:
                async with asyncio.timeout(self._silence(call)):
                    data = await relayed.response.read()
                whole = relayed.splitter.feed(data) if data else b""
            except TimeoutError:
                if not await self._resume(call, relayed, Outcome.SILENT, "silence"):
                    return False
                continue
            except (ExchangeError, EventTooLongError) as error:
                if not await self._resume(call, relayed, Outcome.TRUNCATED, str(error)):
                    return False
                continue
            if not data:
                responder.write(relayed.splitter.rest)
                return True
            if whole:
                responder.write(whole)
                await responder.drain()

    async def _resume(
        self, call: Call, relayed: _Relayed, outcome: Outcome, reason: str
    ) -> bool:
        """Continue a broken stream at another endpoint."""
        former = relayed.response
        self._runner.broke(call, former, reason)
        former.close(outcome)
        last = relayed.splitter.last_id
        while call.route.is_resumable and self._runner.may_repeat(call):
            result = await self._runner.attempt(
                call,
                model=former.model,
                resume_after=EventId(last.decode("latin-1")) if last else None,
            )
            if isinstance(result, NoPlace):
                return False
            if isinstance(result, AttemptFailure):
                continue
            if not result.is_success:
                result.close(Outcome.CANCELLED)
                continue
            relayed.response = result
            relayed.splitter.restart()
            relayed.resumptions += 1
            self._log.write(
                "request:resumed",
                request=call.request_id,
                endpoint=result.reservation.endpoint.id,
                after=last.decode("latin-1") if last else None,
                reason=reason,
            )
            return True
        return False

    def _silence(self, call: Call) -> float | None:
        """Return the seconds after which a silent stream is continued elsewhere."""
        route = call.route
        if not route.is_resumable or call.runs >= route.max_attempts:
            return None
        return route.max_event_gap * SILENCE_SHARE / _MS

    def _result(
        self, call: Call, relayed: _Relayed, ending: Ending, is_escalated: bool
    ) -> CallResult:
        response = relayed.response
        model: ModelId | None = response.model
        return CallResult(
            ending=ending,
            endpoint=response.reservation.endpoint.id,
            version=response.reservation.endpoint.version,
            model=model,
            confidence=response.fields.confidence,
            is_escalated=is_escalated,
            resumptions=relayed.resumptions,
        )


def _discard(result: OpenResponse | AttemptFailure | NoPlace) -> None:
    """Close a response that is not passed on."""
    if isinstance(result, OpenResponse):
        result.close(Outcome.CANCELLED)
