"""Checks of the product's guarantees on recorded requests and endpoint runs."""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence
from itertools import pairwise

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.platform.tests.recording_endpoint import answer_of, event_of
from fuchsiaroute.platform.tests.soak_platform import (
    APPLY,
    CANARY_SHARE,
    CANARY_SLACK,
    COLD_BOUND,
    CONTACT,
    KEY,
    MAX_ATTEMPTS,
    RETRY_RATIO,
    RETRY_SLACK,
    RETRY_WINDOW,
)
from soak._evidence import Check, Evidence
from soak._record import STORE, CallerRequest
from soak._stop_checks import check_stops, check_unread

#: Statuses that guarantee that the request has not run and never will.
_NOT_RUN = frozenset({408, 421, 429, 503})
_DENIED = frozenset({401, 403, 404})
#: Time after its route's timeout within which a request must have its final answer.
_ANSWER_SLACK = Milliseconds(500)
#: Time after a caller has disconnected within which the run must end.
_ABANDON_SLACK = Milliseconds(500)
_SECOND = Milliseconds(1_000)
MAX_MEMORY_MB = 300


def check_runs(evidence: Evidence) -> Iterator[str]:
    """Check that endpoints ran only requests that callers sent, correctly forwarded."""
    for run in evidence.runs:
        if run.request_id not in evidence.requests:
            yield f"{run.request_id}: ran but was never sent"
        for fault in run.faults:
            yield f"{run.request_id} at {run.endpoint}: {fault}"


def check_at_most_once(evidence: Evidence) -> Iterator[str]:
    """Check that requests run at most once, or at most MAX_ATTEMPTS if repeatable."""
    for request_id, runs in evidence.runs_by_request.items():
        request = evidence.requests.get(request_id)
        if request is None:
            continue
        max_runs = MAX_ATTEMPTS[request.kind] if request.kind.may_repeat else 1
        if len(runs) > max_runs:
            endpoints = [run.endpoint for run in runs]
            yield (
                f"{request_id}: {request.kind.value} ran {len(runs)} times: {endpoints}"
            )


def check_refusals(evidence: Evidence) -> Iterator[str]:
    """Check that no request ran whose status guarantees that it did not."""
    for request in evidence.record.requests:
        if request.kind.may_repeat or request.status not in _NOT_RUN:
            continue
        if evidence.runs_by_request.get(request.request_id):
            yield f"{request.request_id}: ran but was answered {request.status}"


def check_answers(evidence: Evidence) -> Iterator[str]:
    """Check that successful responses are signed, complete and match the request."""
    for request in evidence.record.requests:
        if request.status != 200 or request.is_abandoned:
            continue
        if not request.is_signed:
            yield f"{request.request_id}: successful response without a signature"
        if not evidence.runs_by_request.get(request.request_id):
            yield f"{request.request_id}: successful response, but no endpoint ran it"
        yield from _check_body(request)


def _check_body(request: CallerRequest) -> Iterator[str]:
    if not request.kind.is_stream:
        if request.is_whole and request.body != answer_of(request.request_id):
            yield f"{request.request_id}: wrong body {request.body[:60]!r}"
        return
    numbers = range(1, request.events + 1)
    expected = b"".join(event_of(request.request_id, number) for number in numbers)
    if request.is_whole and request.body != expected:
        yield f"{request.request_id}: wrong whole stream, {len(request.body)} bytes"
    if not expected.startswith(request.body):
        yield f"{request.request_id}: stream with a wrong event"


def check_denials(evidence: Evidence) -> Iterator[str]:
    """Check that no request is denied that all configurations of the run allow."""
    for request in evidence.record.requests:
        is_initial = request.route not in evidence.record.route_added_at
        if request.status in _DENIED and request.key == KEY and is_initial:
            yield f"{request.request_id}: {request.path} denied with {request.status}"


def check_new_routes(evidence: Evidence) -> Iterator[str]:
    """Check that a new route is served once the time to apply it has passed."""
    for request in evidence.record.requests:
        added_at = evidence.record.route_added_at.get(request.route)
        if added_at is None or request.sent_at <= added_at + APPLY:
            continue
        is_denied = request.status in _DENIED and request.key == KEY
        if is_denied and evidence.was_undisturbed(request, request.ended_at):
            late = request.sent_at - added_at
            yield f"{request.request_id}: {request.path} not served after {late} ms"


def check_orders(evidence: Evidence) -> Iterator[str]:
    """Check that no request runs against an order that must be in effect."""
    for order in evidence.record.orders:
        since = Milliseconds(order.at + order.effective_within)
        for run in evidence.runs:
            if run.is_rejected or run.received_at <= since:
                continue
            if order.until is not None and run.received_at >= order.until:
                continue
            request = evidence.requests.get(run.request_id)
            if request is None or not evidence.was_undisturbed(
                request, run.received_at
            ):
                continue
            late = run.received_at - since
            if run.endpoint in order.endpoints:
                yield f"{run.request_id}: {order.name} {run.endpoint}, {late} ms late"
            if request.key == order.key and request.sent_at > since:
                yield f"{run.request_id}: {order.name}, {late} ms late"


def check_timeouts(evidence: Evidence) -> Iterator[str]:
    """Check that each request has its final answer soon after its timeout."""
    for request in evidence.record.requests:
        last = Milliseconds(request.sent_at + request.kind.timeout + _ANSWER_SLACK)
        if request.ended_at > last and evidence.was_undisturbed(
            request, request.ended_at
        ):
            took = request.ended_at - request.sent_at
            yield f"{request.request_id}: answered after {took} ms"


def check_abandoned(evidence: Evidence) -> Iterator[str]:
    """Check that a run ends soon after its caller has disconnected."""
    for request in evidence.record.requests:
        if not request.is_abandoned:
            continue
        last = Milliseconds(request.ended_at + _ABANDON_SLACK)
        for run in evidence.runs_by_request.get(request.request_id, ()):
            names = (request.instance, STORE, run.endpoint)
            begin = Milliseconds(request.sent_at - CONTACT)
            if not evidence.record.disturbances.is_undisturbed(names, begin, last):
                continue
            if run.ended_at is None or run.ended_at > last:
                yield f"{request.request_id}: still running at {run.endpoint} at {last}"


def check_cold(evidence: Evidence) -> Iterator[str]:
    """Check that a cold endpoint gets at most ``COLD_BOUND`` requests a second."""
    arrivals: dict[str, list[Milliseconds]] = defaultdict(list)
    for run in evidence.runs:
        end = run.received_at
        if not evidence.record.cold_periods.is_undisturbed((run.endpoint,), end, end):
            arrivals[run.endpoint].append(end)
    for endpoint, times in arrivals.items():
        for index, time in enumerate(times):
            count = index + 1 - bisect_left(times, time - _SECOND)
            if count > COLD_BOUND:
                yield f"{endpoint}: {count} requests in the second before {time}"
                break


def check_repeats(evidence: Evidence) -> Iterator[str]:
    """Check that retries stay within the retry budget of the whole deployment."""
    sent: dict[str, list[Milliseconds]] = defaultdict(list)
    repeats: dict[str, list[Milliseconds]] = defaultdict(list)
    seen: set[str] = set()
    for run in sorted(evidence.runs, key=lambda run: run.received_at):
        if run.request_id in seen:
            repeats[run.service].append(run.received_at)
        else:
            seen.add(run.request_id)
            sent[run.service].append(run.received_at)
    for service, times in repeats.items():
        for index, time in enumerate(times):
            begin = Milliseconds(time - RETRY_WINDOW)
            count = index + 1 - bisect_left(times, begin)
            # The budget follows the larger number of requests of this window and the
            # previous one.
            own, previous = (
                _count(sent[service], start, Milliseconds(start + RETRY_WINDOW))
                for start in (begin, Milliseconds(begin - RETRY_WINDOW))
            )
            if count > RETRY_RATIO * max(own, previous) + RETRY_SLACK:
                yield f"{service}: {count} retries of {own} requests before {time}"
                break


def _count(
    times: Sequence[Milliseconds], begin: Milliseconds, end: Milliseconds
) -> int:
    return bisect_left(times, end) - bisect_left(times, begin)


def check_exposure(evidence: Evidence) -> Iterator[str]:
    """Check that a bad version gets at most the canary share of the requests."""
    for rollout in evidence.record.bad_rollouts:
        sent = bad_runs = 0
        for run in evidence.runs:
            request = evidence.requests.get(run.request_id)
            is_inside = rollout.begin <= run.received_at < rollout.end
            if run.service != rollout.service or request is None or not is_inside:
                continue
            sent += 1
            is_bad = run.version == rollout.version and not run.is_rejected
            bad_runs += is_bad and evidence.was_undisturbed(request, run.received_at)
        if bad_runs > CANARY_SHARE * sent + CANARY_SLACK:
            yield f"{rollout.service}: {bad_runs} of {sent} requests on a bad version"


def check_routes(evidence: Evidence) -> Iterator[str]:
    """Check that a process never drops an added route that it has served."""
    by_process: dict[tuple[str, int, str], list[CallerRequest]] = defaultdict(list)
    for request in evidence.record.requests:
        if request.route in evidence.record.route_added_at and request.status in (
            200,
            404,
        ):
            process = (request.instance, request.process_index, request.route)
            by_process[process].append(request)
    for (instance, _, route), requests in by_process.items():
        for first, second in pairwise(sorted(requests, key=lambda item: item.sent_at)):
            is_after = second.sent_at > first.ended_at
            if is_after and first.status == 200 and second.status == 404:
                yield f"{second.request_id}: {instance} dropped {route}"


def check_processes(evidence: Evidence) -> Iterator[str]:
    """Check that no process ends on its own, exceeds its memory or logs an error."""
    for instance in evidence.instances:
        for ended in instance.ended_processes:
            if not ended.is_requested:
                yield f"{instance.name}: process {ended.pid} ended: {ended.exit_code}"
        if instance.peak_memory_mb > MAX_MEMORY_MB:
            yield f"{instance.name}: {instance.peak_memory_mb:.0f} MB"
        for line in instance.log_text().splitlines():
            if "Traceback" in line or '"task:failed"' in line or ":fault" in line:
                yield f"{instance.name}: {line[:300]}"
                break


def check_directory(evidence: Evidence) -> Iterator[str]:
    """Check that the directory never returns an empty list."""
    for at, instance, listed in evidence.record.directory_answers:
        if not listed:
            yield f"{instance} listed no instance at {at}"


def check_recovery(evidence: Evidence) -> Iterator[str]:
    """Check that all instances serve again within the recovery time."""
    yield from evidence.record.not_recovered


#: Checks of the number and order of events, independent of the machine's speed.
UNTIMED_CHECKS: Mapping[str, Check] = {
    "runs": check_runs,
    "at-most-once": check_at_most_once,
    "true-refusals": check_refusals,
    "answers": check_answers,
    "denials": check_denials,
    "routes-kept": check_routes,
    "processes": check_processes,
    "stops": check_stops,
    "directory": check_directory,
    "recovery": check_recovery,
}
#: Checks of times or rates, which can fail on a busy machine.
TIMED_CHECKS: Mapping[str, Check] = {
    "orders": check_orders,
    "new-routes": check_new_routes,
    "timeouts": check_timeouts,
    "unread": check_unread,
    "abandoned": check_abandoned,
    "cold": check_cold,
    "repeats": check_repeats,
    "exposure": check_exposure,
}
