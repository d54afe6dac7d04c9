"""
The next version is ordered while the workers of a bad one are still there.

The rule is EXPOSURE: a bad version gets no more than ``CanaryShare`` of the requests
that reach its service between the order and its deadline, + ``CanarySlack``, and none
that was sent later than ``RollbackMs`` after its 50th bad answer.
"""

import asyncio
import json
from itertools import count
from pathlib import Path
from random import Random

from review_stand_ins import (
    BOUNDS,
    Behave,
    Caller,
    CannotRunError,
    Deployment,
    Request,
    Run,
    Worker,
    main,
    now,
    route,
    service,
    stream,
    whole_response,
)

#: As in the sheet's days: ``rollout_bad`` with ``for_s`` of 16 and ``share`` of 0.5.
DURATION_S = 16.0
BAD_SHARE = 0.5
#: From an order to the registration of the workers that are started for it.
START_S = 0.5
#: "At ``rolled_back``, the new workers drain some seconds later."
STAY_S = 8.0
#: From the report of the roll-back to the order of the next version.
NEXT_ORDER_S = 1.0
CALLERS = 24
SERVICE, OLD, BAD, NEXT = "pool", "v1", "v2", "v3"


async def case(deployment: Deployment, has_trouble: bool) -> bool:
    """Return whether the bad version got no more than its share."""
    random = Random(7)
    answers: list[tuple[int, str, int]] = []
    for number in range(3):
        await _add_worker(deployment, number, OLD, stream(4, 0.05))
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
        asyncio.create_task(_call(deployment, number)) for number in range(CALLERS)
    ]
    await asyncio.sleep(4)
    ordered_at = _order(deployment, BAD)
    await asyncio.sleep(START_S)
    bad = [
        await _add_worker(deployment, number, BAD, _failing(random))
        for number in range(3)
    ]
    deadline = ordered_at + round(DURATION_S * 1_000)
    rolled_back_at = await _roll_back(deployment)
    if has_trouble:
        await asyncio.sleep(NEXT_ORDER_S)
        _order(deployment, NEXT)
        await asyncio.sleep(START_S)
        for number in range(3):
            await _add_worker(deployment, number, NEXT, stream(4, 0.05))
    await asyncio.sleep((rolled_back_at - now()) / 1_000 + STAY_S)
    for worker in bad:
        worker.announce("draining")
    await asyncio.sleep((deadline - now()) / 1_000)
    for task in traffic:
        task.cancel()
    return _judge(deployment, ordered_at, rolled_back_at, deadline, answers)


def _judge(
    deployment: Deployment,
    ordered_at: int,
    rolled_back_at: int,
    deadline: int,
    answers: list[tuple[int, str, int]],
) -> bool:
    runs = [
        run for run in deployment.runs() if ordered_at < run.received_at <= deadline
    ]
    on_bad = [run for run in runs if run.version == BAD]
    allowed = float(BOUNDS["CanaryShare"]) * len(runs) + float(BOUNDS["CanarySlack"])
    failures = sorted(run.ended_at or deadline for run in on_bad if not run.is_complete)
    late: list[Run] = []
    if len(failures) >= 50:
        bound = failures[49] + int(BOUNDS["RollbackMs"])
        late = [run for run in on_bad if run.received_at > bound]
    before = sum(run.received_at <= rolled_back_at for run in on_bad)
    deployment.record.say(
        f"{len(runs)} requests reached the service, {len(on_bad)} of them the bad "
        f"version (allowed: {allowed:.0f}), {before} before it was rolled back, "
        f"{rolled_back_at - ordered_at} ms after the order; {len(failures)} bad "
        f"answers; {len(late)} requests later than RollbackMs after the 50th"
    )
    return len(on_bad) <= allowed and not late


def _failing(random: Random) -> Behave:
    """Return the behaviour of the bad version: a share of its answers are failures."""
    sound = stream(4, 0.05)

    async def behave(
        worker: Worker, request: Request, writer: asyncio.StreamWriter, run: Run
    ) -> None:
        if random.random() >= BAD_SHARE:
            await sound(worker, request, writer, run)
            return
        await asyncio.sleep(0.05)
        writer.write(whole_response(500, worker.headers(run), b"failed"))

    return behave


async def _add_worker(
    deployment: Deployment, number: int, version: str, behave: Behave
) -> Worker:
    return await deployment.add_worker(
        SERVICE, behave, zone=f"z{number + 1}", version=version, slots=32
    )


def _order(deployment: Deployment, target: str) -> int:
    order = {"Service": SERVICE, "To": target, "DurationS": DURATION_S}
    return deployment.store.put("op", f"rollout/{SERVICE}", order)


async def _roll_back(deployment: Deployment) -> int:
    """Wait until the bad version is reported as rolled back; return the time."""
    for _ in range(round(DURATION_S / 0.02)):
        value = deployment.store.text("status", f"rollout/{SERVICE}")
        state = json.loads(value) if value is not None else {}
        if state.get("State") == "rolled_back":
            return now()
        await asyncio.sleep(0.02)
    raise CannotRunError("the bad version was not rolled back")


async def _call(deployment: Deployment, caller_number: int) -> None:
    """Send requests of sessions of one request each."""
    instance = deployment.instances[caller_number % len(deployment.instances)]
    caller = Caller(instance.address, deployment.record)
    for number in count():
        request_id = f"c{caller_number}-{number}"
        prompt = f"{request_id.encode().hex()}:300,{number:x}:40"
        headers = {
            "X-Model": "m1",
            "X-Token-Counts": "340,20",
            "X-Prompt-Prefix": prompt,
        }
        await caller.ask(
            f"/draft/{request_id}", request_id, headers=headers, deadline_ms=5_000
        )
        await asyncio.sleep(0.1)


main(Path(__file__).parent, case)
