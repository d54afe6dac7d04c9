"""Silent streams whose rest is sent to another endpoint beside their present run."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

import pytest

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.forwarding._endpoint_client import AttemptFailure, OpenResponse
from fuchsiaroute.forwarding._result import NoReservation, Silence
from fuchsiaroute.forwarding._standby import MAX_OVERLAP, StandbyRunner
from fuchsiaroute.lifecycle import Outcome

OVERLAP_S = MAX_OVERLAP / 1_000
#: Times of events in these tests: within the overlap, and after it.
SOON_S, LATE_S, NEVER_S = OVERLAP_S / 5, OVERLAP_S * 1.6, 60.0
MAX_SILENCE = Milliseconds(400)
FAILURE = AttemptFailure(outcome=Outcome.REFUSED_FULL, reason="full")
NO_PLACE = NoReservation(refusal=None)  # type: ignore[arg-type]


class Response(OpenResponse):
    """A response of which bytes arrive, or that fails, after ``readable_s``."""

    def __init__(
        self,
        *,
        status: int = 200,
        readable_s: float = NEVER_S,
        is_readable: bool = True,
    ) -> None:
        self.head = SimpleNamespace(status=status)  # type: ignore[assignment]
        self.model = None
        self.closed: Outcome | None = None
        self._readable_s = readable_s
        self._is_readable = is_readable

    async def wait_readable(self) -> bool:
        await asyncio.sleep(self._readable_s)
        return self._is_readable

    def close(self, outcome: Outcome) -> None:
        self.closed = outcome


@dataclass
class Runner:
    """Returns ``result`` after ``answer_s``; records whether the attempt was ended."""

    result: Any
    answer_s: float
    is_alive: bool = False
    is_reserved: bool = True
    is_ended: bool = False
    crash_checks: int = 0
    reservation: Any = field(
        default_factory=lambda: SimpleNamespace(silences=0, record_silence=None)
    )

    async def attempt(self, call: Any, *, before_send: Any, **options: Any) -> Any:
        assert options["max_silence"] == MAX_SILENCE
        if self.is_reserved:
            self.reservation.record_silence = self._record_silence
            before_send(self.reservation)
        try:
            await asyncio.sleep(self.answer_s)
        except asyncio.CancelledError:
            self.is_ended = True
            raise
        return self.result

    async def check_crash(self, call: Any, endpoint: Any, *, has_event: bool) -> None:
        self.crash_checks += 1

    def is_rather_alive(
        self, call: Any, reservation: Any, silent: Any, *, model: Any
    ) -> bool:
        return self.is_alive

    def _record_silence(self) -> None:
        self.reservation.silences += 1


async def replace(runner: Runner, silent: Response) -> tuple[Any, list[float]]:
    """Return the result, and when the silent run was given up."""
    loop = asyncio.get_running_loop()
    start, given_up = loop.time(), []
    result = await StandbyRunner(runner).replace(  # type: ignore[arg-type]
        SimpleNamespace(),  # type: ignore[arg-type]
        SimpleNamespace(id="e"),  # type: ignore[arg-type]
        goes_on=silent.wait_readable(),
        model=None,
        max_silence=MAX_SILENCE,
        give_up=lambda: given_up.append(loop.time() - start),
    )
    await asyncio.sleep(0)
    return result, given_up


@pytest.mark.parametrize(
    ("result", "answer_s", "is_alive", "readable_s", "expected", "is_given_up"),
    [
        ("success", SOON_S, False, NEVER_S, "moved", True),
        # The silent endpoint goes on first.
        ("success", NEVER_S, True, SOON_S, Silence.KEPT, False),
        # The other endpoint turns the request away.
        (FAILURE, SOON_S, True, NEVER_S, Silence.KEPT, False),
        (NO_PLACE, SOON_S, True, NEVER_S, Silence.KEPT, False),
        ("error", SOON_S, True, NEVER_S, Silence.KEPT, False),
        # Neither sends anything.
        ("success", LATE_S, False, NEVER_S, Silence.KEPT, False),
        ("success", LATE_S, True, NEVER_S, "moved", True),
        (FAILURE, LATE_S, True, NEVER_S, Silence.GIVEN_UP, True),
        ("error", LATE_S, True, NEVER_S, Silence.GIVEN_UP, True),
    ],
)
async def test_run_is_ended_only_for_an_endpoint_that_goes_on(
    result: Any,
    answer_s: float,
    is_alive: bool,
    readable_s: float,
    expected: Any,
    is_given_up: bool,
) -> None:
    """Guards against a run that is ended though no other endpoint takes its stream."""
    response = Response(status=200 if result == "success" else 500)
    if isinstance(result, str):
        result = response
    runner = Runner(result, answer_s, is_alive=is_alive)
    found, given_up = await replace(runner, Response(readable_s=readable_s))
    assert bool(given_up) is is_given_up
    if expected == "moved":
        assert found is response
        assert response.closed is None
    else:
        assert found is expected
    if result is response and response.head.status != 200:
        assert response.closed is Outcome.CANCELLED


@pytest.mark.parametrize(("is_alive", "is_ended"), [(False, True), (True, False)])
async def test_two_endpoints_work_on_a_stream_for_a_short_time_only(
    is_alive: bool, is_ended: bool
) -> None:
    """Guards against work that is done twice."""
    runner = Runner(Response(), LATE_S, is_alive=is_alive)
    _, given_up = await replace(runner, Response())
    assert runner.is_ended is is_ended
    # An endpoint that is not preferred counts as silent itself.
    assert runner.reservation.silences == is_ended
    assert bool(given_up) is not is_ended
    assert all(instant < OVERLAP_S * 1.4 for instant in given_up)


@pytest.mark.parametrize(
    ("result", "answer_s", "is_moved"),
    [
        ("success", SOON_S * 2, True),
        ("success", LATE_S, True),
        (FAILURE, LATE_S, False),
        (NO_PLACE, SOON_S * 2, False),
    ],
)
async def test_attempt_goes_on_when_the_silent_run_fails(
    result: Any, answer_s: float, is_moved: bool
) -> None:
    """Guards against a run that is ended though it is the only one left."""
    response = Response()
    runner = Runner(response if result == "success" else result, answer_s)
    silent = Response(readable_s=SOON_S, is_readable=False)
    found, given_up = await replace(runner, silent)
    assert found is (response if is_moved else Silence.KEPT)
    assert bool(given_up) is is_moved
    # Otherwise the failure is found, and the crash checked, where the answer is read.
    assert runner.crash_checks == is_moved


async def test_attempt_ends_with_its_request() -> None:
    """Guards against a run that goes on after the caller has left."""
    runner = Runner(Response(), NEVER_S)
    task = asyncio.create_task(replace(runner, Response()))
    await asyncio.sleep(SOON_S)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await asyncio.sleep(0)
    assert runner.is_ended
