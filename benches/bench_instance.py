"""
Processor time of an instance's periodic work in fleets of several sizes.

Runs the parts of one instance on this machine without a network: peers are gossip
messages that were encoded before, and endpoints are announcements in memory. Prints
microseconds for each kind of work and the share of a core that it takes in a second
without requests.
"""

import asyncio
import itertools
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from fuchsiaroute.clock import BootClock
from fuchsiaroute.gossip import (
    FORMAT,
    GossipMessage,
    Heartbeat,
    encode_message,
)
from fuchsiaroute.gossip._node import FANOUT, ROUND_INTERVAL
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.node._parts import NodeParts
from fuchsiaroute.node._run import TICK
from fuchsiaroute.platform import Row, Rows, parse_node_settings
from fuchsiaroute.store import StorePosition

SIZES = (8, 85, 195)
ENDPOINTS = 55
#: Endpoints at which each peer has requests.
LOADED_ENDPOINTS = 12
REPEATS = 300
MILLISECONDS_PER_SECOND = 1_000


@dataclass(frozen=True, kw_only=True)
class Work:
    """A kind of work, and how often an idle instance does it in a second."""

    name: str
    run: Callable[[], object]
    per_second: float


def build(size: int) -> tuple[NodeParts, list[bytes]]:
    """Return the parts of one of ``size`` instances, and messages of its peers."""
    settings = parse_node_settings(
        "NodeName=edge-0\nZone=z0\nIp=127.0.0.1\nListen.Frontend=127.0.0.1:80\n"
        "PortRange=7000,7000\nPlatform.Address=127.0.0.1:1\n"
    )
    clock = BootClock()
    log = LineLog(clock=clock, instance="edge-0", write=len)
    parts = NodeParts(settings, clock=clock, log=log, random=Random(1))
    random = Random(2)
    rows = [
        Row(
            key=f"i-{number:04d}",
            value=json.dumps(
                {
                    "Service": "pool",
                    "Address": f"10.0.0.{number}:80",
                    "Zone": f"z{number % 5}",
                    "Version": "v1",
                    "Slots": 16,
                    "State": "ready",
                    "ColdLeftMs": 0,
                    "Seq": 1,
                    "born": 1,
                }
            ).encode(),
            revision=StorePosition(number + 1),
        )
        for number in range(ENDPOINTS)
    ]
    parts.catalog.apply_endpoints(
        Rows(rows=tuple(rows), revision=StorePosition(ENDPOINTS)), is_whole=True
    )
    parts.orders_feed.revision = StorePosition(ENDPOINTS)
    parts.endpoints_feed.revision = StorePosition(ENDPOINTS)
    names = [f"edge-{number}" for number in range(1, size)]
    messages = []
    for count in (1, 2):
        for name in names:
            loaded = random.sample(rows, LOADED_ENDPOINTS)
            heartbeats = random.sample(names, min(40, len(names)))
            messages.append(
                encode_message(
                    GossipMessage(
                        format=FORMAT,
                        instance=name,
                        count=count,
                        is_ready=True,
                        frontend="127.0.0.1:80",
                        failure_domain=f"z{random.randrange(5)}",
                        port=7000,
                        loads={
                            row.key: (random.randint(1, 3), random.randint(0, 400))
                            for row in loaded
                        },
                        heartbeats=[
                            Heartbeat(item, count, True) for item in heartbeats
                        ],
                        revisions={"ORDERS": ENDPOINTS, "ENDPOINTS": ENDPOINTS},
                        rollouts=[],
                        evidence=[],
                        suspended=[],
                        sessions=[],
                        answer_ages={"ORDERS": 100, "ENDPOINTS": 100},
                    )
                )
            )
    return parts, messages


def work_of(parts: NodeParts, messages: list[bytes]) -> list[Work]:
    """Return the periodic work of an instance with the given peers."""
    sender = ("127.0.0.1", 7000)
    order = iter(range(1 << 30))
    rounds = MILLISECONDS_PER_SECOND / ROUND_INTERVAL
    ticks = MILLISECONDS_PER_SECOND / TICK
    # A fleet no larger than the fanout sends to all; each message has one receiver.
    receivers = min(FANOUT, len(messages) // 2)

    def receive() -> None:
        data = messages[next(order) % len(messages)]
        parts.gossip.datagram_received(data, sender)

    return [
        Work(name="tick", run=parts.tick, per_second=ticks),
        Work(
            name="message composed and encoded",
            run=lambda: encode_message(parts.exchange.compose()),
            per_second=rounds,
        ),
        Work(name="message received", run=receive, per_second=rounds * receivers),
        Work(
            name="idle check of both feeds",
            run=lambda: (
                parts.orders_feed._may_idle(),
                parts.endpoints_feed._may_idle(),
            ),
            per_second=ticks,
        ),
    ]


def membership_work_of(parts: NodeParts) -> list[Work]:
    """Return what an instance does when another one comes, and the first read."""
    names = parts.instances()
    halves = itertools.cycle((names, names[:-1]))
    return [
        Work(
            name="an instance comes or goes",
            run=lambda: parts.pool.update_instances(next(halves)),
            per_second=0,
        ),
    ]


def request_work_of(parts: NodeParts) -> list[Work]:
    """Return what each request needs to know of the fleet."""
    return [
        Work(
            name="is the store reached", run=parts._store_unreachable_for, per_second=0
        ),
        Work(name="instances that share limits", run=parts.instances, per_second=0),
    ]


def microseconds(run: Callable[[], object]) -> float:
    """Return the processor time of one run."""
    started_at = time.process_time()
    for _ in range(REPEATS):
        run()
    return (time.process_time() - started_at) / REPEATS * 1e6


async def main() -> None:
    """Print the table."""
    for size in SIZES:
        parts, messages = build(size)
        for data in messages:
            parts.gossip.datagram_received(data, ("127.0.0.1", 7000))
        parts.tick()
        total = 0.0
        print(f"\n{size} instances, {ENDPOINTS} endpoints")
        for work in work_of(parts, messages):
            each = microseconds(work.run)
            share = each * work.per_second / 1e6
            total += share
            print(f"  {work.name:32} {each:8.0f} us {share:8.3%} of a core")
        print(f"  {'in all':32} {'':8}    {total:8.3%}")
        for work in [*membership_work_of(parts), *request_work_of(parts)]:
            print(f"  {work.name:32} {microseconds(work.run):8.0f} us a call")


if __name__ == "__main__":
    asyncio.run(main())
