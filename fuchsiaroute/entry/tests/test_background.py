import asyncio

from fuchsiaroute.clock import ManualClock
from fuchsiaroute.entry import BackgroundTasks
from fuchsiaroute.entry._background import RESTART_DELAY


async def test_failed_task_is_restarted_and_the_others_continue():
    clock = ManualClock()
    background = BackgroundTasks(clock)
    runs = []

    async def failing():
        runs.append("failing")
        raise KeyError("a")

    async def endless():
        runs.append("lasting")
        await asyncio.Event().wait()

    background.add("failing", failing)
    background.add("lasting", endless)
    background.start()
    await clock.advance(RESTART_DELAY * 2)
    assert runs == ["failing", "lasting", "failing", "failing"]
    await background.stop()
    await clock.advance(RESTART_DELAY)
    assert len(runs) == 4
