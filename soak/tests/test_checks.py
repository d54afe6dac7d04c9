"""Each check finds the violation that it is for, and nothing in a sound record."""

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
from soak._checks import CAUSAL, TIMED, Evidence
from soak._instances import Life
from soak._record import STORE, Attempt, Exposure, Order, Record

CHECKS = {**CAUSAL, **TIMED}
AT = Milliseconds(100_000)


def later(time: int) -> Milliseconds:
    return Milliseconds(AT + time)


class Scene:
    """A record in which a request of each kind was answered as it should be."""

    def __init__(self) -> None:
        self.record = Record()
        self.runs: list[Run] = []
        self.instance = SimpleNamespace(
            name="n0", lives=[], peak_memory_mb=20.0, log_text=lambda: '{"event":"x"}'
        )
        for kind in RouteKind:
            self.serve(kind)
        self.record.listings.append((AT, "n0", ("n0",)))

    def serve(self, kind: RouteKind, **changes: object) -> Attempt:
        request_id = f"q{len(self.record.attempts)}"
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
            "life": 0,
            "sent_at": AT,
            "ended_at": later(50),
            "status": 200,
            "body": body,
            "is_whole": True,
            "is_signed": True,
        }
        attempt = Attempt(**(values | changes))  # type: ignore[arg-type]
        self.record.attempts.append(attempt)
        self.run(attempt)
        return attempt

    def run(self, attempt: Attempt, **changes: object) -> Run:
        values = {
            "request_id": attempt.request_id,
            "endpoint": "e1",
            "service": POOL if attempt.kind.is_stream else APP,
            "version": "v1",
            "received_at": Milliseconds(attempt.sent_at + 10),
            "ended_at": Milliseconds(attempt.sent_at + 40),
        }
        run = Run(**(values | changes))  # type: ignore[arg-type]
        self.runs.append(run)
        return run

    def broken(self) -> set[str]:
        evidence = Evidence(self.record, self.runs, [self.instance])  # type: ignore[list-item]
        return {name for name, check in CHECKS.items() if list(check(evidence))}


def attempt_of(scene: Scene, kind: RouteKind) -> Attempt:
    return next(item for item in scene.record.attempts if item.kind is kind)


def unknown_run(scene: Scene) -> None:
    scene.runs[0].request_id = "forged"


def key_passed_on(scene: Scene) -> None:
    scene.runs[0].faults = ("the caller's key was passed on",)


def write_twice(scene: Scene) -> None:
    scene.run(attempt_of(scene, RouteKind.WRITE), endpoint="e2")


def read_too_often(scene: Scene) -> None:
    for number in range(3):
        scene.run(attempt_of(scene, RouteKind.READ), endpoint=f"e{number + 2}")


def untrue_refusal(scene: Scene) -> None:
    scene.serve(RouteKind.WRITE, status=503, body=b"", is_signed=False)


def unsigned(scene: Scene) -> None:
    attempt_of(scene, RouteKind.READ).is_signed = False


def answer_of_another(scene: Scene) -> None:
    attempt_of(scene, RouteKind.READ).body = answer_of("other")


def piece_missing(scene: Scene) -> None:
    attempt = attempt_of(scene, RouteKind.STREAM)
    attempt.body = attempt.body.replace(event_of(attempt.request_id, 2), b"")
    attempt.is_whole = False


def short_stream_looks_whole(scene: Scene) -> None:
    attempt = attempt_of(scene, RouteKind.ONCE)
    attempt.body = event_of(attempt.request_id, 1)


def denied(scene: Scene) -> None:
    attempt_of(scene, RouteKind.READ).status = 401


def forgotten_route(scene: Scene) -> None:
    scene.record.routes["added-0"] = AT
    for time, status in ((1_000, 200), (1_200, 404)):
        path, sent, ended = "/added-0/q/0", later(time), later(time + 20)
        attempt = scene.serve(RouteKind.READ, path=path, sent_at=sent, ended_at=ended)
        attempt.status = status


def unknown_route(scene: Scene) -> None:
    scene.record.routes["added-0"] = AT
    sent, ended = later(9_000), later(9_020)
    scene.serve(
        RouteKind.READ, path="/added-0/q/0", sent_at=sent, ended_at=ended, status=404
    )


def crashed(scene: Scene) -> None:
    life = Life(pid=1, started_at=AT, ended_at=AT, was_asked=False, exit_code=1)
    scene.instance.lives.append(life)


def raised(scene: Scene) -> None:
    scene.instance.log_text = lambda: '{"event":"task:failed"}'


def directory_is_empty(scene: Scene) -> None:
    scene.record.listings.append((AT, "n0", ()))


def never_back(scene: Scene) -> None:
    scene.record.not_recovered.append("n0 is not ready")


def drained_endpoint(scene: Scene) -> None:
    begin = Milliseconds(AT - DRAIN - 100)
    endpoints = frozenset({"e1"})
    scene.record.orders.append(
        Order(at=begin, endpoints=endpoints, within=DRAIN, name="draining")
    )


def revoked_key(scene: Scene) -> None:
    within = Milliseconds(2_000)
    scene.record.orders.append(
        Order(at=AT, key=REVOKED_KEY, within=within, name="revoked")
    )
    scene.serve(
        RouteKind.READ, key=REVOKED_KEY, sent_at=later(2_100), ended_at=later(2_150)
    )


def too_late(scene: Scene) -> None:
    attempt_of(scene, RouteKind.READ).ended_at = later(3_600)


def never_answered(scene: Scene) -> None:
    attempt = attempt_of(scene, RouteKind.READ)
    attempt.ended_at, attempt.status = later(20_000), None


def runs_on(scene: Scene) -> None:
    attempt = attempt_of(scene, RouteKind.STREAM)
    attempt.has_left, attempt.status = True, None
    scene.runs[scene.record.attempts.index(attempt)].ended_at = None


def cold_overrun(scene: Scene) -> None:
    scene.record.cold.add("cold", AT, later(3_000))
    for number in range(21):
        attempt = scene.serve(RouteKind.READ, sent_at=later(number * 10))
        attempt.ended_at = later(number * 10 + 50)
        scene.runs[-1].endpoint = "cold"


def too_many_repeats(scene: Scene) -> None:
    for _ in range(80):
        attempt = scene.serve(RouteKind.READ)
        scene.run(attempt, is_rejected=True)
        scene.run(attempt, is_rejected=True)


def exposed(scene: Scene) -> None:
    end = later(8_000)
    scene.record.exposures.append(
        Exposure(service=APP, version="v2", begin=AT, end=end)
    )
    for _ in range(60):
        scene.serve(RouteKind.READ)
        scene.runs[-1].version = "v2"


@pytest.mark.parametrize(
    ("plant", "found"),
    [
        (unknown_run, "runs"),
        (key_passed_on, "runs"),
        (write_twice, "at-most-once"),
        (read_too_often, "at-most-once"),
        (untrue_refusal, "true-refusals"),
        (unsigned, "answers"),
        (answer_of_another, "answers"),
        (piece_missing, "answers"),
        (short_stream_looks_whole, "answers"),
        (denied, "denials"),
        (forgotten_route, "routes-kept"),
        (unknown_route, "new-routes"),
        (crashed, "processes"),
        (raised, "processes"),
        (directory_is_empty, "directory"),
        (never_back, "recovery"),
        (drained_endpoint, "orders"),
        (revoked_key, "orders"),
        (too_late, "timeouts"),
        (never_answered, "timeouts"),
        (runs_on, "abandoned"),
        (cold_overrun, "cold"),
        (too_many_repeats, "repeats"),
        (exposed, "exposure"),
    ],
    ids=lambda value: value if isinstance(value, str) else value.__name__,
)
def test_planted_violation_is_found(plant: Callable[[Scene], None], found: str) -> None:
    scene = Scene()
    assert scene.broken() == set()
    plant(scene)
    assert found in scene.broken()


@pytest.mark.parametrize("struck", ["n0", STORE])
def test_disturbed_instance_has_no_time_bounds(struck: str) -> None:
    scene = Scene()
    too_late(scene)
    drained_endpoint(scene)
    scene.record.disturbances.add(struck, Milliseconds(AT - 1_000), AT)
    assert scene.broken() == set()
