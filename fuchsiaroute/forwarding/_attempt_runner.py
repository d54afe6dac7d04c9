"""Runs the attempts of a request, one endpoint after the other."""

from collections.abc import Awaitable, Callable, Coroutine
from enum import Enum
from functools import partial
from typing import Any

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.contention import BacklogLimits
from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.forwarding._attempt_estimates import AttemptEstimates
from fuchsiaroute.forwarding._attempt_records import AttemptRecords
from fuchsiaroute.forwarding._call import Call
from fuchsiaroute.forwarding._counters import Counters
from fuchsiaroute.forwarding._crash_guard import CrashGuard
from fuchsiaroute.forwarding._endpoint_client import (
    AttemptFailure,
    EndpointClient,
    OpenResponse,
)
from fuchsiaroute.forwarding._latency_estimator import LatencyEstimator
from fuchsiaroute.forwarding._model_choice import CascadeTimes
from fuchsiaroute.forwarding._result import NoReservation, Silence
from fuchsiaroute.forwarding._retry_permission import RetryPermission
from fuchsiaroute.forwarding._speed_comparison import SpeedComparison
from fuchsiaroute.forwarding._standby import StandbyRunner
from fuchsiaroute.forwarding._stop_admission import STOPPING_REFUSAL, StopAdmission
from fuchsiaroute.forwarding._stream_durations import StreamDurations
from fuchsiaroute.ids import ModelId
from fuchsiaroute.lifecycle import Outcome
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.platform import EventId
from fuchsiaroute.pool import EndpointPool, QueueRefusal, RequestQueue, Reservation
from fuchsiaroute.quarantine import Quarantine
from fuchsiaroute.retry import WindowedRetryBudget
from fuchsiaroute.staging import RolloutTracker

#: Queue priority of the rest of a stream: the most urgent one.
RESUMPTION_PRIORITY = 0
#: Silence of an endpoint, as a share of that of the present one, from which it is not
#: preferred to it: those that fall silent together are found silent one by one.
MAX_SILENCE_SHARE = 0.5


#: Outcomes of a connection that ended: the endpoint may have crashed.
_CRASH_OUTCOMES = frozenset({Outcome.FAILED_AFTER_SENT, Outcome.PATH_LOST})


class SendKind(Enum):
    """Why a request is sent to an endpoint, for the counters."""

    FIRST = "first"
    RETRY = "retry"
    ESCALATION = "escalation"
    RESUMPTION = "resumption"


class AttemptRunner:
    """Runs attempts of requests and records their outcomes and latencies."""

    def __init__(
        self,
        *,
        pool: EndpointPool,
        queue: RequestQueue,
        client: EndpointClient,
        tracker: RolloutTracker,
        latencies: LatencyEstimator,
        speeds: SpeedComparison,
        counters: Counters,
        clock: Clock,
        log: LineLog,
        new_budget: Callable[[], WindowedRetryBudget],
        on_session: Callable[[Call], None],
        is_stopping: Callable[[], bool],
        admission: StopAdmission,
        quarantine: Quarantine,
        is_refused: Callable[[Endpoint], Awaitable[bool]],
        limits: Callable[[], BacklogLimits],
        is_brittle: Callable[[Endpoint], bool] = lambda endpoint: False,
    ) -> None:
        self._pool = pool
        self._queue = queue
        self._client = client
        self._tracker = tracker
        self._counters = counters
        self._clock = clock
        self._log = log
        self._on_session = on_session
        self._admission = admission
        self._streams = StreamDurations()
        self._estimates = AttemptEstimates(
            pool=pool,
            tracker=tracker,
            latencies=latencies,
            streams=self._streams,
            limits=limits,
            clock=clock,
        )
        self._records = AttemptRecords(
            tracker=tracker,
            latencies=latencies,
            speeds=speeds,
            counters=counters,
            clock=clock,
            log=log,
        )
        self._guard = CrashGuard(
            pool=pool,
            quarantine=quarantine,
            is_refused=is_refused,
            is_brittle=is_brittle,
            counters=counters,
            log=log,
        )
        self._standby = StandbyRunner(self)
        self._permission = RetryPermission(
            clock=clock,
            new_budget=new_budget,
            is_stopping=is_stopping,
            may_run_again=self._guard.may_retry,
        )

    def record_request(self, call: Call) -> None:
        """Count a new request to a service for its retry budget."""
        self._permission.record_request(call)

    def may_retry(self, call: Call) -> bool:
        """Return whether the request may be sent again; charges the retry budget."""
        return self._permission.may_retry(call)

    def may_escalate(self, call: Call) -> bool:
        """Return whether a larger model may be asked; charges the retry budget."""
        return self._permission.may_escalate(call)

    async def attempt(
        self,
        call: Call,
        *,
        model: ModelId | None,
        resume_after: EventId | None = None,
        is_escalation: bool = False,
        is_resumption: bool = False,
        max_silence: Milliseconds | None = None,
        before_send: Callable[[Reservation], None] = lambda reservation: None,
        is_alone: Callable[[], bool] = lambda: True,
    ) -> OpenResponse | AttemptFailure | NoReservation:
        """
        Reserve an endpoint and send the request to it.

        The rest of a stream that the caller has begun to receive (``is_resumption``)
        is queued before all new requests. With ``max_silence``, it does not wait for
        capacity, and goes neither to an endpoint that has failed this request nor to
        one that has been silent for that long. ``before_send`` is called once an
        endpoint is reserved. No other endpoint takes over from this one unless
        ``is_alone`` returns that it is the only one that works on the request.
        """
        reservation = await self._reserve(
            call,
            model,
            is_escalation=is_escalation,
            is_resumption=is_resumption,
            max_silence=max_silence,
        )
        if isinstance(reservation, QueueRefusal):
            return NoReservation(refusal=reservation)
        before_send(reservation)
        self._guard.record_send(call)
        endpoint = reservation.endpoint
        self._counters.add(
            "sends",
            _send_kind(
                call, is_escalation=is_escalation, is_resumption=is_resumption
            ).value,
        )
        if call.session is not None:
            self._tracker.sessions.record_served(call.session, endpoint.version)
            self._on_session(call)
        head_timeout = self._estimates.head_timeout(
            call, model, reservation.backlog, is_escalation=is_escalation
        )
        # A weak answer need not wait longer for a better one.
        is_replaceable = not is_escalation
        result = await self._client.send(
            call,
            reservation,
            model=model,
            resume_after=resume_after,
            head_timeout=head_timeout,
            replace=(
                partial(
                    self.replace_silent,
                    call,
                    reservation,
                    model=model,
                    resume_after=resume_after,
                    is_resumption=is_resumption,
                    silence=head_timeout,
                    is_alone=is_alone,
                )
                if is_replaceable
                else None
            ),
        )
        if isinstance(result, OpenResponse) and result.reservation is not reservation:
            # Recorded by the attempt that replaced this one.
            failure = AttemptFailure(
                outcome=Outcome.SILENT,
                reason=f"no response within {head_timeout} ms",
                duration=Milliseconds(self._clock.now() - reservation.reserved_at),
            )
            self._record_silence(call, reservation, model, failure)
            return result
        if isinstance(result, AttemptFailure):
            if result.outcome is Outcome.SILENT:
                self._record_silence(call, reservation, model, result)
                return result
            self._records.record_failure(call, result, endpoint.id, endpoint.version)
            if result.outcome in _CRASH_OUTCOMES:
                await self.check_crash(call, endpoint)
            return result
        if result.fields.unreadable:
            self._log.write(
                "attempt:unreadable-fields",
                request=call.request_id,
                endpoint=endpoint.id,
                fields=result.fields.unreadable,
            )
        self._records.record_response(call, result, model)
        return result

    async def replace_silent(
        self,
        call: Call,
        reservation: Reservation,
        *,
        goes_on: Coroutine[Any, Any, bool],
        give_up: Callable[[], None],
        model: ModelId | None,
        resume_after: EventId | None,
        is_resumption: bool,
        silence: Milliseconds,
        is_alone: Callable[[], bool] = lambda: True,
    ) -> OpenResponse | Silence:
        """
        Look for an endpoint that takes over from one that was silent for ``silence``.

        See ``attempt`` and ``StandbyRunner.replace``.
        """
        if not is_alone():
            goes_on.close()
            return Silence.KEPT
        call.excluded.add(reservation.endpoint.id)
        reservation.record_silence()
        max_silence = Milliseconds(round(silence * MAX_SILENCE_SHARE))
        demand = self._estimates.demand(call, model, max_silence=max_silence)
        if not self._pool.can_take(demand) or not self.may_retry(call):
            goes_on.close()
            return Silence.KEPT
        return await self._standby.replace(
            call,
            reservation.endpoint,
            goes_on=goes_on,
            model=model,
            resume_after=resume_after,
            is_resumption=is_resumption,
            max_silence=max_silence,
            give_up=give_up,
        )

    async def check_crash(
        self, call: Call, endpoint: Endpoint, *, has_event: bool = False
    ) -> None:
        """Record whether an endpoint crashed; see ``CrashGuard.check``."""
        await self._guard.check(call, endpoint, has_event=has_event)

    def record_answer_begun(self, call: Call) -> None:
        """Record that the first part of an answer has arrived."""
        self._guard.record_answer_begun(call)

    def record_broken_response(
        self, call: Call, response: OpenResponse, reason: str
    ) -> None:
        """Record that a response broke off before its end."""
        self._records.record_broken(call, response, reason)

    def record_silent_stream(
        self, call: Call, response: OpenResponse, *, is_moved: bool
    ) -> None:
        """Record that a stream has been idle, and whether another endpoint goes on."""
        self._records.record_silent_stream(call, response, is_moved=is_moved)

    def record_pace(self, call: Call, response: OpenResponse, pace: float) -> None:
        """Record the typical milliseconds between the events of a stream."""
        self._records.record_pace(call, response, pace)

    def record_complete_response(self, call: Call, response: OpenResponse) -> None:
        """Record that a response was received completely."""
        if response.is_success:
            self._guard.record_answered(call)
        if call.session is not None:
            version = response.reservation.endpoint.version
            self._tracker.sessions.record_served(call.session, version)

    def record_false_refusal(self, call: Call, response: OpenResponse) -> None:
        """Record that a failure is not passed on, as its status denies the run."""
        self.record_complete_response(call, response)
        self._records.record_false_refusal(call, response)

    def is_rather_alive(
        self,
        call: Call,
        reservation: Reservation,
        silent: Endpoint,
        *,
        model: ModelId | None,
    ) -> bool:
        """
        Return whether an endpoint that has not answered is preferable to a silent one.

        It is if it has sent anything since it was reserved. Otherwise a sound endpoint
        must be able to take longer, and no other one may have been found silent. That
        holds for the last attempt too: without this endpoint, none is left if the
        silent one fails.
        """
        if reservation.is_heard:
            return True
        waited = Milliseconds(self._clock.now() - reservation.reserved_at)
        return self._estimates.may_take_longer(
            call, model, reservation.backlog, waited
        ) and not self._pool.has_silent(call.service, beside=silent.id)

    def relative_backlog(self, call: Call) -> float:
        """Return the smallest backlog of an endpoint divided by the latency target."""
        return self._estimates.relative_backlog(call)

    def can_finish(self, call: Call, model: ModelId) -> bool:
        """Return whether a whole answer of ``model`` is expected in time."""
        return self._estimates.can_finish(call, model)

    def record_stream_duration(
        self,
        call: Call,
        model: ModelId | None,
        duration: Milliseconds,
        *,
        is_whole: bool,
    ) -> None:
        """Record the time from the first event of a stream to its end."""
        fields = call.fields
        tokens = fields.expected_output_tokens or fields.max_output_tokens
        add = self._streams.add if is_whole else self._streams.add_unfinished
        add(call.route.name, model or "", tokens, duration)

    def cascade_times(self, call: Call) -> CascadeTimes:
        """Return the times that decide which model of the route is asked first."""
        return self._estimates.cascade_times(call)

    async def _reserve(
        self,
        call: Call,
        model: ModelId | None,
        *,
        is_escalation: bool,
        is_resumption: bool,
        max_silence: Milliseconds | None,
    ) -> Reservation | QueueRefusal:
        """Reserve an endpoint; see ``attempt``."""
        refusal = self._guard.refusal(call)
        if refusal is not None:
            return refusal
        demand = self._estimates.demand(call, model, max_silence=max_silence)
        waits_for_place = max_silence is None
        priority = RESUMPTION_PRIORITY if is_resumption else call.priority
        max_wait = (
            self._estimates.max_wait(call) if waits_for_place else Milliseconds(0)
        )
        if is_escalation:
            max_wait = self._estimates.max_escalation_wait(call, demand.work)
        reservation = await self._queue.reserve(
            call.as_request(),
            demand,
            priority=priority,
            max_wait=max_wait,
            deprioritise_after=self._estimates.max_wait_in_time(call, demand.work),
        )
        is_refused = isinstance(reservation, QueueRefusal)
        if is_refused and call.excluded and waits_for_place:
            # An endpoint that failed this request before is better than none.
            reservation = await self._queue.reserve(
                call.as_request(),
                self._estimates.demand(call, model, excludes_failed=False),
                priority=priority,
                max_wait=self._estimates.max_wait(call),
                deprioritise_after=self._estimates.max_wait_in_time(call, demand.work),
            )
        if isinstance(reservation, QueueRefusal):
            return reservation
        refusal = self._refusal_after_wait(call)
        if refusal is not None:
            reservation.revoke()
            return refusal
        return reservation

    def _record_silence(
        self,
        call: Call,
        reservation: Reservation,
        model: ModelId | None,
        failure: AttemptFailure,
    ) -> None:
        """Record that an endpoint sent nothing until its run was ended."""
        endpoint = reservation.endpoint
        self._records.record_failure(call, failure, endpoint.id, endpoint.version)
        self._records.record_unanswered(call, model, failure, reservation.backlog)

    def _refusal_after_wait(self, call: Call) -> QueueRefusal | None:
        """Return why the request is not sent to the endpoint that it waited for."""
        if not call.sent_to and not self._admission.admits(call):
            # It has waited for too long to end before the instance does.
            return STOPPING_REFUSAL
        return self._guard.refusal(call)


def _send_kind(call: Call, *, is_escalation: bool, is_resumption: bool) -> SendKind:
    if is_resumption:
        return SendKind.RESUMPTION
    if is_escalation:
        return SendKind.ESCALATION
    return SendKind.RETRY if call.sent_to else SendKind.FIRST
