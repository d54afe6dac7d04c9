import asyncio

from fuchsiaroute.clock import ManualClock


async def test_sleeping_tasks_wake_in_order_of_their_instants():
    clock = ManualClock(start=0)
    woken = []

    async def sleeper(duration):
        await clock.sleep(duration)
        woken.append((duration, clock.now()))

    tasks = [asyncio.create_task(sleeper(duration)) for duration in (30, 10, 20)]
    await clock.advance(25)
    assert woken == [(10, 10), (20, 20)]
    await clock.advance(5)
    assert woken[-1] == (30, 30)
    await asyncio.gather(*tasks)
