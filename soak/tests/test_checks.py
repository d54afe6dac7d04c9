"""Each check reports the violation it tests for, and none in a valid record."""

from collections.abc import Callable
from types import SimpleNamespace

import pytest

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.platform.tests.recording_endpoint import Run, answer_of, event_of
from fuchsiaroute.platform.tests.soak_platform import (
    APP,
    DRAIN,
    KEY,
    POOL,
    REVOKED_KEY,
    RouteKind,
)
from soak._checks import TIMED_CHECKS, UNTIMED_CHECKS
from soak._evidence import Evidence
from soak._instances import EndedProcess
from soak._record import STORE, BadRollout, CallerRequest, OperatorOrder, Record

CHECKS = {**UNTIMED_CHECKS, **TIMED_CHECKS}
START = Milliseconds(100_000)


def after(time: int) -> Milliseconds:
    return Milliseconds(START + time)


class RecordBuilder:
    """A valid record with one successful request of each route kind."""

    def __init__(self) -> None:
        self.record = Record()
        self.runs: list[Run] = []
        self.instance = SimpleNamespace(
            name="n0",
            ended_processes=[],
            peak_memory_mb=20.0,
            stopped_at={},
            log_text=lambda: '{"event":"x"}',
        )
        for kind in RouteKind:
            self.serve(kind)
        self.record.directory_answers.append((START, "n0", ("n0",)))

    def serve(self, kind: RouteKind, **changes: object) -> CallerRequest:
        request_id = f"q{len(self.record.requests)}"
        events = 3 if kind.is_stream else 0
        body = answer_of(request_id)
        if events:
            body = b"".join(event_of(request_id, item) for item in (1, 2, 3))
        values = {
            "request_id": request_id,
            "kind": kind,
            "path": f"/{kind.value}/{request_id}/{events}",
            "key": KEY,
            "events": events,
            "instance": "n0",
            "process_index": 0,
            "sent_at": START,
            "ended_at": after(50),
            "status": 200,
            "body": body,
            "is_whole": True,
            "is_signed": True,
        }
        request = CallerRequest(**(values | changes))  # type: ignore[arg-type]
        self.record.requests.append(request)
        self.run(request)
        return request

    def run(self, request: CallerRequest, **changes: object) -> Run:
        values = {
            "request_id": request.request_id,
            "endpoint": "e1",
            "service": POOL if request.kind.is_stream else APP,
            "version": "v1",
            "received_at": Milliseconds(request.sent_at + 10),
            "ended_at": Milliseconds(request.sent_at + 40),
        }
        run = Run(**(values | changes))  # type: ignore[arg-type]
        self.runs.append(run)
        return run

    def failed_checks(self) -> set[str]:
        evidence = Evidence(self.record, self.runs, [self.instance])  # type: ignore[list-item]
        return {name for name, check in CHECKS.items() if list(check(evidence))}


def request_of(builder: RecordBuilder, kind: RouteKind) -> CallerRequest:
    return next(item for item in builder.record.requests if item.kind is kind)


def unknown_run(builder: RecordBuilder) -> None:
    builder.runs[0].request_id = "forged"


def key_forwarded(builder: RecordBuilder) -> None:
    builder.runs[0].faults = ("the caller's key was forwarded",)


def write_twice(builder: RecordBuilder) -> None:
    builder.run(request_of(builder, RouteKind.WRITE), endpoint="e2")


def read_too_often(builder: RecordBuilder) -> None:
    for number in range(3):
        builder.run(request_of(builder, RouteKind.READ), endpoint=f"e{number + 2}")


def untrue_refusal(builder: RecordBuilder) -> None:
    builder.serve(RouteKind.WRITE, status=503, body=b"", is_signed=False)


def unsigned(builder: RecordBuilder) -> None:
    request_of(builder, RouteKind.READ).is_signed = False


def answer_of_another_request(builder: RecordBuilder) -> None:
    request_of(builder, RouteKind.READ).body = answer_of("other")


def event_missing(builder: RecordBuilder) -> None:
    request = request_of(builder, RouteKind.STREAM)
    request.body = request.body.replace(event_of(request.request_id, 2), b"")
    request.is_whole = False


def short_stream_looks_whole(builder: RecordBuilder) -> None:
    request = request_of(builder, RouteKind.ONCE)
    request.body = event_of(request.request_id, 1)


def denied(builder: RecordBuilder) -> None:
    request_of(builder, RouteKind.READ).status = 401


def dropped_route(builder: RecordBuilder) -> None:
    builder.record.route_added_at["added-0"] = START
    for time, status in ((1_000, 200), (1_200, 404)):
        path, sent, ended = "/added-0/q/0", after(time), after(time + 20)
        request = builder.serve(RouteKind.READ, path=path, sent_at=sent, ended_at=ended)
        request.status = status


def unknown_route(builder: RecordBuilder) -> None:
    builder.record.route_added_at["added-0"] = START
    sent, ended = after(9_000), after(9_020)
    builder.serve(
        RouteKind.READ, path="/added-0/q/0", sent_at=sent, ended_at=ended, status=404
    )


def crashed(builder: RecordBuilder) -> None:
    process = EndedProcess(
        pid=1, started_at=START, ended_at=START, is_requested=False, exit_code=1
    )
    builder.instance.ended_processes.append(process)


def task_failed(builder: RecordBuilder) -> None:
    builder.instance.log_text = lambda: '{"event":"task:failed"}'


def directory_is_empty(builder: RecordBuilder) -> None:
    builder.record.directory_answers.append((START, "n0", ()))


def not_recovered(builder: RecordBuilder) -> None:
    builder.record.not_recovered.append("n0 is not ready")


def drained_endpoint(builder: RecordBuilder) -> None:
    begin = Milliseconds(START - DRAIN - 100)
    endpoints = frozenset({"e1"})
    builder.record.orders.append(
        OperatorOrder(
            at=begin, endpoints=endpoints, effective_within=DRAIN, name="draining"
        )
    )


def revoked_key(builder: RecordBuilder) -> None:
    effective_within = Milliseconds(2_000)
    builder.record.orders.append(
        OperatorOrder(
            at=START, key=REVOKED_KEY, effective_within=effective_within, name="revoked"
        )
    )
    builder.serve(
        RouteKind.READ, key=REVOKED_KEY, sent_at=after(2_100), ended_at=after(2_150)
    )


def too_late(builder: RecordBuilder) -> None:
    request_of(builder, RouteKind.READ).ended_at = after(3_600)


def never_answered(builder: RecordBuilder) -> None:
    request = request_of(builder, RouteKind.READ)
    request.ended_at, request.status = after(20_000), None


def run_not_ended(builder: RecordBuilder) -> None:
    request = request_of(builder, RouteKind.STREAM)
    request.is_abandoned, request.status = True, None
    builder.runs[builder.record.requests.index(request)].ended_at = None


def cold_endpoint_overloaded(builder: RecordBuilder) -> None:
    builder.record.cold_periods.add("cold", START, after(3_000))
    for number in range(21):
        request = builder.serve(RouteKind.READ, sent_at=after(number * 10))
        request.ended_at = after(number * 10 + 50)
        builder.runs[-1].endpoint = "cold"


def too_many_retries(builder: RecordBuilder) -> None:
    for _ in range(80):
        request = builder.serve(RouteKind.READ)
        builder.run(request, is_rejected=True)
        builder.run(request, is_rejected=True)


def bad_version_overexposed(builder: RecordBuilder) -> None:
    end = after(8_000)
    builder.record.bad_rollouts.append(
        BadRollout(service=APP, version="v2", begin=START, end=end)
    )
    for _ in range(60):
        builder.serve(RouteKind.READ)
        builder.runs[-1].version = "v2"


@pytest.mark.parametrize(
    ("add_violation", "check_name"),
    [
        (unknown_run, "runs"),
        (key_forwarded, "runs"),
        (write_twice, "at-most-once"),
        (read_too_often, "at-most-once"),
        (untrue_refusal, "true-refusals"),
        (unsigned, "answers"),
        (answer_of_another_request, "answers"),
        (event_missing, "answers"),
        (short_stream_looks_whole, "answers"),
        (denied, "denials"),
        (dropped_route, "routes-kept"),
        (unknown_route, "new-routes"),
        (crashed, "processes"),
        (task_failed, "processes"),
        (directory_is_empty, "directory"),
        (not_recovered, "recovery"),
        (drained_endpoint, "orders"),
        (revoked_key, "orders"),
        (too_late, "timeouts"),
        (never_answered, "timeouts"),
        (run_not_ended, "abandoned"),
        (cold_endpoint_overloaded, "cold"),
        (too_many_retries, "repeats"),
        (bad_version_overexposed, "exposure"),
    ],
    ids=lambda value: value if isinstance(value, str) else value.__name__,
)
def test_check_reports_its_violation(
    add_violation: Callable[[RecordBuilder], None], check_name: str
) -> None:
    builder = RecordBuilder()
    assert builder.failed_checks() == set()
    add_violation(builder)
    assert check_name in builder.failed_checks()


@pytest.mark.parametrize("disturbed", ["n0", STORE])
def test_timed_checks_ignore_disturbed_periods(disturbed: str) -> None:
    builder = RecordBuilder()
    too_late(builder)
    drained_endpoint(builder)
    builder.record.disturbances.add(disturbed, Milliseconds(START - 1_000), START)
    assert builder.failed_checks() == set()
