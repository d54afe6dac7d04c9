"""A machine leaves while the store answers nobody; the others miss a configuration."""

import asyncio
import signal
from pathlib import Path

from review2_stand_ins import (
    BOUNDS,
    KEY,
    Client,
    Node,
    Record,
    Store,
    Worker,
    check_served,
    configuration,
    end,
    is_troubled,
    nodes,
    now,
    run,
    until_ready,
)

#: Key that the last configuration takes away.
WITHDRAWN_KEY = "key-2"
#: Length of the store's outage; the site file names the same for ``platform_down``.
OUTAGE_SECONDS = 4.5
CONTACT_SECONDS = BOUNDS["ContactMs"] / 1_000
APPLY_SECONDS = BOUNDS["ConfigApplyMs"] / 1_000
#: Time after the acknowledgement for which requests with the withdrawn key are sent.
WATCHED_SECONDS = 8.0
SEND_INTERVAL_SECONDS = 0.2


async def send_for_ever(client: Client, node: Node, key: str) -> None:
    """Send requests with a key to a machine, one after the other."""
    while True:
        await client.send(node.frontend, "/read/a", key=key)
        await asyncio.sleep(SEND_INTERVAL_SECONDS)


async def case(record: Record) -> bool:
    """Return whether no run needed a key that had been withdrawn in time."""
    store, worker = Store(record), Worker(record, "w1")
    await store.listen()
    await worker.listen()
    both = [KEY, WITHDRAWN_KEY]
    store.put("op", "config", configuration(1, keys=both))
    store.put("servers", worker.name, worker.entry())
    names = ["edge-1", "edge-2", "edge-3"]
    async with nodes(record, names, store_port=store.port) as (leaving, *staying):
        await until_ready([leaving, *staying])
        ordinary = Client(record, prefix="ordinary-")
        withdrawn = Client(record, prefix="withdrawn-")
        traffic = [
            asyncio.create_task(send_for_ever(client, node, key))
            for node in staying
            for client, key in ((ordinary, KEY), (withdrawn, WITHDRAWN_KEY))
        ]
        await asyncio.sleep(4.0)
        record.say("edge-1 gets SIGTERM and does not return: it is removed")
        leaving.signal(signal.SIGTERM)
        stop = asyncio.create_task(leaving.ended(BOUNDS["GraceS"]))
        await asyncio.sleep(0.2)
        store.is_silent = is_troubled()
        record.say("the store answers nobody" if store.is_silent else "no outage")
        await asyncio.sleep(0.3)
        # Performed and, in the outage, not answered; the operator writes again later.
        store.put("op", "config", configuration(2, keys=both))
        await asyncio.sleep(OUTAGE_SECONDS - 0.3)
        store.is_silent = False
        record.say("the store answers everybody again")
        await stop
        await asyncio.sleep(CONTACT_SECONDS + 1.0)
        store.put("op", "config", configuration(3, keys=[KEY]))
        acknowledged_at = now()
        record.say("version 3, which withdraws key-2, is acknowledged")
        await asyncio.sleep(WATCHED_SECONDS)
        await end(traffic)
        check_served(ordinary)
        ordinary.close()
        withdrawn.close()
    worker.close()
    store.close()
    bound = acknowledged_at + APPLY_SECONDS
    ran = {item.request_id for item in worker.runs}
    late = [
        reply
        for reply in withdrawn.replies
        if reply.sent_at > bound and reply.request_id in ran
    ]
    answered = sum(reply.status == 200 for reply in ordinary.replies)
    record.say(f"ordinary requests answered: {answered} of {len(ordinary.replies)}")
    record.say(
        f"requests with the withdrawn key, sent over {APPLY_SECONDS:.0f} s after the "
        f"acknowledgement and run all the same: {len(late)}"
    )
    if late:
        last = max(reply.sent_at for reply in late) - acknowledged_at
        record.say(f"the last of them was sent {last:.1f} s after the acknowledgement")
    return not late


if __name__ == "__main__":
    run(case, Path(__file__).parent)
