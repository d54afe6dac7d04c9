"""A worker answers 503 to requests that it ran; so do the machines."""

import asyncio
from pathlib import Path

from review2_stand_ins import (
    Client,
    Record,
    Store,
    Worker,
    check_served,
    configuration,
    is_troubled,
    nodes,
    run,
    until_ready,
)

MACHINES = 2
#: Share of its requests that the worker fails; the site file names it for ``srv_grey``.
FAILING_SHARE = 0.45
REQUESTS = 200


async def case(record: Record) -> bool:
    """Return whether no request that has run was answered as one that has not."""
    store = Store(record)
    worker = Worker(record, "w1", slots=64)
    worker.failing_share = FAILING_SHARE if is_troubled() else 0.0
    for server in (store, worker):
        await server.listen()
    store.put("op", "config", configuration(1))
    store.put("servers", worker.name, worker.entry())
    names = [f"edge-{number}" for number in range(1, MACHINES + 1)]
    async with nodes(record, names, store_port=store.port) as machines:
        await until_ready(machines)
        client = Client(record)
        for number in range(REQUESTS):
            node = machines[number % MACHINES]
            path = f"/write/{number}"
            await client.send(node.frontend, path, method="POST", body=b"body")
            await asyncio.sleep(0.02)
        check_served(client)
        client.close()
    for server in (store, worker):
        server.close()
    ran = {item.request_id for item in worker.runs}
    promised = [
        reply
        for reply in client.replies
        if reply.status in (408, 421, 429, 503) and reply.request_id in ran
    ]
    record.say(f"requests that must not run twice: {len(client.replies)}")
    record.say(f"answered as not run though they have run: {len(promised)}")
    return not promised


if __name__ == "__main__":
    run(case, Path(__file__).parent)
