"""What an attempt requires of an endpoint, and how long it may wait and take."""

from collections.abc import Callable

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.contention import BACKLOG_SHARE, BacklogLimits
from fuchsiaroute.deployment import RequestKind
from fuchsiaroute.forwarding._call import Call
from fuchsiaroute.forwarding._latency_estimator import FIXED_TOKENS, LatencyEstimator
from fuchsiaroute.forwarding._model_choice import CascadeTimes
from fuchsiaroute.forwarding._stream_durations import StreamDurations
from fuchsiaroute.ids import ModelId, VersionId
from fuchsiaroute.platform import PromptPart
from fuchsiaroute.pool import Demand, EndpointPool
from fuchsiaroute.staging import RolloutTracker

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
#: Factor on the backlog in an attempt timeout: the load from other instances becomes
#: known with a delay.
BACKLOG_TIMEOUT_FACTOR = 2.0
#: Relative backlog above which an attempt has no timeout of its own: a retry would wait
#: in another backlog, and the prompt processing done so far would be lost.
MAX_RELATIVE_BACKLOG_TO_RETRY = 0.2
#: Share of the remaining time after which a better answer is no longer waited for, so
#: that the caller gets the weak one in time.
MAX_ESCALATION_SHARE = 0.7
#: Share of the remaining time within which an answer is expected to end.
USABLE_TIME_SHARE = 0.9
#: Prompt tokens processed per millisecond, assumed until latencies have been observed;
#: engines process tens of them.
INITIAL_TOKENS_PER_MS = 40.0
NO_WAIT = Milliseconds(0)
#: Prompt tokens that every working engine processes in a millisecond with any model.
MIN_TOKENS_PER_MS = 15.0


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


class AttemptEstimates:
    """Estimates from learned latencies, loads and the roll-outs of a service."""

    def __init__(
        self,
        *,
        pool: EndpointPool,
        tracker: RolloutTracker,
        latencies: LatencyEstimator,
        streams: StreamDurations,
        limits: Callable[[], BacklogLimits],
        clock: Clock,
    ) -> None:
        self._streams = streams
        self._limits = limits
        self._pool = pool
        self._tracker = tracker
        self._latencies = latencies
        self._clock = clock

    def versions(self, call: Call) -> frozenset[VersionId] | None:
        """Return the versions that may run the request; None allows any."""
        return self._tracker.allowed_versions(
            call.service,
            self._pool.versions(call.service),
            session=call.session,
            key=call.rollout_key,
        )

    def demand(
        self,
        call: Call,
        model: ModelId | None,
        *,
        excludes_failed: bool = True,
        max_silence: Milliseconds | None = None,
    ) -> Demand:
        """Return what the request requires of an endpoint."""
        affinity = ""
        if call.session is not None:
            affinity = f"{model or ''}:{call.session:x}"
        return Demand(
            service=call.service,
            versions=self.versions(call),
            affinity=affinity,
            work=self._expected_latency(call, model),
            uncached_factor=uncached_factor(call.fields.prompt),
            max_backlog=self._backlog_limit(call),
            excluded=frozenset(call.excluded) if excludes_failed else frozenset(),
            max_silence=max_silence,
            is_repeatable=call.route.is_repeatable,
        )

    def max_wait(self, call: Call) -> Milliseconds:
        """Return how long the request may wait for an endpoint."""
        remaining = call.remaining(self._clock)
        wait = min(remaining * MAX_WAIT_SHARE, MAX_WAIT)
        return Milliseconds(round(max(wait, 0)))

    def max_escalation_wait(self, call: Call, work: float) -> Milliseconds:
        """Return how long a request with a weak answer may wait for an endpoint."""
        return min(self.max_wait(call), max(self.max_wait_in_time(call, work), NO_WAIT))

    def max_wait_in_time(self, call: Call, work: float) -> Milliseconds:
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
        """
        Return the smallest backlog of an endpoint divided by a latency target.

        That is the shortest target of all requests that are as urgent or more, so that
        less urgent ones do not count an engine as free for longer.
        """
        target = self._backlog_limit(call) / BACKLOG_SHARE
        return self._min_backlog(call) / max(target, 1.0)

    def can_finish(self, call: Call, model: ModelId) -> bool:
        """
        Return whether a whole answer of ``model`` is expected before the deadline.

        It is also if too little is known of the model's answers.
        """
        start = self._learned_latency(call, model)
        tokens = call.fields.expected_output_tokens or call.fields.max_output_tokens
        rest = self._streams.expected(call.route.name, model, tokens)
        if start is None or rest is None:
            return True
        needed = self._min_backlog(call) + start + rest
        return needed <= call.remaining(self._clock) * USABLE_TIME_SHARE

    def _min_backlog(self, call: Call) -> float:
        return self._pool.min_backlog(call.service, self.versions(call))

    def _backlog_limit(self, call: Call) -> float:
        target = call.route.latency_target
        return self._limits().limit(call.service, call.priority, target)

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

    def may_take_longer(
        self, call: Call, model: ModelId | None, backlog: float, than: Milliseconds
    ) -> bool:
        """Return whether a sound endpoint may send its first bytes later."""
        longest = self._latencies.upper(
            call.route.name,
            model or "",
            call.fields.prompt_tokens,
            deviations=TIMEOUT_DEVIATIONS,
        )
        return longest is None or longest + backlog > than

    def head_timeout(
        self,
        call: Call,
        model: ModelId | None,
        backlog: float,
        *,
        is_escalation: bool,
    ) -> Milliseconds:
        """Return how long to wait for the response head before a retry."""
        remaining = call.remaining(self._clock)
        if is_escalation:
            # The weak answer is relayed while there is time to do so.
            remaining = Milliseconds(round(remaining * MAX_ESCALATION_SHARE))
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
