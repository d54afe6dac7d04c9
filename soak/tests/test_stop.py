"""SIGTERM to a process whose callers use open connections until it is gone."""

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path
from random import Random

import pytest

from fuchsiaroute.clock import BootClock
from fuchsiaroute.platform.tests.node_harness import Caller
from fuchsiaroute.platform.tests.recording_endpoint import body_of
from fuchsiaroute.platform.tests.soak_platform import (
    KEY,
    SHORT_KINDS,
    RouteKind,
    path,
)
from soak._fleet import Fleet
from soak._networks import claim_network

_SIGNAL_AT_S = 0.5
#: Longer than the grace, so that the last requests find the process gone.
_TRAFFIC_S = 9.0
_INTERVAL_S = 0.1
#: Makes streams of 20 events last 2.4 s.
_SLOWNESS, _EVENTS = 4.0, 20


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[Fleet]:
    claim, network = claim_network()
    found = Fleet(
        count=2, network=network, folder=tmp_path, clock=BootClock(), random=Random(5)
    )
    try:
        await found.start()
        for endpoint in found.all_endpoints:
            endpoint.behaviour.slowness = _SLOWNESS
            endpoint._slots = 200
        yield found
    finally:
        await found.close()
        claim.close()


async def send_at(caller: Caller, at_s: float, kind: RouteKind, request_id: str) -> str:
    """Return how a request ended that was sent on an open connection."""
    await asyncio.sleep(at_s)
    clock = BootClock()
    sent_at = clock.now()
    events = _EVENTS if kind.is_stream else 0
    try:
        await caller.send(
            path(kind, request_id, events),
            key=KEY,
            request_id=request_id,
            deadline=8_000,
            body=body_of(request_id),
        )
        reply = await caller.receive()
    except (OSError, EOFError):
        # The connection was closed before a response began.
        return "closed"
    finally:
        caller.close()
    if reply.is_whole:
        return "whole"
    is_overdue = clock.now() - sent_at >= kind.timeout
    return "overdue" if is_overdue else "cut"


# Streams that a stopping process had sent to an endpoint were cut by its exit, since it
# admitted every request until then.
async def test_no_answer_is_cut_by_the_exit_of_a_process(fleet: Fleet) -> None:
    node = fleet.nodes[0]
    sends = {}
    for number in range(round(_TRAFFIC_S / _INTERVAL_S)):
        for kind in SHORT_KINDS:
            request_id = f"{kind.value}{number}"
            caller = Caller(node.callers.port)
            await caller.connect()
            sends[request_id] = asyncio.create_task(
                send_at(caller, number * _INTERVAL_S, kind, request_id)
            )
    await asyncio.sleep(_SIGNAL_AT_S)
    node.instance.signal(signal.SIGTERM)
    endings = dict(zip(sends, await asyncio.gather(*sends.values()), strict=True))
    ran = {
        run.request_id
        for endpoint in fleet.all_endpoints
        for run in endpoint.runs
        if not run.is_rejected
    }
    lost = {
        request_id: ending
        for request_id, ending in endings.items()
        if ending == "cut" or (ending == "closed" and request_id in ran)
    }
    assert not lost
    assert "closed" in endings.values(), "the process outlived all requests"
