"""Runs the attempts of a request, one endpoint after the other."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.clock import Clock, Milliseconds
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
from fuchsiaroute.forwarding._speed_comparison import SpeedComparison
from fuchsiaroute.forwarding._stop_admission import STOPPING_REFUSAL, StopAdmission
from fuchsiaroute.ids import ModelId, ServiceId
from fuchsiaroute.lifecycle import Outcome
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.platform import EventId
from fuchsiaroute.pool import EndpointPool, QueueRefusal, RequestQueue
from fuchsiaroute.quarantine import Quarantine
from fuchsiaroute.retry import WindowedRetryBudget
from fuchsiaroute.staging import RolloutTracker

#: Sends beyond the route's attempts, to replace those that endpoints reject.
MAX_REJECTIONS = 2
#: Queue priority of the rest of a stream: the most urgent one.
RESUMPTION_PRIORITY = 0
#: Remaining time below which a request is not retried.
MIN_REMAINING_TO_RETRY = Milliseconds(40)
#: Share of the retry budget that escalations leave to retries of failed attempts and to
#: the resumption of broken streams.
ESCALATION_RESERVE = 0.05
#: Attempts that an escalation leaves for the resumption of its stream.
RESUME_RESERVE = 1


class SendKind(Enum):
    """Why a request is sent to an endpoint, for the counters."""

    FIRST = "first"
    RETRY = "retry"
    ESCALATION = "escalation"
    RESUMPTION = "resumption"


@dataclass(frozen=True, kw_only=True)
class NoReservation:
    """The queue refused the request; nothing was sent in this attempt."""

    refusal: QueueRefusal


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
        is_brittle: Callable[[Endpoint], bool] = lambda endpoint: False,
    ) -> None:
        self._queue = queue
        self._client = client
        self._tracker = tracker
        self._counters = counters
        self._clock = clock
        self._log = log
        self._new_budget = new_budget
        self._on_session = on_session
        self._is_stopping = is_stopping
        self._admission = admission
        self._estimates = AttemptEstimates(
            pool=pool, tracker=tracker, latencies=latencies, clock=clock
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
        self._budgets: dict[ServiceId, WindowedRetryBudget] = {}

    def record_request(self, call: Call) -> None:
        """Count a new request to a service for its retry budget."""
        self._retry_budget(call.service).record_first_attempt()

    def may_retry(self, call: Call) -> bool:
        """Return whether the request may be sent again; charges the retry budget."""
        if not self._is_retry_allowed(call):
            return False
        if call.charged_retries >= len(call.sent_to):
            # The last attempt was not sent, so the next one is not a further retry.
            return True
        # A retry counts whether the endpoint runs or rejects it.
        if not self._retry_budget(call.service).spend():
            return False
        call.charged_retries += 1
        return True

    def may_escalate(self, call: Call) -> bool:
        """Return whether a larger model may be asked; charges the retry budget."""
        reserve = RESUME_RESERVE if call.route.is_resumable else 0
        if (
            self._is_stopping()
            or not call.route.is_repeatable
            or call.possible_runs + reserve >= call.route.max_attempts
        ):
            return False
        if not self._retry_budget(call.service).spend(reserve_share=ESCALATION_RESERVE):
            return False
        call.charged_retries += 1
        return True

    async def attempt(
        self,
        call: Call,
        *,
        model: ModelId | None,
        resume_after: EventId | None = None,
        is_escalation: bool = False,
        is_resumption: bool = False,
        waits_for_place: bool = True,
        before_send: Callable[[], None] = lambda: None,
    ) -> OpenResponse | AttemptFailure | NoReservation:
        """
        Reserve an endpoint and send the request to it.

        The rest of a stream that the caller has begun to receive (``is_resumption``)
        is queued before all new requests. Unless it ``waits_for_place``, it is sent
        only if an endpoint that has not failed this request has capacity now.
        ``before_send`` is called once an endpoint is reserved.
        """
        refusal = self._guard.refusal(call)
        if refusal is not None:
            return NoReservation(refusal=refusal)
        demand = self._estimates.demand(call, model)
        priority = RESUMPTION_PRIORITY if is_resumption else call.priority
        max_wait = (
            self._estimates.max_wait(call) if waits_for_place else Milliseconds(0)
        )
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
            return NoReservation(refusal=reservation)
        refusal = self._refusal_after_wait(call)
        if refusal is not None:
            reservation.revoke()
            return NoReservation(refusal=refusal)
        before_send()
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
        result = await self._client.send(
            call,
            reservation,
            model=model,
            resume_after=resume_after,
            head_timeout=self._estimates.head_timeout(
                call, model, reservation.backlog, is_escalation=is_escalation
            ),
        )
        if isinstance(result, AttemptFailure):
            self._records.record_failure(call, result, endpoint.id, endpoint.version)
            if result.outcome is Outcome.SILENT:
                self._records.record_unanswered(
                    call, model, result, reservation.backlog
                )
            elif result.outcome is Outcome.FAILED_AFTER_SENT:
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

    def relative_backlog(self, call: Call) -> float:
        """Return the smallest backlog of an endpoint divided by the latency target."""
        return self._estimates.relative_backlog(call)

    def cascade_times(self, call: Call) -> CascadeTimes:
        """Return the times that decide which model of the route is asked first."""
        return self._estimates.cascade_times(call)

    def _is_retry_allowed(self, call: Call) -> bool:
        max_sends = call.route.max_attempts + MAX_REJECTIONS
        is_late = call.remaining(self._clock) < MIN_REMAINING_TO_RETRY
        if is_late or len(call.failure_reasons) > max_sends:
            return False
        if call.is_not_run:
            return len(call.sent_to) < max_sends
        if not self._guard.may_retry(call):
            return False
        return call.route.is_repeatable and call.possible_runs < call.route.max_attempts

    def _refusal_after_wait(self, call: Call) -> QueueRefusal | None:
        """Return why the request is not sent to the endpoint that it waited for."""
        if not call.sent_to and not self._admission.admits(call):
            # It has waited for too long to end before the instance does.
            return STOPPING_REFUSAL
        return self._guard.refusal(call)

    def _retry_budget(self, service: ServiceId) -> WindowedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets.setdefault(service, self._new_budget())
        return budget


def _send_kind(call: Call, *, is_escalation: bool, is_resumption: bool) -> SendKind:
    if is_resumption:
        return SendKind.RESUMPTION
    if is_escalation:
        return SendKind.ESCALATION
    return SendKind.RETRY if call.sent_to else SendKind.FIRST
