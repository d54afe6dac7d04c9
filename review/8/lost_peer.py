"""
Shows a further effect of the fault of case 8, which breaks no rule by itself.

One of two machines is dark for some seconds, returns, and is lost for good under load.
The other one counts its load for ever and refuses all requests. Run it like the case;
it prints what the remaining machine answers.
"""

import asyncio
import signal
from collections import Counter
from pathlib import Path

from review2_stand_ins import (
    Client,
    Record,
    Store,
    Worker,
    configuration,
    nodes,
    now,
    run,
    until_ready,
)

UPTIME_SECONDS = 25.0
DARK_SECONDS = 3.5
#: Slots that a worker states, and requests that it holds at once with its queue.
SLOTS, HELD = 6, 30
REQUESTS_AT_LOSS = 60
WATCHED_SECONDS = 30.0


async def case(record: Record) -> bool:
    """Return whether the remaining machine serves any request in the end."""
    store = Store(record)
    workers = [Worker(record, name, slots=HELD, work_seconds=1.5) for name in "ab"]
    for server in (store, *workers):
        await server.listen()
    store.put("op", "config", configuration(1))
    for worker in workers:
        store.put("servers", worker.name, worker.entry() | {"Slots": SLOTS})
    async with nodes(record, ["edge-1", "edge-2"], store_port=store.port) as machines:
        staying, lost = machines
        await until_ready(machines)
        await asyncio.sleep(UPTIME_SECONDS)
        lost.signal(signal.SIGKILL)
        await lost.ended(1.0)
        await asyncio.sleep(DARK_SECONDS)
        lost.start()
        while not await lost.is_ready():  # noqa: ASYNC110
            await asyncio.sleep(0.05)
        await asyncio.sleep(2.0)
        client = Client(record)
        load = [
            asyncio.create_task(client.send(lost.frontend, f"/read/{number}"))
            for number in range(REQUESTS_AT_LOSS)
        ]
        await asyncio.sleep(0.8)
        lost.signal(signal.SIGKILL)
        record.say("edge-2 is lost for good")
        await asyncio.gather(*load)
        until = now() + WATCHED_SECONDS
        statuses: list[int] = []
        while now() < until:
            reply = await client.send(staying.frontend, f"/read/{now()}")
            statuses.append(reply.status)
            await asyncio.sleep(0.5)
        record.say(f"answers of edge-1 since, by status: {dict(Counter(statuses))}")
        client.close()
    for server in (store, *workers):
        server.close()
    return 200 in statuses[-5:]


if __name__ == "__main__":
    run(case, Path(__file__).parent)
