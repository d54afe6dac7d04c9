"""Relaying of event streams, with escalation and resumption."""

import asyncio

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.confidence import Answer, ConfidenceUnknown, is_weak
from fuchsiaroute.forwarding._attempt_runner import AttemptRunner
from fuchsiaroute.forwarding._buffered_relay import MAX_BODY_BYTES
from fuchsiaroute.forwarding._call import Call
from fuchsiaroute.forwarding._endpoint_client import AttemptFailure, OpenResponse
from fuchsiaroute.forwarding._event_pace import EventPace
from fuchsiaroute.forwarding._events import EventStreamError
from fuchsiaroute.forwarding._held_answer import HeldAnswer
from fuchsiaroute.forwarding._model_choice import ModelChoice
from fuchsiaroute.forwarding._relay_state import (
    RelayState,
    early_end,
    last_event_id,
)
from fuchsiaroute.forwarding._result import (
    CallResult,
    Ending,
    NoReservation,
    Silence,
    refused_result,
)
from fuchsiaroute.http1 import ExchangeError
from fuchsiaroute.ids import ModelId
from fuchsiaroute.lifecycle import Outcome
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.platform import caller_headers
from fuchsiaroute.verdict import Verdict

#: Confidence below which the largest model is asked instead.
CONFIDENCE_THRESHOLD = 0.6
#: Share of the threshold that is dropped per unit of relative backlog: under load,
#: answers in time are worth more than better ones.
THRESHOLD_REDUCTION = 2.0
#: Share of the route's maximum event gap after which an idle stream is resumed at
#: another endpoint; the rest is left for that endpoint's first event.
IDLE_TIMEOUT_SHARE = 0.7
#: Interval between two attempts to get an endpoint for the rest of a stream.
RESUME_RETRY_INTERVAL = Milliseconds(50)
MILLISECONDS_PER_SECOND = 1_000
#: Reason in the log for giving up a stream without data.
_SILENCE = "silence"


class StreamRelay:
    """
    Relays events as they arrive.

    On a route with several models, the smallest one usually answers first. A weak
    answer is held back until the largest model's first event has arrived, and is
    relayed if none does.
    """

    def __init__(
        self,
        runner: AttemptRunner,
        *,
        choice: ModelChoice,
        clock: Clock,
        log: LineLog,
    ) -> None:
        self._runner = runner
        self._choice = choice
        self._clock = clock
        self._log = log

    async def serve(self, call: Call) -> CallResult:
        """Serve ``call``; nothing is sent on ``NO_PLACE`` or ``ATTEMPTS_FAILED``."""
        models = call.route.models
        model = self._choice.first(call.route, self._runner.cascade_times(call))
        weak_answer: HeldAnswer | None = None
        try:
            while True:
                result = await self._runner.attempt(
                    call, model=model, is_escalation=weak_answer is not None
                )
                if isinstance(result, OpenResponse) and result.is_success:
                    if weak_answer is not None:
                        return await self._relay(call, result, fallback=weak_answer)
                    if not self._should_escalate(call, result):
                        return await self._relay(call, result)
                    weak_answer, model = self._hold(call, result), models[-1]
                elif weak_answer is not None and self._may_retry_escalation(
                    call, result
                ):
                    _discard(result)
                elif weak_answer is not None:
                    _discard(result)
                    return await self._relay(call, weak_answer.take())
                elif isinstance(result, NoReservation) or not self._may_retry(call):
                    return await self._fail(call, result)
                else:
                    _discard(result)
        finally:
            if weak_answer is not None:
                weak_answer.drop()

    def _hold(self, call: Call, response: OpenResponse) -> HeldAnswer:
        """Hold a weak answer back; a crash of its endpoint is noticed meanwhile."""

        async def check_crash(broken: OpenResponse) -> None:
            await self._runner.check_crash(
                call,
                broken.reservation.endpoint,
                has_event=broken.has_body_bytes,
            )

        return HeldAnswer(response, on_broken=check_crash)

    def _may_retry(self, call: Call) -> bool:
        return self._runner.may_retry(call)

    def _may_retry_escalation(
        self, call: Call, result: OpenResponse | AttemptFailure | NoReservation
    ) -> bool:
        """Return whether the escalation, which was not run, may be retried."""
        is_not_run = (
            isinstance(result, AttemptFailure) and result.verdict is Verdict.NOT_RUN
        )
        return is_not_run and self._may_retry(call)

    def _should_escalate(self, call: Call, response: OpenResponse) -> bool:
        """Return whether to ask the largest model; charges the retry budget."""
        models = call.route.models
        if len(models) < 2 or response.model != models[0]:
            return False
        confidence = response.fields.confidence
        answer = Answer(
            tokens=1,
            confidence=(ConfidenceUnknown.TOKEN if confidence is None else confidence),
        )
        relative_backlog = self._runner.relative_backlog(call)
        threshold = CONFIDENCE_THRESHOLD * max(
            1.0 - THRESHOLD_REDUCTION * relative_backlog, 0.0
        )
        self._choice.record_smallest(
            call.route, is_weak=is_weak(answer, threshold=CONFIDENCE_THRESHOLD)
        )
        if not is_weak(answer, threshold=threshold):
            return False
        can_finish = self._runner.can_finish(call, models[-1])
        is_allowed = can_finish and self._runner.may_escalate(call)
        self._log.write(
            "request:weak-answer",
            request=call.request_id,
            model=response.model,
            confidence=confidence,
            threshold=round(threshold, 3),
            can_finish=can_finish,
            is_escalated=is_allowed,
        )
        return is_allowed

    async def _fail(
        self, call: Call, result: OpenResponse | AttemptFailure | NoReservation
    ) -> CallResult:
        """Relay the endpoint's error response, if there is one."""
        if isinstance(result, NoReservation):
            return refused_result(result.refusal)
        if isinstance(result, AttemptFailure):
            return CallResult(ending=Ending.ATTEMPTS_FAILED)
        outcome = Outcome.CANCELLED
        try:
            body = await result.read_whole(limit=MAX_BODY_BYTES)
            outcome = Outcome.ANSWERED
        except ExchangeError as error:
            outcome = Outcome.TRUNCATED
            self._runner.record_broken_response(call, result, str(error))
            return CallResult(ending=Ending.ATTEMPTS_FAILED)
        finally:
            result.close(outcome)
        if result.is_false_refusal:
            self._runner.record_false_refusal(call, result)
            return CallResult(ending=Ending.ATTEMPTS_FAILED)
        headers = caller_headers(result.head.headers)
        call.responder.send(result.head.status, headers, body)
        return self._result(call, RelayState(result), Ending.ANSWERED, False)

    async def _relay(
        self,
        call: Call,
        response: OpenResponse,
        *,
        fallback: HeldAnswer | None = None,
    ) -> CallResult:
        """
        Relay ``response``, or ``fallback`` if ``response`` ends before its first event.

        ``fallback`` is the weak answer that ``response`` replaces.
        """
        state = RelayState(response, fallback=fallback)
        ending = Ending.BROKEN_OFF
        outcome = Outcome.CANCELLED
        try:
            if await self._relay_events(call, state):
                ending, outcome = Ending.ANSWERED, Outcome.ANSWERED
        finally:
            self._record_pace(call, state)
            self._record_duration(call, state, is_whole=ending is Ending.ANSWERED)
            state.response.close(outcome)
        if ending is Ending.ANSWERED:
            self._runner.record_complete_response(call, state.response)
            call.responder.finish()
        elif state.fallback is not None:
            return await self._relay(call, state.fallback.take())
        elif not call.responder.is_started:
            return CallResult(ending=Ending.ATTEMPTS_FAILED)
        else:
            call.responder.abort()
        return self._result(call, state, ending, is_escalated=fallback is not None)

    def _start(self, call: Call, state: RelayState) -> None:
        """Send the response head, unless it has been sent."""
        if call.responder.is_started:
            return
        call.answer_started_at = self._clock.now()
        head = state.response.head
        call.responder.start(head.status, caller_headers(head.headers))
        if state.fallback is not None:
            state.fallback.drop()
            state.fallback = None

    async def _relay_events(self, call: Call, state: RelayState) -> bool:
        """Relay the stream; return whether it reached its end."""
        responder = call.responder
        state.progress_at = self._clock.now()
        while True:
            progress = state.splitter.progress
            try:
                async with asyncio.timeout(self._idle_timeout(call, state)):
                    data = await state.read()
                count = state.splitter.count
                complete = state.splitter.feed(data) if data else b""
            except TimeoutError:
                silent = state.response
                is_going_on = await self._replace_silent(call, state)
                state.progress_at = self._clock.now()
                self._runner.record_silent_stream(
                    call, silent, is_moved=silent is not state.response
                )
                if not is_going_on:
                    return False
                continue
            except (ExchangeError, EventStreamError) as error:
                if not await self._replace_broken(call, state, str(error)):
                    return False
                continue
            if state.splitter.progress > progress:
                state.progress_at = self._clock.now()
            if not data:
                is_whole = await self._end(call, state)
                if is_whole is not None:
                    return is_whole
            elif complete:
                self._record_events(call, state, state.splitter.count - count)
                self._start(call, state)
                responder.write(complete)
                await responder.drain()

    async def _end(self, call: Call, state: RelayState) -> bool | None:
        """
        Handle the end of a response; return whether it is that of the stream.

        None is returned if another endpoint goes on with the stream.
        """
        if state.fallback is not None:
            # The weak answer is better than one without an event.
            return False
        reason = early_end(state)
        if reason is None:
            self._start(call, state)
            return True
        return None if await self._replace_broken(call, state, reason) else False

    def _record_events(self, call: Call, state: RelayState, count: int) -> None:
        if not state.has_event:
            state.has_event = True
            state.first_event_at = self._clock.now()
            state.is_event_missing = False
            self._runner.record_answer_begun(call)
        state.pace.record(self._clock.now(), count)
        if state.pace.is_known:
            self._record_pace(call, state)

    def _record_pace(self, call: Call, state: RelayState) -> None:
        """Record the pace of the stream's present response, once."""
        pace = state.pace.take()
        if pace is not None:
            self._runner.record_pace(call, state.response, pace)

    def _record_duration(
        self, call: Call, state: RelayState, *, is_whole: bool
    ) -> None:
        """Record the duration of a stream that one endpoint has written."""
        is_cut = call.remaining(self._clock) <= 0
        if state.has_event and not state.resumptions and (is_whole or is_cut):
            duration = Milliseconds(self._clock.now() - state.first_event_at)
            self._runner.record_stream_duration(
                call, state.response.model, duration, is_whole=is_whole
            )

    def _give_up(
        self, call: Call, state: RelayState, outcome: Outcome, reason: str
    ) -> None:
        """End the stream's run at its endpoint."""
        self._record_pace(call, state)
        self._runner.record_broken_response(call, state.response, reason)
        state.response.close(outcome)
        state.drop_incomplete()

    async def _replace_broken(self, call: Call, state: RelayState, reason: str) -> bool:
        """Resume a stream that broke off; return whether it succeeded."""
        self._give_up(call, state, Outcome.TRUNCATED, reason)
        endpoint = state.response.reservation.endpoint
        await self._runner.check_crash(call, endpoint, has_event=state.has_event)
        return await self._resume(call, state, reason)

    async def _replace_silent(self, call: Call, state: RelayState) -> bool:
        """
        Resume a silent stream at another endpoint if one goes on with it.

        Otherwise its endpoint may still do so, unless there is a weak answer to relay
        instead. Return False if the stream was given up and not resumed.
        """
        if state.fallback is not None:
            self._give_up(call, state, Outcome.SILENT, _SILENCE)
            model = state.response.model
            if model is not None and not self._runner.can_finish(call, model):
                return False
            return await self._resume(call, state, _SILENCE)
        result = await self._runner.replace_silent(
            call,
            state.response.reservation,
            goes_on=state.wait_for_event(),
            model=state.response.model,
            resume_after=last_event_id(state),
            is_resumption=True,
            silence=Milliseconds(round(self._idle_limit(call))),
            give_up=lambda: self._give_up(call, state, Outcome.SILENT, _SILENCE),
        )
        if isinstance(result, OpenResponse):
            self._continue_with(call, state, result, _SILENCE)
            return True
        if result is Silence.KEPT:
            return True
        return await self._resume(call, state, _SILENCE)

    async def _resume(self, call: Call, state: RelayState, reason: str) -> bool:
        """Resume a stream that was given up; return whether it succeeded."""
        model = state.response.model
        while call.route.is_resumable and self._runner.may_retry(call):
            result = await self._runner.attempt(
                call,
                model=model,
                resume_after=last_event_id(state),
                is_resumption=True,
            )
            if isinstance(result, NoReservation):
                if state.fallback is not None:
                    return False
                # Only another endpoint can finish a stream that the caller has begun
                # to receive, so this waits for one until the deadline.
                await self._clock.sleep(RESUME_RETRY_INTERVAL)
            elif isinstance(result, OpenResponse):
                if result.is_success:
                    self._continue_with(call, state, result, reason)
                    return True
                result.close(Outcome.CANCELLED)
        return False

    def _continue_with(
        self, call: Call, state: RelayState, response: OpenResponse, reason: str
    ) -> None:
        """Relay the rest of the stream from ``response``."""
        state.response = response
        state.pace = EventPace()
        state.has_event = False
        state.has_ended = False
        state.progress_at = self._clock.now()
        state.drop_incomplete()
        state.splitter.begin_rest()
        state.resumptions += 1
        self._log.write(
            "request:resumed",
            request=call.request_id,
            endpoint=response.reservation.endpoint.id,
            after=last_event_id(state),
            reason=reason,
        )

    def _idle_timeout(self, call: Call, state: RelayState) -> float | None:
        """Return the seconds until the stream counts as silent; None for no limit."""
        route = call.route
        if not route.is_resumable or call.possible_runs >= route.max_attempts:
            return None
        left = self._idle_limit(call) - (self._clock.now() - state.progress_at)
        return max(left, 0.0) / MILLISECONDS_PER_SECOND

    def _idle_limit(self, call: Call) -> float:
        """Return the milliseconds without an event until a stream counts as silent."""
        return call.route.max_event_gap * IDLE_TIMEOUT_SHARE

    def _result(
        self, call: Call, state: RelayState, ending: Ending, is_escalated: bool
    ) -> CallResult:
        response = state.response
        model: ModelId | None = response.model
        return CallResult(
            ending=ending,
            endpoint=response.reservation.endpoint.id,
            version=response.reservation.endpoint.version,
            model=model,
            confidence=response.fields.confidence,
            is_escalated=is_escalated,
            resumptions=state.resumptions,
        )


def _discard(result: OpenResponse | AttemptFailure | NoReservation) -> None:
    """Close a response that is not relayed."""
    if isinstance(result, OpenResponse):
        result.close(Outcome.CANCELLED)
