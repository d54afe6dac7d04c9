"""What the attempts of requests show of endpoints, versions and latencies."""

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.forwarding._attempt_estimates import uncached_factor
from fuchsiaroute.forwarding._break_counter import BreakCounter
from fuchsiaroute.forwarding._call import Call
from fuchsiaroute.forwarding._counters import Counters
from fuchsiaroute.forwarding._endpoint_client import AttemptFailure, OpenResponse
from fuchsiaroute.forwarding._latency_estimator import FIXED_TOKENS, LatencyEstimator
from fuchsiaroute.forwarding._speed_comparison import Speed, SpeedComparison
from fuchsiaroute.ids import EndpointId, ModelId, RequestClass, VersionId
from fuchsiaroute.lifecycle import Outcome
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.staging import Measure, RolloutTracker
from fuchsiaroute.verdict import Verdict

#: Share of the expected wait that is subtracted from a time to first byte to estimate
#: the processing time; the rest allows for queued requests that ended early.
SUBTRACTED_WAIT_SHARE = 0.8
#: Minimum share of a time to first byte that counts as processing time.
MIN_WORK_SHARE = 0.25
#: A time to first byte that exceeds the mean by this factor and by this excess is not
#: learned; prompts that are not cached yet take a few times the mean.
OUTLIER_FACTOR = 5.0
MIN_OUTLIER_EXCESS = Milliseconds(400)

#: Outcomes that tell nothing of an endpoint's version, though the request may have run.
_NO_EVIDENCE = frozenset({Outcome.PATH_LOST, Outcome.REFUSED_UNNAMED})


class AttemptRecords:
    """Counts outcomes, learns latencies and collects evidence on roll-outs."""

    def __init__(
        self,
        *,
        tracker: RolloutTracker,
        latencies: LatencyEstimator,
        speeds: SpeedComparison,
        counters: Counters,
        clock: Clock,
        log: LineLog,
    ) -> None:
        self._tracker = tracker
        self._latencies = latencies
        self._speeds = speeds
        self._counters = counters
        self._clock = clock
        self._log = log
        self._breaks = BreakCounter(clock=clock)

    def record_response(
        self, call: Call, response: OpenResponse, model: ModelId | None
    ) -> None:
        """Record that the head of a response has arrived."""
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

    def record_unanswered(
        self,
        call: Call,
        model: ModelId | None,
        failure: AttemptFailure,
        backlog: float,
    ) -> None:
        """Record the time of an attempt that was given up without a response."""
        work = Milliseconds(round(max(failure.duration - backlog, 0)))
        tokens = call.fields.prompt_tokens
        self._latencies.add_unanswered(call.route.name, model or "", tokens, work)

    def record_failure(
        self,
        call: Call,
        failure: AttemptFailure,
        endpoint: EndpointId,
        version: VersionId,
    ) -> None:
        """Record that an attempt ended without a usable response."""
        call.failure_reasons.append(failure.reason)
        call.excluded.add(endpoint)
        self._counters.add("attempts", failure.outcome.value)
        if failure.outcome is Outcome.SILENT:
            waited = failure.duration
            self._speeds.record_unanswered(
                _speed(call, version, None, Measure.START, waited, waited)
            )
        elif (
            failure.verdict is not Verdict.NOT_RUN
            and failure.outcome not in _NO_EVIDENCE
            and self._breaks.is_independent(endpoint)
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

    def record_broken(self, call: Call, response: OpenResponse, reason: str) -> None:
        """Record that a response broke off before its end."""
        call.failure_reasons.append(reason)
        endpoint = response.reservation.endpoint
        call.excluded.add(endpoint.id)
        is_path_lost = response.is_path_lost(Outcome.TRUNCATED)
        if not is_path_lost and self._breaks.is_independent(endpoint.id):
            self._count_answer(call, endpoint.version, is_bad=True)
        self._log.write(
            "attempt:broken",
            request=call.request_id,
            endpoint=endpoint.id,
            version=endpoint.version,
            reason=reason,
        )

    def record_false_refusal(self, call: Call, response: OpenResponse) -> None:
        """Record a failure whose status says that the request has not run."""
        call.failure_reasons.append(
            f"status {response.head.status} without a statement that it has not run"
        )
        self._counters.add("attempts", "false_refusal")

    def record_silent_stream(
        self, call: Call, response: OpenResponse, *, is_moved: bool
    ) -> None:
        """Record that a stream has been idle, and whether another endpoint goes on."""
        decision = "moved" if is_moved else "kept"
        self._counters.add("silent_streams", decision)
        self._log.write(
            "stream:silent",
            request=call.request_id,
            endpoint=response.reservation.endpoint.id,
            decision=decision,
            sent_to=call.sent_to,
            time_left_ms=call.remaining(self._clock),
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

    def _count_answer(self, call: Call, version: VersionId, *, is_bad: bool) -> None:
        self._tracker.record_answer(
            call.service, version, RequestClass(call.route.name), is_bad=is_bad
        )


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
