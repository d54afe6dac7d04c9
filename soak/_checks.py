"""The promises of the product, checked on what callers and endpoints have seen."""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping, Sequence
from itertools import pairwise

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.platform.tests.recording_endpoint import Run, answer_of, event_of
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
    TIMEOUT,
)
from soak._instances import Instance
from soak._record import STORE, Attempt, Record

#: Statuses that promise that the request has not run and never will.
_NOT_RUN = frozenset({408, 421, 429, 503})
_DENIED = frozenset({401, 403, 404})
#: Time beyond its route's time limit within which a request has its final answer.
_ANSWER_SLACK = Milliseconds(500)
#: Time after a caller left within which its run ends.
_ABANDON_SLACK = Milliseconds(500)
_SECOND = Milliseconds(1_000)
#: Memory of one process, in MB.
MEMORY_LIMIT_MB = 300

Check = Callable[["Evidence"], Iterator[str]]


class Evidence:
    """A record, with the runs of each request."""

    def __init__(
        self, record: Record, runs: Sequence[Run], instances: Sequence[Instance]
    ) -> None:
        self.record = record
        self.runs = runs
        self.instances = instances
        self.attempts = {item.request_id: item for item in record.attempts}
        self.executed: dict[str, list[Run]] = defaultdict(list)
        for run in runs:
            if not run.is_rejected:
                self.executed[run.request_id].append(run)

    def in_touch(self, attempt: Attempt, until: Milliseconds) -> bool:
        """Return whether nothing disturbed the attempt's instance lately."""
        begin = Milliseconds(attempt.sent_at - CONTACT)
        names = (attempt.instance, STORE)
        return self.record.disturbances.is_calm(names, begin, until)


def check_runs(evidence: Evidence) -> Iterator[str]:
    """Check that endpoints run what callers sent, under the callers' organisation."""
    for run in evidence.runs:
        if run.request_id not in evidence.attempts:
            yield f"{run.request_id}: ran and was never sent"
        for fault in run.faults:
            yield f"{run.request_id} at {run.endpoint}: {fault}"


def check_at_most_once(evidence: Evidence) -> Iterator[str]:
    """Check that what may not be repeated runs once, the rest within its attempts."""
    for request_id, runs in evidence.executed.items():
        attempt = evidence.attempts.get(request_id)
        if attempt is None:
            continue
        most = MAX_ATTEMPTS[attempt.kind] if attempt.kind.may_repeat else 1
        if len(runs) > most:
            places = [run.endpoint for run in runs]
            yield f"{request_id}: {attempt.kind.value} ran {len(runs)} times: {places}"


def check_refusals(evidence: Evidence) -> Iterator[str]:
    """Check that a refusal that promises that the request has not run is true."""
    for attempt in evidence.record.attempts:
        if attempt.kind.may_repeat or attempt.status not in _NOT_RUN:
            continue
        if evidence.executed.get(attempt.request_id):
            yield f"{attempt.request_id}: ran and was answered {attempt.status}"


def check_answers(evidence: Evidence) -> Iterator[str]:
    """Check that a success is signed, whole and the answer to this request."""
    for attempt in evidence.record.attempts:
        if attempt.status != 200 or attempt.has_left:
            continue
        if not attempt.is_signed:
            yield f"{attempt.request_id}: a success without a signature"
        if not evidence.executed.get(attempt.request_id):
            yield f"{attempt.request_id}: a success that no endpoint ran"
        yield from _check_body(attempt)


def _check_body(attempt: Attempt) -> Iterator[str]:
    if not attempt.kind.is_stream:
        if attempt.is_whole and attempt.body != answer_of(attempt.request_id):
            yield f"{attempt.request_id}: answered with {attempt.body[:60]!r}"
        return
    numbers = range(1, attempt.events + 1)
    expected = b"".join(event_of(attempt.request_id, number) for number in numbers)
    if attempt.is_whole and attempt.body != expected:
        yield f"{attempt.request_id}: a whole stream of {len(attempt.body)} bytes"
    if not expected.startswith(attempt.body):
        yield f"{attempt.request_id}: a stream with a wrong piece"


def check_denials(evidence: Evidence) -> Iterator[str]:
    """Check that nothing is denied that every declaration allows."""
    for attempt in evidence.record.attempts:
        is_old = attempt.route not in evidence.record.routes
        if attempt.status in _DENIED and attempt.key == KEY and is_old:
            yield f"{attempt.request_id}: {attempt.path} denied with {attempt.status}"


def check_new_routes(evidence: Evidence) -> Iterator[str]:
    """Check that a new route is known once its time to take effect has passed."""
    for attempt in evidence.record.attempts:
        added_at = evidence.record.routes.get(attempt.route)
        if added_at is None or attempt.sent_at <= added_at + APPLY:
            continue
        is_denied = attempt.status in _DENIED and attempt.key == KEY
        if is_denied and evidence.in_touch(attempt, attempt.ended_at):
            late = attempt.sent_at - added_at
            yield f"{attempt.request_id}: {attempt.path} unknown after {late} ms"


def check_orders(evidence: Evidence) -> Iterator[str]:
    """Check that what is forbidden gets nothing once an order had time to act."""
    for order in evidence.record.orders:
        since = Milliseconds(order.at + order.within)
        for run in evidence.runs:
            if run.is_rejected or run.received_at <= since:
                continue
            if order.until is not None and run.received_at >= order.until:
                continue
            attempt = evidence.attempts.get(run.request_id)
            if attempt is None or not evidence.in_touch(attempt, run.received_at):
                continue
            late = run.received_at - since
            if run.endpoint in order.endpoints:
                yield f"{run.request_id}: {order.name} {run.endpoint}, {late} ms late"
            if attempt.key == order.key and attempt.sent_at > since:
                yield f"{run.request_id}: {order.name}, {late} ms late"


def check_timeouts(evidence: Evidence) -> Iterator[str]:
    """Check that each request has its final answer soon after its time limit."""
    for attempt in evidence.record.attempts:
        last = Milliseconds(attempt.sent_at + TIMEOUT + _ANSWER_SLACK)
        if attempt.ended_at > last and evidence.in_touch(attempt, attempt.ended_at):
            took = attempt.ended_at - attempt.sent_at
            yield f"{attempt.request_id}: answered after {took} ms"


def check_abandoned(evidence: Evidence) -> Iterator[str]:
    """Check that the run of a caller that has left ends soon."""
    for attempt in evidence.record.attempts:
        if not attempt.has_left:
            continue
        last = Milliseconds(attempt.ended_at + _ABANDON_SLACK)
        for run in evidence.executed.get(attempt.request_id, ()):
            links = (attempt.instance, STORE, run.endpoint)
            begin = Milliseconds(attempt.sent_at - CONTACT)
            if not evidence.record.disturbances.is_calm(links, begin, last):
                continue
            if run.ended_at is None or run.ended_at > last:
                yield f"{attempt.request_id}: still ran at {run.endpoint} after {last}"


def check_cold(evidence: Evidence) -> Iterator[str]:
    """Check that a cold endpoint gets no more in any second than it stands."""
    arrivals: dict[str, list[Milliseconds]] = defaultdict(list)
    for run in evidence.runs:
        end = run.received_at
        if not evidence.record.cold.is_calm((run.endpoint,), end, end):
            arrivals[run.endpoint].append(end)
    for endpoint, times in arrivals.items():
        for index, time in enumerate(times):
            count = index + 1 - bisect_left(times, time - _SECOND)
            if count > COLD_BOUND:
                yield f"{endpoint}: {count} requests in the second before {time}"
                break


def check_repeats(evidence: Evidence) -> Iterator[str]:
    """Check that repeats stay within the budget of all instances together."""
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
            # The window before counts too where it holds more.
            own, before = (
                _count(sent[service], start, Milliseconds(start + RETRY_WINDOW))
                for start in (begin, Milliseconds(begin - RETRY_WINDOW))
            )
            if count > RETRY_RATIO * max(own, before) + RETRY_SLACK:
                yield f"{service}: {count} repeats of {own} requests before {time}"
                break


def _count(
    times: Sequence[Milliseconds], begin: Milliseconds, end: Milliseconds
) -> int:
    return bisect_left(times, end) - bisect_left(times, begin)


def check_exposure(evidence: Evidence) -> Iterator[str]:
    """Check that a bad version gets a small share of its service's requests."""
    for exposure in evidence.record.exposures:
        sent = struck = 0
        for run in evidence.runs:
            attempt = evidence.attempts.get(run.request_id)
            is_inside = exposure.begin <= run.received_at < exposure.end
            if run.service != exposure.service or attempt is None or not is_inside:
                continue
            sent += 1
            is_bad = run.version == exposure.version and not run.is_rejected
            struck += is_bad and evidence.in_touch(attempt, run.received_at)
        if struck > CANARY_SHARE * sent + CANARY_SLACK:
            yield f"{exposure.service}: {struck} of {sent} requests on a bad version"


def check_routes(evidence: Evidence) -> Iterator[str]:
    """Check that a process that has served an added route goes on knowing it."""
    by_process: dict[tuple[str, int, str], list[Attempt]] = defaultdict(list)
    for attempt in evidence.record.attempts:
        if attempt.route in evidence.record.routes and attempt.status in (200, 404):
            process = (attempt.instance, attempt.life, attempt.route)
            by_process[process].append(attempt)
    for (instance, _, route), attempts in by_process.items():
        for first, second in pairwise(sorted(attempts, key=lambda item: item.sent_at)):
            is_after = second.sent_at > first.ended_at
            if is_after and first.status == 200 and second.status == 404:
                yield f"{second.request_id}: {instance} forgot {route}"


def check_processes(evidence: Evidence) -> Iterator[str]:
    """Check that processes end only when asked, keep their memory and raise nothing."""
    for instance in evidence.instances:
        for life in instance.lives:
            if not life.was_asked:
                yield f"{instance.name}: process {life.pid} ended: {life.exit_code}"
        if instance.peak_memory_mb > MEMORY_LIMIT_MB:
            yield f"{instance.name}: {instance.peak_memory_mb:.0f} MB"
        for line in instance.log_text().splitlines():
            if "Traceback" in line or '"task:failed"' in line or ":fault" in line:
                yield f"{instance.name}: {line[:300]}"
                break


def check_directory(evidence: Evidence) -> Iterator[str]:
    """Check that the directory never names nobody."""
    for at, instance, named in evidence.record.listings:
        if not named:
            yield f"{instance} named no instance at {at}"


def check_recovery(evidence: Evidence) -> Iterator[str]:
    """Check that everything serves again within the time to recover."""
    yield from evidence.record.not_recovered


#: Checks whose bounds are counts and orders of events; they hold on any machine.
CAUSAL: Mapping[str, Check] = {
    "runs": check_runs,
    "at-most-once": check_at_most_once,
    "true-refusals": check_refusals,
    "answers": check_answers,
    "denials": check_denials,
    "routes-kept": check_routes,
    "processes": check_processes,
    "directory": check_directory,
    "recovery": check_recovery,
}
#: Checks whose bounds are times or rates; a machine that is too busy breaks them.
TIMED: Mapping[str, Check] = {
    "orders": check_orders,
    "new-routes": check_new_routes,
    "timeouts": check_timeouts,
    "abandoned": check_abandoned,
    "cold": check_cold,
    "repeats": check_repeats,
    "exposure": check_exposure,
}
