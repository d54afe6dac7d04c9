"""Cascades whose larger answer is slow, breaks off or finds no endpoint."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.forwarding import CascadeTimes, ModelChoice, StreamRelay
from fuchsiaroute.forwarding._endpoint_client import AttemptFailure, OpenResponse
from fuchsiaroute.forwarding._events import MAX_STREAM_BYTES
from fuchsiaroute.forwarding._result import CallResult, Ending, NoReservation
from fuchsiaroute.http1 import ExchangeError
from fuchsiaroute.lifecycle import Outcome
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.pool import NoChoice, QueueRefusal

SMALL, LARGE = "small", "large"
FULL = NoReservation(
    refusal=QueueRefusal(reason=NoChoice.FULL, retry_after=Milliseconds(100))
)
SILENT = AttemptFailure(outcome=Outcome.SILENT, reason="no response")
#: A part of a stream that is received before its connection breaks.
BREAK = object()
#: A part that does not arrive within the longest pause.
STALL = object()


def event(number: int) -> bytes:
    return b"id: %d\ndata: x\n\n" % number


class Response(OpenResponse):
    """An open response that delivers ``parts``, then ends or breaks."""

    def __init__(self, model: str, *parts: Any, confidence: float = 1.0) -> None:
        endpoint = SimpleNamespace(id=f"e-{model}", version="v1")
        options: dict[str, Any] = {
            "connection": None,
            "connections": None,
            "head": SimpleNamespace(status=200, headers=[(b"X-Model", model.encode())]),
            "fields": SimpleNamespace(confidence=confidence, unreadable=()),
            "reservation": SimpleNamespace(endpoint=endpoint),
            "model": model,
            "time_to_first_byte": Milliseconds(1),
        }
        super().__init__(**options)
        self.closed: Outcome | None = None
        #: Most bytes that the relay has kept of it at once.
        self.most_kept = 0
        self._parts = list(parts)

    def keep(self, size: int) -> None:
        self.most_kept = max(self.most_kept, size)

    async def read(self) -> bytes:
        assert self.closed is None
        part = self._parts.pop(0) if self._parts else b""
        if part is BREAK:
            raise ExchangeError("connection lost")
        if part is STALL:
            raise TimeoutError
        return part

    def close(self, outcome: Outcome) -> None:
        self.closed = self.closed or outcome


@dataclass
class Runner:
    """Returns the given results of attempts, in order."""

    results: list[Any]
    may_escalate_to: bool = True
    #: Answers of ``can_finish``, in order; True after them.
    can_finish_in_time: list[bool] = field(default_factory=list)
    durations: list[tuple[Any, int, bool]] = field(default_factory=list)
    attempts: list[dict[str, Any]] = field(default_factory=list)
    paces: list[tuple[str, float]] = field(default_factory=list)

    async def attempt(self, call: Any, **options: Any) -> Any:
        self.attempts.append(options)
        return self.results.pop(0)

    def may_escalate(self, call: Any) -> bool:
        return self.may_escalate_to

    def may_retry(self, call: Any) -> bool:
        return bool(self.results)

    def relative_backlog(self, call: Any) -> float:
        return 0.0

    def can_finish(self, call: Any, model: Any) -> bool:
        return self.can_finish_in_time.pop(0) if self.can_finish_in_time else True

    def record_stream_duration(
        self, call: Any, model: Any, duration: int, *, is_whole: bool
    ) -> None:
        self.durations.append((model, duration, is_whole))

    def cascade_times(self, call: Any) -> CascadeTimes:
        return CascadeTimes(
            smallest=None, largest=None, left=2_000, relative_backlog=0.0
        )

    def record_broken_response(self, call: Any, response: Any, reason: str) -> None:
        pass

    def record_complete_response(self, call: Any, response: Any) -> None:
        pass

    def record_silent_stream(self, call: Any, response: Any, *, is_moved: bool) -> None:
        pass

    def record_answer_begun(self, call: Any) -> None:
        pass

    async def check_crash(
        self, call: Any, endpoint: Any, *, has_event: bool = False
    ) -> None:
        pass

    def record_pace(self, call: Any, response: Any, pace: float) -> None:
        self.paces.append((response.model, pace))


class Responder:
    """Records what the caller receives."""

    def __init__(self) -> None:
        self.is_started = False
        self.headers: list[tuple[bytes, bytes]] = []
        self.data = b""
        self.ending = ""

    def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        assert not self.is_started
        self.is_started = True
        self.headers = headers

    def write(self, data: bytes) -> None:
        assert self.is_started or not data
        self.data += data

    async def drain(self) -> None:
        pass

    def finish(self) -> None:
        self.ending = "finished"

    def abort(self) -> None:
        self.ending = "aborted"


class InstantClock(ManualClock):
    """A clock whose sleeps end at once."""

    async def sleep(self, duration: Milliseconds) -> None:
        self.tick(duration)
        await asyncio.sleep(0)


def serve(
    runner: Runner, *, is_resumable: bool = True
) -> tuple[CallResult, Responder, InstantClock]:
    clock = InstantClock()
    route = SimpleNamespace(
        name="r",
        models=(SMALL, LARGE),
        is_resumable=is_resumable,
        max_attempts=3,
        max_event_gap=1_000,
    )
    responder = Responder()
    call = SimpleNamespace(
        route=route,
        responder=responder,
        request_id="q",
        possible_runs=1,
        answer_started_at=None,
        remaining=lambda clock: Milliseconds(1_000),
    )
    relay = StreamRelay(
        runner,  # type: ignore[arg-type]
        choice=ModelChoice(),
        clock=clock,
        log=LineLog(clock=clock, instance="me", write=len),
    )
    result = asyncio.run(relay.serve(call))  # type: ignore[arg-type]
    return result, responder, clock


def weak() -> Response:
    return Response(SMALL, event(1), event(2), confidence=0.1)


@pytest.mark.parametrize(
    ("results", "received", "model", "ending"),
    [
        ([Response(LARGE, event(1))], event(1), LARGE, "finished"),
        ([SILENT], event(1) + event(2), SMALL, "finished"),
        ([FULL], event(1) + event(2), SMALL, "finished"),
        # The larger model's stream breaks before its first event.
        ([Response(LARGE, BREAK)], event(1) + event(2), SMALL, "finished"),
        (
            [Response(LARGE, BREAK), Response(LARGE, event(1))],
            event(1),
            LARGE,
            "finished",
        ),
        ([Response(LARGE, BREAK), FULL], event(1) + event(2), SMALL, "finished"),
        # It breaks later: the events that the caller has cannot be taken back.
        (
            [Response(LARGE, event(1), BREAK), Response(LARGE, event(2))],
            event(1) + event(2),
            LARGE,
            "finished",
        ),
        # No endpoint has capacity for the rest at first.
        (
            [Response(LARGE, event(1), BREAK), FULL, FULL, Response(LARGE, event(2))],
            event(1) + event(2),
            LARGE,
            "finished",
        ),
        ([Response(LARGE, event(1), BREAK)], event(1), LARGE, "aborted"),
    ],
)
def test_escalated_stream(
    results: list[Any], received: bytes, model: str, ending: str
) -> None:
    """Guards against a weak answer that is given up before the larger one is safe."""
    first = weak()
    result, responder, _ = serve(Runner([first, *results]))
    assert (responder.data, responder.ending) == (received, ending)
    assert (b"X-Model", model.encode()) in responder.headers
    assert first.closed is not None
    is_answered = ending == "finished"
    assert result.ending is (Ending.ANSWERED if is_answered else Ending.BROKEN_OFF)
    assert result.is_escalated == (model == LARGE)


def test_rest_of_a_stream_is_marked_for_the_queue() -> None:
    runner = Runner([Response(SMALL, event(1), BREAK), Response(SMALL, event(2))])
    _, responder, _ = serve(runner)
    assert responder.ending == "finished"
    assert [item.get("is_resumption", False) for item in runner.attempts] == [
        False,
        True,
    ]


def test_weak_answer_is_sent_if_no_escalation_is_allowed() -> None:
    result, responder, _ = serve(Runner([weak()], may_escalate_to=False))
    assert responder.data == event(1) + event(2)
    assert not result.is_escalated


def test_weak_answer_is_sent_if_a_better_one_cannot_end_in_time() -> None:
    """Guards against a stream that begins too late to be whole at the deadline."""
    runner = Runner([weak()], can_finish_in_time=[False])
    result, responder, _ = serve(runner)
    assert responder.data == event(1) + event(2)
    assert not result.is_escalated


def test_weak_answer_is_sent_if_the_better_one_is_silent_for_too_long() -> None:
    """Guards against a better answer that is awaited until nothing can be sent."""
    runner = Runner([weak(), Response(LARGE, STALL)], can_finish_in_time=[True, False])
    _, responder, _ = serve(runner)
    assert responder.data == event(1) + event(2)
    assert len(runner.attempts) == 2


def test_durations_are_recorded_of_whole_streams_of_one_endpoint() -> None:
    runner = Runner([Response(SMALL, event(1), event(2), confidence=0.9)])
    serve(runner)
    assert [(model, is_whole) for model, _, is_whole in runner.durations] == [
        (SMALL, True)
    ]


@pytest.mark.parametrize("is_resumable", [True, False])
def test_stream_that_breaks_before_its_first_event_can_still_be_answered(
    is_resumable: bool,
) -> None:
    """Guards against a connection that is closed without any response."""
    runner = Runner([Response(SMALL, BREAK)])
    result, responder, _ = serve(runner, is_resumable=is_resumable)
    assert result.ending is Ending.ATTEMPTS_FAILED
    assert (responder.is_started, responder.ending) == (False, "")


def test_pace_is_recorded_once_for_each_response_of_a_stream() -> None:
    """Guards against a slow stream that counts for the endpoint that took it over."""
    first = [event(number) for number in range(20)]
    rest = [event(number) for number in range(20, 24)]
    runner = Runner([Response(LARGE, *first, BREAK), Response(SMALL, *rest)])
    _, responder, _ = serve(runner)
    assert responder.ending == "finished"
    assert runner.paces == [(LARGE, 0.0), (SMALL, 0.0)]


def test_pace_of_a_short_stream_is_not_recorded() -> None:
    runner = Runner([Response(LARGE, event(1), event(2), event(3))])
    serve(runner)
    assert runner.paces == []


@pytest.mark.parametrize(
    "start", [b"id: 2\nda", b"id: 2\ndata: x", b"id: 2\ndata: x\n"]
)
@pytest.mark.parametrize("is_resumable", [True, False])
def test_stream_that_ends_inside_an_event_has_been_broken_off(
    start: bytes, is_resumable: bool
) -> None:
    """
    Guards against passing a part of an answer on as the whole one.

    The end of the response is marked as usual, whatever its framing.
    """
    rest = [Response(LARGE, event(2), event(3))] if is_resumable else []
    runner = Runner([Response(LARGE, event(1), start), *rest])
    _, responder, _ = serve(runner, is_resumable=is_resumable)
    if is_resumable:
        assert responder.data == event(1) + event(2) + event(3)
        assert runner.attempts[-1]["resume_after"] == "1"
    else:
        assert responder.data == event(1)
    assert responder.ending == ("finished" if is_resumable else "aborted")


def test_stream_without_end_is_given_up() -> None:
    """Guards against separators without end, which fill the time until the deadline."""
    piece = b"\n\n" * 262_144
    result, responder, _ = serve(Runner([Response(LARGE, event(1), *[piece] * 64)]))
    assert responder.ending == "aborted"
    assert len(responder.data) <= MAX_STREAM_BYTES
