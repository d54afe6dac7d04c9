"""A worker that starts again while the store is away gets its full load while cold."""

import asyncio
from pathlib import Path

from review2_stand_ins import (
    BOUNDS,
    Client,
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
    until_ready,
)

MACHINES = 3
#: Length of the store's outage; the site file names the same for ``platform_down``.
OUTAGE_SECONDS = 4.5
#: Time for which the worker is down.
DOWN_SECONDS = 0.5
#: ``ColdPerS`` and ``ColdStartS`` of the site file's model workers.
COLD_PER_SECOND, COLD_SECONDS = 16.0, 3.0
COLD_BOUND = COLD_PER_SECOND * BOUNDS["ColdOver"] + BOUNDS["ColdSlack"]
#: Requests in a second beyond which the cold worker crashes: well above its rate.
FALLS_ABOVE = 34
#: Requests of clients a second at each machine.
RATE = 30.0


async def case(record: Record) -> bool:
    """Return whether a cold worker got no more than the rule allows."""
    store = Store(record)
    steady = Worker(record, "w1", slots=64)
    crashing = Worker(record, "w2", slots=64, falls_above=FALLS_ABOVE)
    for server in (store, steady, crashing):
        await server.listen()
    settings = configuration(1, cold_per_s=COLD_PER_SECOND, cold_start_s=COLD_SECONDS)
    store.put("op", "config", settings)
    for worker in (steady, crashing):
        store.put("servers", worker.name, worker.entry())
    names = [f"edge-{number}" for number in range(1, MACHINES + 1)]
    async with nodes(record, names, store_port=store.port) as machines:
        await until_ready(machines)
        client = Client(record)
        traffic = [
            asyncio.create_task(steady_traffic(client, node, per_second=RATE))
            for node in machines
        ]
        await asyncio.sleep(4.0)
        if is_troubled():
            store.is_away = True
            record.say("the store refuses all calls")
            await asyncio.sleep(0.2)
            await crashing.restart(down_seconds=DOWN_SECONDS, cold_seconds=COLD_SECONDS)
            record.say("the worker is back under its id, and cold")
            await asyncio.sleep(OUTAGE_SECONDS - 0.2 - DOWN_SECONDS)
            store.is_away = False
            store.put("servers", crashing.name, crashing.entry())
        else:
            await asyncio.sleep(OUTAGE_SECONDS)
        await end(traffic)
        check_served(client)
        client.close()
    for server in (store, steady, crashing):
        server.close()
    cold = [item for item in crashing.arrivals if item.is_cold]
    most = most_in_a_second(cold, client)
    record.say(f"requests to the cold worker in one second: {most}")
    record.say(f"bound of the rule: {COLD_BOUND:.0f}")
    record.say(f"health checks that it got: {crashing.health_checks}")
    if crashing.fell_at is not None:
        replies = {reply.request_id: reply for reply in client.replies}
        lost = [
            name
            for name in crashing.lost
            if name not in replies or replies[name].status != 200
        ]
        record.say(f"it crashed; {len(lost)} requests that it ran were lost")
    return most <= COLD_BOUND


if __name__ == "__main__":
    run(case, Path(__file__).parent)
