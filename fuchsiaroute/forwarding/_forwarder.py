"""Serving of requests from their arrival to the final response."""

import asyncio
from collections.abc import Callable
from functools import partial

from fuchsiaroute.catalog import Catalog
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import RequestKind
from fuchsiaroute.draining import Drain, Phase
from fuchsiaroute.forwarding._attempt_runner import AttemptRunner
from fuchsiaroute.forwarding._buffered_relay import BufferedRelay
from fuchsiaroute.forwarding._call import Call
from fuchsiaroute.forwarding._counters import Counters
from fuchsiaroute.forwarding._latency_estimator import LatencyEstimator
from fuchsiaroute.forwarding._request_resolver import Rejection, RequestResolver
from fuchsiaroute.forwarding._result import CallResult, Ending, refused_result
from fuchsiaroute.forwarding._stop_admission import STOPPING_REFUSAL, StopAdmission
from fuchsiaroute.forwarding._stream_relay import StreamRelay
from fuchsiaroute.http1 import Headers, InboundRequest, Responder
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.platform import local_reply_headers, read_request, retry_after
from fuchsiaroute.verdict import RefusalReason

#: Retry delay sent to the caller after failed attempts that no endpoint ran.
RETRY_DELAY_AFTER_FAILURE = Milliseconds(100)
MILLISECONDS_PER_SECOND = 1_000
_INTERNAL_ERROR, _BAD_GATEWAY, _UNAVAILABLE, _GATEWAY_TIMEOUT = 500, 502, 503, 504
#: Last lines of requests whose responses would have taken longer.
_UNFINISHED_EVENTS = frozenset(
    {"request:overdue", "request:abandoned", "request:cut-off"}
)
#: Durations of whole responses are learned by route alone.
_ANY_MODEL, _NO_TOKENS = "", 0
#: Status codes of rejected requests, which are not sent to any endpoint.
_STATUSES = {
    RefusalReason.NOT_PERMITTED: 404,
    RefusalReason.UNAUTHENTICATED: 401,
    RefusalReason.INVALID_REQUEST: 421,
    RefusalReason.NOT_READY: _UNAVAILABLE,
}


class Forwarder:
    """
    Serves requests.

    The final response states that a request was not run only if no endpoint can have
    run it.
    """

    def __init__(
        self,
        *,
        resolver: RequestResolver,
        runner: AttemptRunner,
        buffered: BufferedRelay,
        stream: StreamRelay,
        catalog: Catalog,
        counters: Counters,
        clock: Clock,
        log: LineLog,
        store_unreachable_for: Callable[[], Milliseconds],
        is_behind: Callable[[], bool],
        drain: Drain,
        admission: StopAdmission,
        durations: LatencyEstimator,
    ) -> None:
        self._resolver = resolver
        self._runner = runner
        self._buffered = buffered
        self._stream = stream
        self._catalog = catalog
        self._counters = counters
        self._clock = clock
        self._log = log
        self._store_unreachable_for = store_unreachable_for
        self._is_behind = is_behind
        self._drain = drain
        self._admission = admission
        self._durations = durations
        #: Timeouts of the requests that are being served.
        self._timeouts: set[asyncio.Timeout] = set()
        #: Requests in progress.
        self.active = 0

    async def handle(self, inbound: InboundRequest, responder: Responder) -> None:
        """Serve one request."""
        is_current = self._store_unreachable_for() == 0 and not self._is_behind()
        call = self._resolver.resolve(inbound, responder, is_current=is_current)
        if isinstance(call, Rejection):
            self._reject(inbound, responder, call)
            return
        if call.fields.unreadable:
            self._log.write(
                "request:unreadable-fields",
                request=call.request_id,
                fields=call.fields.unreadable,
            )
        self.active += 1
        try:
            await self._serve(call)
        except Exception as error:
            self._respond_internal_error(call, error)
        finally:
            self.active -= 1

    def end_all(self) -> None:
        """Send final responses to all requests in progress; abort started streams."""
        now = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(now)

    async def _serve(self, call: Call) -> None:
        is_stream = call.route.kind is RequestKind.STREAMING
        if not self._admission.admits(call):
            self._respond_unanswered(call, refused_result(STOPPING_REFUSAL))
            return
        self._runner.record_request(call)
        relay = self._stream.serve if is_stream else self._buffered.serve
        seconds = max(call.remaining(self._clock), 0) / MILLISECONDS_PER_SECOND
        result: CallResult | None = None
        try:
            async with asyncio.timeout(seconds) as timeout:
                self._timeouts.add(timeout)
                result = await relay(call)
        except TimeoutError:
            self._respond_overdue(call)
        except asyncio.CancelledError:
            self._record(call, self._cut_event("request:abandoned"), None)
            raise
        finally:
            self._timeouts.discard(timeout)
        if result is None:
            return
        if result.ending in (Ending.NO_PLACE, Ending.ATTEMPTS_FAILED):
            self._respond_unanswered(call, result)
        elif result.ending is Ending.BROKEN_OFF:
            self._record(call, "request:broken-off", result)
        else:
            self._record(call, "request:answered", result)

    def _respond_unanswered(self, call: Call, result: CallResult) -> None:
        """Send the final response if no endpoint's response can be forwarded."""
        if call.is_not_run:
            delay = result.retry_after or RETRY_DELAY_AFTER_FAILURE
            self._respond(call, _UNAVAILABLE, [retry_after(delay)])
            self._record(call, "request:refused", result)
        else:
            is_overdue = call.remaining(self._clock) <= 0
            self._respond(call, _GATEWAY_TIMEOUT if is_overdue else _BAD_GATEWAY, [])
            self._record(call, "request:failed", result)

    def _respond_overdue(self, call: Call) -> None:
        """Send the final response, or abort a started one, when its time is over."""
        if call.responder.is_started:
            call.responder.abort()
        elif call.is_not_run:
            self._respond(call, _UNAVAILABLE, [retry_after(RETRY_DELAY_AFTER_FAILURE)])
        else:
            self._respond(call, _GATEWAY_TIMEOUT, [])
        self._record(call, self._cut_event("request:overdue"), None)

    def _cut_event(self, event: str) -> str:
        """Return the event of a request that ended before its response was whole."""
        return "request:cut-off" if self._drain.phase is Phase.ENDED else event

    def _respond_internal_error(self, call: Call, error: Exception) -> None:
        """Send the final response, or abort a started one, after an exception."""
        call.failure_reasons.append(repr(error))
        if call.responder.is_started:
            call.responder.abort()
        else:
            self._respond(call, _INTERNAL_ERROR, [])
        self._record(call, "request:internal-error", None)

    def _respond(self, call: Call, status: int, headers: Headers) -> None:
        call.responder.send(status, local_reply_headers(call.request_id) + headers, b"")

    def _reject(
        self, inbound: InboundRequest, responder: Responder, rejection: Rejection
    ) -> None:
        request_id = read_request(inbound.headers).request_id
        headers = local_reply_headers(request_id)
        if rejection.retry_after:
            headers.append(retry_after(rejection.retry_after))
        status = _STATUSES[rejection.reason]
        responder.send(status, headers, b"")
        deployment = self._catalog.deployment
        self._counters.add("requests", "rejected", rejection.reason.value)
        self._log.write(
            "request:rejected",
            request=request_id,
            status=status,
            reason=rejection.reason.value,
            detail=rejection.detail,
            deployment=deployment.version if deployment is not None else None,
            store_silent_ms=self._store_unreachable_for(),
            is_newer_known_of=self._is_behind(),
        )

    def _record(self, call: Call, event: str, result: CallResult | None) -> None:
        duration = Milliseconds(self._clock.now() - call.inbound.arrived_at)
        deployment = self._catalog.deployment
        self._counters.add("requests", event.partition(":")[2], call.route.name)
        self._counters.observe(call.route.name, duration)
        self._learn_duration(call, event, duration)
        fields = {}
        if result is not None:
            fields = {
                "endpoint": result.endpoint,
                "version": result.version,
                "model": result.model,
                "confidence": result.confidence,
                "is_escalated": result.is_escalated,
                "resumptions": result.resumptions,
                "ending": result.ending.value,
                "no_place": result.no_place.value if result.no_place else None,
                "retry_after_ms": result.retry_after,
                "expected_wait_ms": result.expected_wait,
                "ahead": result.ahead,
            }
        self._log.write(
            event,
            request=call.request_id,
            route=call.route.name,
            service=call.service,
            organisation=call.organisation,
            status=call.responder.status,
            took_ms=duration,
            after_stop_ms=self._drain.since_begin(call.inbound.arrived_at),
            answer_started_ms=_since(call.inbound.arrived_at, call.answer_started_at),
            prompt_tokens=call.fields.prompt_tokens,
            time_left_ms=call.remaining(self._clock),
            sent_to=call.sent_to,
            may_have_run=not call.is_not_run,
            reasons=call.failure_reasons,
            deployment=deployment.version if deployment is not None else None,
            store_silent_ms=self._store_unreachable_for(),
            **fields,
        )

    def _learn_duration(self, call: Call, event: str, duration: Milliseconds) -> None:
        """Add the time of a whole success, or a lower bound of it."""
        is_success = 200 <= call.responder.status < 300
        if event == "request:answered" and is_success:
            call.responder.when_delivered(
                partial(self._learn_success, call.route.name, call.inbound.arrived_at)
            )
        elif event in _UNFINISHED_EVENTS:
            self._durations.add_unanswered(
                call.route.name, _ANY_MODEL, _NO_TOKENS, duration
            )

    def _learn_success(self, route: str, arrived_at: Milliseconds) -> None:
        """Add the time until the caller has taken a response, however it reads."""
        duration = Milliseconds(self._clock.now() - arrived_at)
        self._durations.add(route, _ANY_MODEL, _NO_TOKENS, duration)


def _since(start: Milliseconds, instant: Milliseconds | None) -> Milliseconds | None:
    return None if instant is None else Milliseconds(instant - start)
