"""An instance is told to stop while it stands still for some seconds."""

import asyncio
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from review_harness import (
    HOST,
    KEY,
    CaseError,
    Message,
    Node,
    Site,
    Worker,
    answer_done,
    configuration,
    encode,
    has_trouble,
    read_message,
    route,
    run_case,
)

GRACE_S, CONTACT_S, LOSS_SLACK_S = 8.0, 3.0, 0.2
#: The process stands still from a moment before SIGTERM.
FREEZE_S, FREEZE_LEAD_S = 3.0, 0.2
WORK_S = 0.7
OK = 200
WARM_UP_S, INTERVAL_S = 3.0, 0.2
DEADLINE_S = 4.0
#: Requests sent until then are excused if the worker works to the last sixth.
EARLY_S = 3.0


@dataclass
class Sent:
    """A request of a client, and how it ended."""

    name: str
    sent_at: float = field(default_factory=time.monotonic)
    status: int | None = None
    #: When the connection ended without a complete answer.
    cut_at: float | None = None


async def answer(
    worker: Worker, request: Message, writer: asyncio.StreamWriter
) -> bool:
    """Work for a while, then answer."""
    await asyncio.sleep(WORK_S)
    return await answer_done(worker, request, writer)


async def ask(site: Site, port: int, sent: Sent) -> None:
    """Send a request on a new connection; record its answer or its end."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return
    fields = [("Host", HOST), ("X-Request-Id", sent.name), ("X-Key", KEY)]
    fields.append(("X-Deadline-Ms", f"{DEADLINE_S * 1_000:.0f}"))
    try:
        writer.write(encode("POST /issue/1 HTTP/1.1", fields, b"fee=25"))
        sent.sent_at = time.monotonic()
        site.record.write(f"client sends {sent.name}")
        async with asyncio.timeout(DEADLINE_S):
            sent.status = (await read_message(reader)).status
        site.record.write(f"client gets {sent.status} to {sent.name}")
    except (asyncio.IncompleteReadError, ConnectionError):
        sent.cut_at = time.monotonic()
        site.record.write(f"the connection of {sent.name} ends without an answer")
    except TimeoutError:
        site.record.write(f"client gives up {sent.name} at its deadline")
    finally:
        writer.transport.abort()


async def stop(site: Site, node: Node) -> tuple[float, float]:
    """Stop the process as the platform does; return the times of the signals."""
    thawed_at = 0.0
    if has_trouble():
        site.record.write("SIGSTOP")
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_LEAD_S)
    stopped_at = time.monotonic()
    site.record.write("SIGTERM")
    node.signal(signal.SIGTERM)
    if has_trouble():
        await asyncio.sleep(FREEZE_S - FREEZE_LEAD_S)
        site.record.write("SIGCONT")
        node.signal(signal.SIGCONT)
        thawed_at = time.monotonic()
    if await node.wait(stopped_at + GRACE_S - time.monotonic()) is None:
        site.record.write("SIGKILL, as the grace period is over")
        node.signal(signal.SIGKILL)
        await node.wait(1.0)
    site.record.write("the process has ended")
    return stopped_at, thawed_at


def _is_lost(
    sent: Sent, arrived: set[str | None], stopped_at: float, thawed_at: float
) -> bool:
    """Return whether the rule counts a request as lost."""
    if sent.cut_at is None or not stopped_at <= sent.cut_at <= stopped_at + GRACE_S + 1:
        return False
    took = sent.cut_at - sent.sent_at
    is_excused = (
        # The freeze, until the contact time after it.
        (thawed_at and sent.sent_at - CONTACT_S < thawed_at)
        or took >= DEADLINE_S
        or (
            sent.name in arrived
            and sent.sent_at <= stopped_at + EARLY_S
            and sent.cut_at >= stopped_at + GRACE_S * 5 / 6
        )
    )
    return not is_excused and (sent.name in arrived or took > LOSS_SLACK_S)


async def case(site: Site) -> str | None:
    """Return which requests were passed on and cut without an answer."""
    worker = Worker("i-1", site.record, answer=answer, slots=40)
    await site.open(configuration([route("issue", "non_idempotent")]), [worker])
    node = await site.start_node("edge-1")
    requests: list[Sent] = []
    tasks: list[asyncio.Task[None]] = []

    async def send_all() -> None:
        while True:
            sent = Sent(f"request-{len(requests)}")
            requests.append(sent)
            tasks.append(asyncio.create_task(ask(site, node.frontend, sent)))
            await asyncio.sleep(INTERVAL_S)

    traffic = asyncio.create_task(send_all())
    await asyncio.sleep(WARM_UP_S)
    stopped_at, thawed_at = await stop(site, node)
    traffic.cancel()
    await asyncio.gather(*tasks)
    arrived = {run.field("x-request-id") for run in worker.runs}
    if not any(sent.status == OK for sent in requests if sent.sent_at < stopped_at):
        raise CaseError("no request was answered before the stop")
    lost = [sent for sent in requests if _is_lost(sent, arrived, stopped_at, thawed_at)]
    for sent in lost:
        assert sent.cut_at is not None
        site.record.write(
            f"lost: {sent.name}, sent {sent.sent_at - stopped_at:.3f} s and cut"
            f" {sent.cut_at - stopped_at:.3f} s after SIGTERM,"
            f" {sent.sent_at - thawed_at if thawed_at else 0:.3f} s after SIGCONT,"
            f" run by the worker: {sent.name in arrived}"
        )
    return f"LOST: {len(lost)} requests have no answer" if lost else None


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
