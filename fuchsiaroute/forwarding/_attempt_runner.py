"""Endpoint choice, timeout and retries for the attempts of a request."""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import Endpoint, RequestKind
from fuchsiaroute.forwarding._break_counter import BreakCounter
from fuchsiaroute.forwarding._call import Call
from fuchsiaroute.forwarding._counters import Counters
from fuchsiaroute.forwarding._endpoint_client import (
    AttemptFailure,
    EndpointClient,
    OpenResponse,
)
from fuchsiaroute.forwarding._latency_estimator import FIXED_TOKENS, LatencyEstimator
from fuchsiaroute.forwarding._model_choice import CascadeTimes
from fuchsiaroute.forwarding._speed_comparison import Speed, SpeedComparison
from fuchsiaroute.forwarding._stop_admission import STOPPING_REFUSAL, StopAdmission
from fuchsiaroute.ids import EndpointId, ModelId, RequestClass, ServiceId, VersionId
from fuchsiaroute.lifecycle import Outcome
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.platform import EventId, PromptPart
from fuchsiaroute.pool import (
    Demand,
    EndpointPool,
    NoChoice,
    QueueRefusal,
    RequestQueue,
)
from fuchsiaroute.quarantine import Quarantine
from fuchsiaroute.retry import WindowedRetryBudget
from fuchsiaroute.staging import Measure, RolloutTracker
from fuchsiaroute.verdict import Verdict

#: Sends beyond the route's attempts, to replace those that endpoints reject.
MAX_REJECTIONS = 2
#: Mean deviations above the expected latency after which an attempt times out.
TIMEOUT_DEVIATIONS = 6.0
#: Minimum attempt timeouts: processing times of plain services vary by tens of
#: milliseconds, and engines take up to some hundred to read a prompt.
MIN_BUFFERED_TIMEOUT = Milliseconds(150)
MIN_STREAM_TIMEOUT = Milliseconds(800)
#: Attempt timeout as a share of the latency target while too few latencies have been
#: observed.
INITIAL_TIMEOUT_SHARE = 0.5
#: Maximum attempt timeout as a share of the remaining time if a retry can follow.
MAX_TIMEOUT_SHARE = 0.5
#: Maximum wait in the queue, as a share of the remaining time and absolute: a late
#: answer still has value, and a caller that is refused can still ask elsewhere.
MAX_WAIT_SHARE = 0.3
MAX_WAIT = Milliseconds(3_000)
#: Maximum backlog of an engine as a share of the latency target. Engines process
#: prompts in order of arrival; requests in the queue here can still be reordered.
MAX_BACKLOG_SHARE = 0.35
#: Factor on the backlog in an attempt timeout: the load from other instances becomes
#: known with a delay.
BACKLOG_TIMEOUT_FACTOR = 2.0
#: Relative backlog above which an attempt has no timeout of its own: a retry would wait
#: in another backlog, and the prompt processing done so far would be lost.
MAX_RELATIVE_BACKLOG_TO_RETRY = 0.2
#: Share of the expected wait that is subtracted from a time to first byte to estimate
#: the processing time; the rest allows for queued requests that ended early.
SUBTRACTED_WAIT_SHARE = 0.8
#: Minimum share of a time to first byte that counts as processing time.
MIN_WORK_SHARE = 0.25
#: Prompt tokens processed per millisecond, assumed until latencies have been observed;
#: engines process tens of them.
INITIAL_TOKENS_PER_MS = 40.0
#: Queue priority of the rest of a stream: the most urgent one.
RESUMPTION_PRIORITY = 0
#: Prompt tokens that every working engine processes in a millisecond with any model.
MIN_TOKENS_PER_MS = 15.0
#: Remaining time below which a request is not retried.
MIN_REMAINING_TO_RETRY = Milliseconds(40)
#: Retry delay sent to the caller of a request that waits for its turn, or is kept from
#: the last endpoint of a service. A crashed endpoint takes seconds to be back.
RETRY_DELAY_OF_SUSPECTED = Milliseconds(1_000)
#: Share of the retry budget that escalations leave to retries of failed attempts and to
#: the resumption of broken streams.
ESCALATION_RESERVE = 0.05
#: Attempts that an escalation leaves for the resumption of its stream.
RESUME_RESERVE = 1
#: A time to first byte that exceeds the mean by this factor and by this excess is not
#: learned; prompts that are not cached yet take a few times the mean.
OUTLIER_FACTOR = 5.0
MIN_OUTLIER_EXCESS = Milliseconds(400)


def uncached_factor(prompt: tuple[PromptPart, ...]) -> float:
    """
    Return the factor on processing time where the last shared part is not cached.

    The first of several shared parts is common to so many requests that every engine
    has it cached; the last part belongs to this request alone and is never cached.
    """
    if len(prompt) < 2:
        return 1.0
    own = prompt[-1].tokens + FIXED_TOKENS
    return 1.0 + prompt[-2].tokens / own


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
    ) -> None:
        self._pool = pool
        self._queue = queue
        self._client = client
        self._tracker = tracker
        self._latencies = latencies
        self._speeds = speeds
        self._counters = counters
        self._clock = clock
        self._log = log
        self._new_budget = new_budget
        self._on_session = on_session
        self._is_stopping = is_stopping
        self._admission = admission
        self._quarantine = quarantine
        self._is_refused = is_refused
        self._breaks = BreakCounter(clock=clock)
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
        refusal = self._crash_refusal(call)
        if refusal is not None:
            return refusal
        demand = self._demand(call, model)
        priority = RESUMPTION_PRIORITY if is_resumption else call.priority
        max_wait = self._max_wait(call) if waits_for_place else Milliseconds(0)
        reservation = await self._queue.reserve(
            call.as_request(),
            demand,
            priority=priority,
            max_wait=max_wait,
            deprioritise_after=self._max_wait_in_time(call, demand.work),
        )
        is_refused = isinstance(reservation, QueueRefusal)
        if is_refused and call.excluded and waits_for_place:
            # An endpoint that failed this request before is better than none.
            reservation = await self._queue.reserve(
                call.as_request(),
                self._demand(call, model, excludes_failed=False),
                priority=priority,
                max_wait=self._max_wait(call),
                deprioritise_after=self._max_wait_in_time(call, demand.work),
            )
        if isinstance(reservation, QueueRefusal):
            return NoReservation(refusal=reservation)
        refusal = self._refusal_after_wait(call)
        if refusal is not None:
            reservation.revoke()
            return refusal
        before_send()
        call.follows_crash = self._quarantine.has_crashes(call.key)
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
            head_timeout=self._head_timeout(
                call, model, reservation.backlog, is_escalation=is_escalation
            ),
        )
        if isinstance(result, AttemptFailure):
            self._record_failure(call, result, endpoint.id, endpoint.version)
            if result.outcome is Outcome.SILENT:
                self._record_unanswered(call, model, result, reservation.backlog)
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
        self._record_response(call, result, model)
        return result

    async def check_crash(
        self, call: Call, endpoint: Endpoint, *, has_event: bool = False
    ) -> None:
        """
        Record whether an endpoint crashed under a request without a whole answer.

        To be called when its connection has ended. If the answer has begun
        (``has_event``), this is evidence against the request, not its prompt's parts.
        """
        if not self._pool.has_crashed(endpoint.id):
            if not await self._is_refused(endpoint):
                return
            self._pool.record_crash(endpoint.id)
        self._counters.add("endpoint_crashes", call.route.name)
        self._log.write(
            "endpoint:crashed",
            endpoint=endpoint.id,
            request=call.request_id,
            request_key=call.key,
            attempt=len(call.sent_to),
            prompt_parts=sorted(call.shared_parts),
        )
        self._quarantine.record_crash(
            {call.key} if has_event else call.subjects,
            endpoint.id,
            follows_crash=call.follows_crash,
        )

    def record_answer_begun(self, call: Call) -> None:
        """Record that the first part of an answer has arrived."""
        if call.shared_parts:
            self._quarantine.record_answer(call.shared_parts)

    def record_broken_response(
        self, call: Call, response: OpenResponse, reason: str
    ) -> None:
        """Record that a response broke off before its end."""
        call.failure_reasons.append(reason)
        endpoint = response.reservation.endpoint
        call.excluded.add(endpoint.id)
        if self._breaks.is_independent(endpoint.id):
            self._count_answer(call, endpoint.version, is_bad=True)
        self._log.write(
            "attempt:broken",
            request=call.request_id,
            endpoint=endpoint.id,
            version=endpoint.version,
            reason=reason,
        )

    def record_pace(self, call: Call, response: OpenResponse, pace: float) -> None:
        """Record the typical milliseconds between the events of a stream."""
        reservation = response.reservation
        version = reservation.endpoint.version
        age = Milliseconds(self._clock.now() - reservation.reserved_at)
        if not reservation.is_cold:
            self._speeds.record(
                _speed(call, version, response.model, Measure.PACE, pace, age)
            )

    def record_complete_response(self, call: Call, response: OpenResponse) -> None:
        """Record that a response was received completely."""
        if response.is_success:
            self._quarantine.record_answer({call.key})
        if call.session is not None:
            version = response.reservation.endpoint.version
            self._tracker.sessions.record_served(call.session, version)

    def _is_retry_allowed(self, call: Call) -> bool:
        max_sends = call.route.max_attempts + MAX_REJECTIONS
        is_late = call.remaining(self._clock) < MIN_REMAINING_TO_RETRY
        if is_late or len(call.failure_reasons) > max_sends:
            return False
        if call.is_not_run:
            return len(call.sent_to) < max_sends
        if not self._quarantine.may_retry(call.subjects):
            return False
        return call.route.is_repeatable and call.possible_runs < call.route.max_attempts

    def _refusal_after_wait(self, call: Call) -> NoReservation | None:
        """Return why the request is not sent to the endpoint that it waited for."""
        if not call.sent_to and not self._admission.admits(call):
            # It has waited for too long to end before the instance does.
            return NoReservation(refusal=STOPPING_REFUSAL)
        return self._crash_refusal(call)

    def _crash_refusal(self, call: Call) -> NoReservation | None:
        """Return why the request is kept from endpoints that may crash under it."""
        left = self._quarantine.refusal_time(call.subjects)
        if left is None:
            return self._suspicion_refusal(call)
        self._log.write(
            "request:quarantined",
            request=call.request_id,
            request_key=call.key,
            prompt_parts=sorted(call.shared_parts),
        )
        refusal = QueueRefusal(reason=NoChoice.QUARANTINED, retry_after=left)
        return NoReservation(refusal=refusal)

    def _suspicion_refusal(self, call: Call) -> NoReservation | None:
        """Refuse a request under which an endpoint crashed, where that is a risk."""
        if not self._quarantine.has_crashes(call.key):
            return None
        is_last_endpoint = self._pool.is_reduced_to_one(call.service)
        if not is_last_endpoint and not self._quarantine.is_held_back(call.key):
            return None
        self._log.write(
            "request:suspected",
            request=call.request_id,
            request_key=call.key,
            is_last_endpoint=is_last_endpoint,
        )
        refusal = QueueRefusal(
            reason=NoChoice.SUSPECTED, retry_after=RETRY_DELAY_OF_SUSPECTED
        )
        return NoReservation(refusal=refusal)

    def _versions(self, call: Call) -> frozenset[VersionId] | None:
        """Return the versions that may run the request; None allows any."""
        return self._tracker.allowed_versions(
            call.service,
            self._pool.versions(call.service),
            session=call.session,
            key=call.rollout_key,
        )

    def _demand(
        self, call: Call, model: ModelId | None, *, excludes_failed: bool = True
    ) -> Demand:
        affinity = ""
        if call.session is not None:
            affinity = f"{model or ''}:{call.session:x}"
        return Demand(
            service=call.service,
            versions=self._versions(call),
            affinity=affinity,
            work=self._expected_latency(call, model),
            uncached_factor=uncached_factor(call.fields.prompt),
            max_backlog=call.route.latency_target * MAX_BACKLOG_SHARE or math.inf,
            excluded=frozenset(call.excluded) if excludes_failed else frozenset(),
            is_repeatable=call.route.is_repeatable,
        )

    def _max_wait(self, call: Call) -> Milliseconds:
        remaining = call.remaining(self._clock)
        wait = min(remaining * MAX_WAIT_SHARE, MAX_WAIT)
        return Milliseconds(round(max(wait, 0)))

    def _max_wait_in_time(self, call: Call, work: float) -> Milliseconds:
        """Return how long the request can wait and still meet its latency target."""
        waited = self._clock.now() - call.inbound.arrived_at
        return Milliseconds(round(call.route.latency_target - waited - work))

    def _expected_latency(self, call: Call, model: ModelId | None) -> float:
        """Return the expected processing time in milliseconds up to the first byte."""
        if call.session is None:
            return 0.0
        tokens = call.fields.prompt_tokens
        mean = self._latencies.mean(call.route.name, model or "", tokens)
        return mean if mean is not None else tokens / INITIAL_TOKENS_PER_MS

    def relative_backlog(self, call: Call) -> float:
        """Return the smallest backlog of an endpoint divided by the latency target."""
        target = max(call.route.latency_target, 1)
        return self._pool.min_backlog(call.service, self._versions(call)) / target

    def cascade_times(self, call: Call) -> CascadeTimes:
        """Return the times that decide which model of the route is asked first."""
        models = call.route.models
        waited = self._clock.now() - call.inbound.arrived_at
        return CascadeTimes(
            smallest=self._learned_latency(call, models[0]) if models else None,
            largest=self._learned_latency(call, models[-1]) if models else None,
            left=call.route.latency_target - waited,
            relative_backlog=self.relative_backlog(call),
        )

    def _learned_latency(self, call: Call, model: ModelId) -> float | None:
        tokens = call.fields.prompt_tokens
        return self._latencies.mean(call.route.name, model, tokens)

    def _head_timeout(
        self,
        call: Call,
        model: ModelId | None,
        backlog: float,
        *,
        is_escalation: bool,
    ) -> Milliseconds:
        """Return how long to wait for the response head before a retry."""
        remaining = call.remaining(self._clock)
        can_retry = (
            call.route.is_repeatable
            and call.possible_runs + 1 < call.route.max_attempts
        )
        if not can_retry or self.relative_backlog(call) > MAX_RELATIVE_BACKLOG_TO_RETRY:
            return remaining
        is_stream = call.route.kind is RequestKind.STREAMING
        minimum = MIN_STREAM_TIMEOUT if is_stream else MIN_BUFFERED_TIMEOUT
        timeout = self._latencies.upper(
            call.route.name,
            model or "",
            call.fields.prompt_tokens,
            deviations=TIMEOUT_DEVIATIONS,
        )
        if timeout is None:
            timeout = max(
                call.route.latency_target * INITIAL_TIMEOUT_SHARE,
                call.fields.prompt_tokens / MIN_TOKENS_PER_MS if is_stream else 0.0,
            )
        if is_escalation:
            # The weak answer is of little use, and it is no better if it is sent sooner
            # than the latency target.
            timeout = max(timeout, call.route.latency_target)
        timeout += BACKLOG_TIMEOUT_FACTOR * backlog
        maximum = remaining * MAX_TIMEOUT_SHARE
        return Milliseconds(round(min(max(timeout, minimum), maximum)))

    def _record_response(
        self, call: Call, response: OpenResponse, model: ModelId | None
    ) -> None:
        reservation = response.reservation
        is_bad = not response.is_success
        if is_bad:
            call.excluded.add(reservation.endpoint.id)
        self._count_answer(call, reservation.endpoint.version, is_bad=is_bad)
        if response.is_success:
            self._record_latency(call, response, model)
        self._counters.add("attempts", "answered" if not is_bad else "failed")

    def _record_latency(
        self, call: Call, response: OpenResponse, model: ModelId | None
    ) -> None:
        reservation = response.reservation
        duration = response.time_to_first_byte
        tokens = call.fields.prompt_tokens
        mean = self._latencies.mean(call.route.name, model or "", tokens)
        if mean is not None and mean > 0:
            reservation.record_duration(duration / (mean + reservation.backlog))
        waited = SUBTRACTED_WAIT_SHARE * reservation.backlog
        work = Milliseconds(round(max(duration - waited, MIN_WORK_SHARE * duration)))
        is_outlier = (
            mean is not None
            and duration > OUTLIER_FACTOR * mean + reservation.backlog
            and duration > mean + reservation.backlog + MIN_OUTLIER_EXCESS
        )
        if not is_outlier:
            self._latencies.add(call.route.name, model or "", tokens, work)
        if not reservation.is_cold:
            speed = _speed(
                call, reservation.endpoint.version, model, Measure.START, work, duration
            )
            self._speeds.record(speed)

    def _record_unanswered(
        self,
        call: Call,
        model: ModelId | None,
        failure: AttemptFailure,
        backlog: float,
    ) -> None:
        work = Milliseconds(round(max(failure.duration - backlog, 0)))
        tokens = call.fields.prompt_tokens
        self._latencies.add_unanswered(call.route.name, model or "", tokens, work)

    def _record_failure(
        self,
        call: Call,
        failure: AttemptFailure,
        endpoint: EndpointId,
        version: VersionId,
    ) -> None:
        call.failure_reasons.append(failure.reason)
        call.excluded.add(endpoint)
        self._counters.add("attempts", failure.outcome.value)
        if failure.outcome is Outcome.SILENT:
            waited = failure.duration
            self._speeds.record_unanswered(
                _speed(call, version, None, Measure.START, waited, waited)
            )
        elif failure.verdict is not Verdict.NOT_RUN and (
            self._breaks.is_independent(endpoint)
        ):
            self._count_answer(call, version, is_bad=True)
        self._log.write(
            "attempt:failed",
            request=call.request_id,
            endpoint=endpoint,
            version=version,
            outcome=failure.outcome.value,
            reason=failure.reason,
            attempt=len(call.sent_to),
        )

    def _count_answer(self, call: Call, version: VersionId, *, is_bad: bool) -> None:
        self._tracker.record_answer(
            call.service, version, RequestClass(call.route.name), is_bad=is_bad
        )

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


def _speed(
    call: Call,
    version: VersionId,
    model: ModelId | None,
    measure: Measure,
    duration: float,
    age: Milliseconds,
) -> Speed:
    is_start = measure is Measure.START
    return Speed(
        service=call.service,
        version=version,
        route=call.route.name,
        model=model,
        measure=measure,
        duration=duration,
        size=FIXED_TOKENS + call.fields.prompt_tokens if is_start else 1.0,
        # The target's endpoints have no prompts of its version cached at first.
        allowance=uncached_factor(call.fields.prompt) if is_start else 1.0,
        age=age,
    )
