"""Machines that were dark for some seconds are dead to the others for hours."""

import asyncio
import signal
from pathlib import Path

from review2_stand_ins import (
    BOUNDS,
    Client,
    Node,
    Record,
    Store,
    Worker,
    check_served,
    configuration,
    end,
    is_troubled,
    most_in_a_second,
    nodes,
    run,
    steady_traffic,
    until_all_run,
    until_ready,
)

#: Machines, as in the larger deployment of the pages.
MACHINES = 8
#: Time for which the machines run before the first one loses power.
UPTIME_SECONDS = 44.0
#: Time for which a machine has no power; the site file names it for ``node_kill``.
DARK_SECONDS = 3.5
#: ``ColdPerS`` and ``ColdStartS`` of the site file's model workers.
COLD_PER_SECOND, COLD_SECONDS = 16.0, 3.0
COLD_BOUND = COLD_PER_SECOND * BOUNDS["ColdOver"] + BOUNDS["ColdSlack"]
#: Requests in a second beyond which the cold worker crashes: well above its rate.
FALLS_ABOVE = 34
#: Requests of clients a second at each machine.
RATE = 25.0


async def lose_power(node: Node, record: Record) -> None:
    """Let a machine be dark, and wait until it is ready again."""
    node.signal(signal.SIGKILL)
    await node.ended(1.0)
    await asyncio.sleep(DARK_SECONDS)
    node.start()
    await until_all_run([node])
    record.write("node:ready", node=node.name)


async def case(record: Record) -> bool:
    """Return whether a cold worker got no more than the rule allows."""
    store = Store(record)
    old = Worker(record, "w1", slots=64)
    new = Worker(record, "w2", slots=64, work_seconds=0.2, falls_above=FALLS_ABOVE)
    for server in (store, old, new):
        await server.listen()
    settings = configuration(1, cold_per_s=COLD_PER_SECOND, cold_start_s=COLD_SECONDS)
    store.put("op", "config", settings)
    store.put("servers", old.name, old.entry())
    names = [f"edge-{number}" for number in range(1, MACHINES + 1)]
    async with nodes(record, names, store_port=store.port) as machines:
        await until_ready(machines)
        await asyncio.sleep(UPTIME_SECONDS)
        if is_troubled():
            for node in machines:
                await lose_power(node, record)
        else:
            await asyncio.sleep(MACHINES * (DARK_SECONDS + 0.8))
        listed = [len(await node.addresses()) for node in machines]
        record.say(f"machines that each directory names: {listed}")
        client = Client(record)
        traffic = [
            asyncio.create_task(steady_traffic(client, node, per_second=RATE))
            for node in machines
        ]
        await asyncio.sleep(2.0)
        record.say("release: a worker starts, cold, and the former one drains")
        new.begin_cold(COLD_SECONDS)
        store.put("servers", new.name, new.entry())
        await asyncio.sleep(0.3)
        old.state = "draining"
        store.put("servers", old.name, old.entry())
        await asyncio.sleep(COLD_SECONDS)
        await end(traffic)
        check_served(client)
        client.close()
    for server in (store, old, new):
        server.close()
    cold = [item for item in new.arrivals if item.is_cold]
    most = most_in_a_second(cold, client)
    record.say(f"requests to the cold worker in one second: {most}")
    record.say(f"bound of the rule: {COLD_BOUND:.0f}")
    if new.fell_at is not None:
        replies = {reply.request_id: reply for reply in client.replies}
        lost = [
            name
            for name in new.lost
            if name not in replies or replies[name].status != 200
        ]
        record.say(f"it crashed; {len(lost)} requests that it ran were lost")
    return most <= COLD_BOUND


if __name__ == "__main__":
    run(case, Path(__file__).parent)
