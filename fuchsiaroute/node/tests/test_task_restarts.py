"""Background tasks that fail."""

import asyncio

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.node._task_runner import MAX_RESTART_DELAY, TaskRunner


async def test_task_that_keeps_failing_is_started_more_and_more_rarely() -> None:
    """Guards against calls to the store ten times a second from each instance."""
    clock = ManualClock()
    starts = 0

    async def fail() -> None:
        nonlocal starts
        starts += 1
        raise ZeroDivisionError

    runner = TaskRunner(clock=clock, log=LineLog(clock=clock, instance="i", write=len))
    runner.start("test", fail)
    await clock.advance(Milliseconds(10_000))
    assert 8 <= starts <= 12
    runner.cancel()


async def test_task_that_fails_once_in_a_while_starts_again_soon() -> None:
    clock = ManualClock()
    starts: list[int] = []

    async def fail_late() -> None:
        starts.append(clock.now())
        await clock.sleep(Milliseconds(MAX_RESTART_DELAY + 400))
        raise ZeroDivisionError

    runner = TaskRunner(clock=clock, log=LineLog(clock=clock, instance="i", write=len))
    runner.start("test", fail_late)
    await clock.advance(Milliseconds(10_000))
    await asyncio.sleep(0)
    pauses = [
        later - earlier for earlier, later in zip(starts, starts[1:], strict=False)
    ]
    assert max(pauses) <= MAX_RESTART_DELAY + 600
    runner.cancel()
