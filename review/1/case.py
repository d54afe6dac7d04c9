"""
A foreign entry in the list of workers, a worker that drains, and killed processes.

The rules are DRAIN: no request reaches a worker later than ``DrainMs`` after the store
accepted that it is draining; and RECOVER: later than ``RecoveryS`` after all processes
were killed and are back, a quarter of the requests or more is served.
"""

import asyncio
from pathlib import Path

from review_stand_ins import (
    BOUNDS,
    Caller,
    Deployment,
    main,
    now,
    plain,
    route,
    service,
)

#: Bytes that are no entry: nested deeper than a decoder follows, and cut off.
FOREIGN_VALUE = b'{"Extra": ' + b"[" * 2_000
DRAIN_MS = int(BOUNDS["DrainMs"])
RECOVERY_S = float(BOUNDS["RecoveryS"])
#: How long the draining worker goes on serving: "at times many seconds".
SERVES_ON_S = 10.0
#: Delay before a killed process is started again.
RESTART_S = 0.4
#: Time in which requests are counted after ``RecoveryS``.
COUNTED_S = 3.0
MIN_SERVED = 0.25


async def case(deployment: Deployment, has_trouble: bool) -> bool:
    """Return whether both rules held."""
    workers = []
    for number in range(3):
        worker = await deployment.add_worker(
            "app", plain(0.03), zone=f"z{number + 1}", slots=6
        )
        workers.append(worker)
    await deployment.start(
        instances=3,
        configuration={
            "Version": 1,
            "Routes": [route("write", "non_idempotent", "app", TimeoutMs=4_000)],
            "Services": [service("app")],
        },
    )
    #: Time at which each request was sent, and the status of its answer.
    answers: list[tuple[int, int]] = []
    traffic = [
        asyncio.create_task(_call(deployment, index, answers))
        for index in range(len(deployment.instances))
    ]
    await asyncio.sleep(4)
    if has_trouble:
        deployment.store.put("servers", "i-foreign", FOREIGN_VALUE)
    await asyncio.sleep(4)
    leaving = workers[0]
    accepted_at = leaving.announce("draining")
    await asyncio.sleep(SERVES_ON_S)
    late = [
        run
        for run in leaving.runs
        if run.is_run and run.received_at > accepted_at + DRAIN_MS
    ]
    leaving.leave()
    leaving.stop()
    await asyncio.sleep(1)
    killed_at = now()
    for instance in deployment.instances:
        instance.kill()
    await asyncio.sleep(RESTART_S)
    for instance in deployment.instances:
        instance.start()
    await asyncio.sleep(RECOVERY_S)
    counted_from = now()
    await asyncio.sleep(COUNTED_S)
    for task in traffic:
        task.cancel()
    before = _served(answers, killed_at - 4_000, killed_at)
    after = _served(answers, counted_from, now())
    failed = sum(
        len(instance.events("task:failed")) for instance in deployment.instances
    )
    deployment.record.say(
        f"DRAIN: {len(late)} requests reached the draining worker later than "
        f"{DRAIN_MS} ms after the store had accepted that it drains"
    )
    deployment.record.say(
        f"RECOVER: served before all processes were killed: {before:.2f}; later than "
        f"{RECOVERY_S:.0f} s after they were back: {after:.2f}; "
        f"{failed} lines task:failed in the logs"
    )
    has_recovered = after >= MIN_SERVED or before < MIN_SERVED
    return not late and has_recovered


def _served(answers: list[tuple[int, int]], start: int, end: int) -> float:
    """Return the share of the requests sent in a span of time that were served."""
    found = [status for sent_at, status in answers if start <= sent_at < end]
    return found.count(200) / max(len(found), 1)


async def _call(
    deployment: Deployment, index: int, answers: list[tuple[int, int]]
) -> None:
    caller = Caller(deployment.instances[index].address, deployment.record)
    for number in range(10_000):
        sent_at = now()
        answer = await caller.ask(f"/write/{number}", f"r-{index}-{number}")
        answers.append((sent_at, answer.status))
        await asyncio.sleep(0.05)


main(Path(__file__).parent, case)
