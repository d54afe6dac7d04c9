"""
A service moves to a version, back, and to the same version again.

The rule is PINNED: in the first half of a roll-out, a session whose latest request ran
on another version does not run on the new one.
"""

import asyncio
import json
from pathlib import Path

from review_stand_ins import (
    BOUNDS,
    Caller,
    CannotRunError,
    Deployment,
    Run,
    Worker,
    main,
    now,
    route,
    service,
    stream,
)

#: As in the sheet's days: ``rollout_good`` with ``for_s`` of 16.
DURATION_S = 16.0
#: From an order to the registration of the workers that are started for it.
START_S = 0.5
#: The rule allows three.
ALLOWED = 3
SESSIONS = 12
SERVICE, OLD, NEW = "pool", "v1", "v2"
WORKERS = 3
EVENTS, PAUSE_S = 6, 0.1


async def case(deployment: Deployment, has_trouble: bool) -> bool:
    """Return whether at most three requests of sessions changed version too soon."""
    present = {OLD: await _add_workers(deployment, OLD)}
    await deployment.start(
        instances=3,
        configuration={
            "Version": 1,
            "Routes": [
                route("draft", "streaming", SERVICE, Sticky=True, TimeoutMs=8_000)
            ],
            "Services": [service(SERVICE)],
        },
    )
    traffic = [
        asyncio.create_task(_session(deployment, number)) for number in range(SESSIONS)
    ]
    await asyncio.sleep(4)
    if has_trouble:
        await _roll_out(deployment, present, NEW)
        await asyncio.sleep(1)
        await _roll_out(deployment, present, OLD)
        await asyncio.sleep(4)
    ordered_at = _order(deployment, NEW)
    await asyncio.sleep(START_S)
    present[NEW] = await _add_workers(deployment, NEW)
    completed = asyncio.create_task(_completion(deployment, NEW))
    await asyncio.sleep((ordered_at - now()) / 1_000 + DURATION_S / 2)
    half_at = now()
    is_completed_early = completed.done()
    completed_after = completed.result() - ordered_at if is_completed_early else None
    completed.cancel()
    for task in traffic:
        task.cancel()
    moved = _moved(deployment.runs(), ordered_at, half_at)
    on_new = [
        run
        for run in deployment.runs()
        if run.version == NEW and ordered_at < run.received_at <= half_at
    ]
    deployment.record.say(
        f"last roll-out ordered at {ordered_at}, half of it over at {half_at}: "
        f"{len(on_new)} requests on {NEW}, {len(moved)} of them in sessions that had "
        f"run on {OLD} less than SessionS before (allowed: {ALLOWED}); reported as "
        f"completed after {completed_after} ms of {DURATION_S:.0f} s"
    )
    return len(moved) <= ALLOWED


async def _add_workers(deployment: Deployment, version: str) -> list[Worker]:
    return [
        await deployment.add_worker(
            SERVICE,
            stream(EVENTS, PAUSE_S),
            zone=f"z{number + 1}",
            version=version,
        )
        for number in range(WORKERS)
    ]


def _order(deployment: Deployment, target: str) -> int:
    order = {"Service": SERVICE, "To": target, "DurationS": DURATION_S}
    return deployment.store.put("op", f"rollout/{SERVICE}", order)


async def _completion(deployment: Deployment, target: str) -> int:
    """Wait until the roll-out is reported as completed; return the time."""
    while True:
        value = deployment.store.text("status", f"rollout/{SERVICE}")
        state = json.loads(value) if value is not None else {}
        if state.get("To") == target and state.get("State") == "completed":
            return now()
        await asyncio.sleep(0.02)


async def _roll_out(
    deployment: Deployment, present: dict[str, list[Worker]], target: str
) -> None:
    """Play a whole roll-out: new workers, the order, and the end of the old ones."""
    (former,) = present
    _order(deployment, target)
    await asyncio.sleep(START_S)
    present[target] = await _add_workers(deployment, target)
    try:
        async with asyncio.timeout(DURATION_S + 3):
            await _completion(deployment, target)
    except TimeoutError:
        raise CannotRunError(f"the roll-out to {target} did not complete") from None
    for worker in present.pop(former):
        worker.leave()
        worker.stop()


async def _session(deployment: Deployment, session: int) -> None:
    """Send the requests of one session, one after the other."""
    instance = deployment.instances[session % len(deployment.instances)]
    caller = Caller(instance.address, deployment.record)
    for number in range(10_000):
        request_id = f"s{session}-{number}"
        headers = {
            "X-Model": "m1",
            "X-Token-Counts": "340,20",
            "X-Prompt-Prefix": f"5e55{session:04x}:300,ab{session:04x}:40",
        }
        await caller.ask(
            f"/draft/{request_id}", request_id, headers=headers, deadline_ms=5_000
        )
        await asyncio.sleep(0.2)


def _moved(runs: list[Run], ordered_at: int, half_at: int) -> list[Run]:
    """Return the requests that left their session's version in the first half."""
    last: dict[str, Run] = {}
    moved = []
    for run in runs:
        if not run.is_run:
            continue
        session = run.request_id.partition("-")[0]
        former = last.get(session)
        if former is not None and former.ended_at is not None:
            is_same_session = run.received_at - former.ended_at < (
                float(BOUNDS["SessionS"]) * 1_000
            )
            if (
                is_same_session
                and former.version != run.version == NEW
                and ordered_at < run.received_at <= half_at
            ):
                moved.append(run)
        last[session] = run
    return moved


main(Path(__file__).parent, case)
