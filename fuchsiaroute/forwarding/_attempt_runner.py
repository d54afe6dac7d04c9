"""Attempts of a request: where, how often and for how long."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import RequestKind
from fuchsiaroute.forwarding._call import Call
from fuchsiaroute.forwarding._counters import Counters
from fuchsiaroute.forwarding._endpoint_client import (
    AttemptFailure,
    EndpointClient,
    OpenResponse,
)
from fuchsiaroute.forwarding._latency_estimator import FIXED_TOKENS, LatencyEstimator
from fuchsiaroute.ids import EndpointId, ModelId, RequestClass, ServiceId, VersionId
from fuchsiaroute.lifecycle import Outcome
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.platform import EventId, PromptPart
from fuchsiaroute.pool import Demand, EndpointPool, QueueRefusal, RequestQueue
from fuchsiaroute.retry import WindowedRetryBudget
from fuchsiaroute.staging import RolloutTracker
from fuchsiaroute.verdict import Verdict

#: Sends beyond the route's attempts that endpoints may answer with a rejection.
MOST_REJECTIONS = 2
#: Mean deviations above the mean after which a response counts as overdue.
OVERDUE_DEVIATIONS = 6.0
#: Shortest times until a response counts as overdue; work times of plain services
#: vary by tens of milliseconds, prompts take up to some hundred to read.
LEAST_PLAIN_PATIENCE = Milliseconds(150)
LEAST_STREAM_PATIENCE = Milliseconds(800)
#: Part of the latency target after which a response counts as overdue while too few
#: have been seen.
FIRST_PATIENCE_SHARE = 0.5
#: Part of the remaining time that one attempt may take if another can follow.
LARGEST_PATIENCE_SHARE = 0.5
#: Part of the time left, and the longest time, for which a request may wait for a
#: place: a late answer is worth something, and the caller can still ask elsewhere.
WAIT_SHARE_OF_REMAINING = 0.3
LONGEST_WAIT = Milliseconds(3_000)
#: Part of the latency target that may be queued at an engine. Engines read prompts in
#: the order in which they come; what waits here can still be put in another order.
BACKLOG_SHARE_OF_TARGET = 0.35
#: Factor on the work that a request waits for; other instances' part is known late.
BACKLOG_PATIENCE = 2.0
#: Wait at the least loaded endpoint, relative to the latency target, above which a
#: late response is waited for: elsewhere the request would wait again, and what the
#: first endpoint has read of it would be lost.
MOST_PRESSURE_TO_SWITCH = 0.2
#: Part of the wait that was expected which is taken off a time to the first byte, to
#: learn the work without the wait; the rest allows for requests that ended early.
LEARNED_WAIT_PART = 0.8
#: Part of a time to the first byte that counts as work at least.
LEAST_WORK_PART = 0.25
#: Prompt tokens read in a millisecond until a time has been learned; engines read tens
#: of them.
FIRST_TOKENS_PER_MS = 40.0
#: Time left below which another attempt is of no use.
LEAST_REMAINING = Milliseconds(40)
#: Part of the retry budget that escalations leave to repeats of failed attempts.
ESCALATION_RESERVE = 0.15
#: Time to the first byte, relative to its mean, above which an answer of a version on
#: trial is slow, and the least excess in milliseconds; prompts that are not cached yet
#: take a few times the mean.
SLOW_FACTOR = 5.0
SLOW_EXCESS = Milliseconds(400)


def uncached_factor(prompt: tuple[PromptPart, ...]) -> float:
    """
    Return how much longer a prompt takes where its last shared part is not cached.

    The first of several shared parts is common to so many requests that every engine
    has it; the last part is a request's own and cached nowhere.
    """
    if len(prompt) < 2:
        return 1.0
    own = prompt[-1].tokens + FIXED_TOKENS
    return 1.0 + prompt[-2].tokens / own


@dataclass(frozen=True, kw_only=True)
class NoPlace:
    """The gate has refused; the request has not been sent in this attempt."""

    refusal: QueueRefusal


class AttemptRunner:
    """Makes attempts and learns from their outcomes."""

    def __init__(
        self,
        *,
        pool: EndpointPool,
        gate: RequestQueue,
        client: EndpointClient,
        tracker: RolloutTracker,
        latencies: LatencyEstimator,
        counters: Counters,
        clock: Clock,
        log: LineLog,
        new_budget: Callable[[], WindowedRetryBudget],
        on_session: Callable[[Call], None],
    ) -> None:
        self._pool = pool
        self._gate = gate
        self._client = client
        self._tracker = tracker
        self._latencies = latencies
        self._counters = counters
        self._clock = clock
        self._log = log
        self._new_budget = new_budget
        self._on_session = on_session
        self._budgets: dict[ServiceId, WindowedRetryBudget] = {}

    def begin(self, call: Call) -> None:
        """Note a new request to a service."""
        self._budget(call.service).note_first_attempt()

    def may_repeat(self, call: Call) -> bool:
        """Return whether the request may be sent once more, and spend for it."""
        if not self._is_repeat_allowed(call):
            return False
        if call.paid_repeats >= len(call.sent_to):
            # What never left for an endpoint cannot have arrived as a repeat.
            return True
        # The repeat counts at the service whether it runs or is rejected.
        if not self._budget(call.service).spend():
            return False
        call.paid_repeats += 1
        return True

    def may_escalate(self, call: Call) -> bool:
        """Return whether a better model may be asked, and spend for it."""
        if not call.route.is_repeatable or call.runs >= call.route.max_attempts:
            return False
        if not self._budget(call.service).spend(reserve_share=ESCALATION_RESERVE):
            return False
        call.paid_repeats += 1
        return True

    async def attempt(
        self,
        call: Call,
        *,
        model: ModelId | None,
        resume_after: EventId | None = None,
    ) -> OpenResponse | AttemptFailure | NoPlace:
        """Find an endpoint and send the request there."""
        demand = self._demand(call, model)
        reservation = await self._gate.reserve(
            call.as_request(),
            demand,
            priority=call.priority,
            max_wait=self._wait(call),
            deprioritise_after=self._in_time_for(call, demand.work),
        )
        if isinstance(reservation, QueueRefusal) and call.excluded:
            # Better an endpoint that has had the request than none.
            reservation = await self._gate.reserve(
                call.as_request(),
                self._demand(call, model, is_excluding=False),
                priority=call.priority,
                max_wait=self._wait(call),
                deprioritise_after=self._in_time_for(call, demand.work),
            )
        if isinstance(reservation, QueueRefusal):
            return NoPlace(refusal=reservation)
        endpoint = reservation.endpoint
        if call.session is not None:
            self._tracker.sessions.served(call.session, endpoint.version)
            self._on_session(call)
        result = await self._client.send(
            call,
            reservation,
            model=model,
            resume_after=resume_after,
            patience=self._patience(call, model, reservation.backlog),
        )
        if isinstance(result, AttemptFailure):
            self._failed(call, result, endpoint.id, endpoint.version)
            return result
        if result.fields.unreadable:
            self._log.write(
                "attempt:unreadable-fields",
                request=call.request_id,
                endpoint=endpoint.id,
                fields=result.fields.unreadable,
            )
        self._learn(call, result, model)
        return result

    def broke(self, call: Call, response: OpenResponse, reason: str) -> None:
        """Note that a response has broken off."""
        call.reasons.append(reason)
        endpoint = response.reservation.endpoint
        call.excluded.add(endpoint.id)
        self._count(call, endpoint.version, is_bad=True)
        self._log.write(
            "attempt:broken",
            request=call.request_id,
            endpoint=endpoint.id,
            version=endpoint.version,
            reason=reason,
        )

    def ended(self, call: Call, response: OpenResponse) -> None:
        """Note that a response has ended whole."""
        if call.session is not None:
            version = response.reservation.endpoint.version
            self._tracker.sessions.served(call.session, version)

    # Private

    def _is_repeat_allowed(self, call: Call) -> bool:
        sends = call.route.max_attempts + MOST_REJECTIONS
        is_late = call.remaining(self._clock) < LEAST_REMAINING
        if is_late or len(call.reasons) > sends:
            return False
        if call.is_not_run:
            return len(call.sent_to) < sends
        return call.route.is_repeatable and call.runs < call.route.max_attempts

    def _versions(self, call: Call) -> frozenset[VersionId] | None:
        """Return the versions that may run the request; None allows any."""
        return self._tracker.allowed(
            call.service,
            self._pool.versions(call.service),
            session=call.session,
            key=call.rollout_key,
        )

    def _demand(
        self, call: Call, model: ModelId | None, *, is_excluding: bool = True
    ) -> Demand:
        affinity = ""
        if call.session is not None:
            affinity = f"{model or ''}:{call.session:x}"
        return Demand(
            service=call.service,
            versions=self._versions(call),
            affinity=affinity,
            work=self._expected(call, model),
            uncached_factor=uncached_factor(call.fields.prompt),
            max_backlog=call.route.latency_target * BACKLOG_SHARE_OF_TARGET or math.inf,
            excluded=frozenset(call.excluded) if is_excluding else frozenset(),
            is_repeatable=call.route.is_repeatable,
        )

    def _wait(self, call: Call) -> Milliseconds:
        remaining = call.remaining(self._clock)
        wait = min(remaining * WAIT_SHARE_OF_REMAINING, LONGEST_WAIT)
        return Milliseconds(round(max(wait, 0)))

    def _in_time_for(self, call: Call, work: float) -> Milliseconds:
        """Return how long a request can wait and still be answered in time."""
        waited = self._clock.now() - call.inbound.arrived_at
        return Milliseconds(round(call.route.latency_target - waited - work))

    def _expected(self, call: Call, model: ModelId | None) -> float:
        """Return the expected milliseconds until a response begins."""
        if call.session is None:
            return 0.0
        tokens = call.fields.prompt_tokens
        mean = self._latencies.mean(call.route.name, model or "", tokens)
        return mean if mean is not None else tokens / FIRST_TOKENS_PER_MS

    def pressure(self, call: Call) -> float:
        """Return the wait at the least loaded endpoint, relative to the target."""
        target = max(call.route.latency_target, 1)
        return self._pool.min_backlog(call.service, self._versions(call)) / target

    def _patience(
        self, call: Call, model: ModelId | None, backlog: float
    ) -> Milliseconds:
        """Return how long to wait for a response before another is asked for."""
        remaining = call.remaining(self._clock)
        can_follow = (
            call.route.is_repeatable and call.runs + 1 < call.route.max_attempts
        )
        if not can_follow or self.pressure(call) > MOST_PRESSURE_TO_SWITCH:
            return remaining
        is_stream = call.route.kind is RequestKind.STREAMING
        least = LEAST_STREAM_PATIENCE if is_stream else LEAST_PLAIN_PATIENCE
        overdue = self._latencies.upper(
            call.route.name,
            model or "",
            call.fields.prompt_tokens,
            deviations=OVERDUE_DEVIATIONS,
        )
        if overdue is None:
            overdue = call.route.latency_target * FIRST_PATIENCE_SHARE
        overdue += BACKLOG_PATIENCE * backlog
        longest = remaining * LARGEST_PATIENCE_SHARE
        return Milliseconds(round(min(max(overdue, least), longest)))

    def _learn(self, call: Call, response: OpenResponse, model: ModelId | None) -> None:
        reservation = response.reservation
        duration = response.first_byte_after
        tokens = call.fields.prompt_tokens
        mean = self._latencies.mean(call.route.name, model or "", tokens)
        is_slow = (
            mean is not None
            and duration > SLOW_FACTOR * mean + reservation.backlog
            and duration > mean + reservation.backlog + SLOW_EXCESS
        )
        is_bad = not response.is_success
        if is_bad:
            call.excluded.add(reservation.endpoint.id)
        version = reservation.endpoint.version
        self._count(call, version, is_bad=is_bad)
        if response.is_success:
            self._count_latency(call, version, is_slow=is_slow)
        if mean is not None and mean > 0 and response.is_success:
            reservation.record_duration(duration / (mean + reservation.backlog))
        if response.is_success and not is_slow:
            waited = LEARNED_WAIT_PART * reservation.backlog
            work = Milliseconds(
                round(max(duration - waited, LEAST_WORK_PART * duration))
            )
            self._latencies.add(call.route.name, model or "", tokens, work)
        self._counters.add("attempts", "answered" if not is_bad else "failed")

    def _failed(
        self,
        call: Call,
        failure: AttemptFailure,
        endpoint: EndpointId,
        version: VersionId,
    ) -> None:
        call.reasons.append(failure.reason)
        call.excluded.add(endpoint)
        self._counters.add("attempts", failure.outcome.value)
        if failure.outcome is Outcome.SILENT:
            self._count_latency(call, version, is_slow=True)
        elif failure.verdict is not Verdict.NOT_RUN:
            self._count(call, version, is_bad=True)
        self._log.write(
            "attempt:failed",
            request=call.request_id,
            endpoint=endpoint,
            version=version,
            outcome=failure.outcome.value,
            reason=failure.reason,
            attempt=len(call.sent_to),
        )

    def _count(self, call: Call, version: VersionId, *, is_bad: bool) -> None:
        self._tracker.answered(
            call.service, version, RequestClass(call.route.name), is_bad=is_bad
        )

    def _count_latency(self, call: Call, version: VersionId, *, is_slow: bool) -> None:
        self._tracker.answered(
            call.service,
            version,
            RequestClass(f"{call.route.name}:latency"),
            is_bad=is_slow,
        )

    def _budget(self, service: ServiceId) -> WindowedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets.setdefault(service, self._new_budget())
        return budget
