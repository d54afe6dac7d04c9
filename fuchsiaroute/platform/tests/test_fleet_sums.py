"""Demand and outcomes that instances learn from one another by sums."""

import asyncio

import pytest

from fuchsiaroute.contention import Flow, FlowDemand
from fuchsiaroute.gossip import LATEST_ADDITION
from fuchsiaroute.ids import EndpointId, OrganisationId, ServiceId
from fuchsiaroute.node import _fleet_exchange
from fuchsiaroute.platform.tests.node_harness import NodeHarness, cluster
from fuchsiaroute.platform.tests.standin import Endpoint, complete, reset

INSTANCES = 4
WRITES = 16


@pytest.fixture(autouse=True)
def every_fleet_is_large(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_fleet_exchange, "FANOUT", 0)


def is_failing_at(harness: NodeHarness, endpoint: Endpoint) -> bool:
    member = harness.node._parts.pool.member(EndpointId(endpoint.id))
    return member is not None and member.is_failing


async def test_instance_without_requests_knows_an_endpoint_that_fails() -> None:
    """Guards against writes that each instance loses at an endpoint anew."""
    bad, good = Endpoint(reset), Endpoint(complete)
    async with cluster(INSTANCES, bad, good) as harnesses:
        idle = harnesses[-1]
        callers = [harnesses[n % (INSTANCES - 1)].caller() for n in range(WRITES)]
        await asyncio.gather(
            *(
                caller.ask(f"/write/{number}", request_id=f"w{number}")
                for number, caller in enumerate(callers)
            )
        )
        await idle.until(lambda: is_failing_at(idle, bad))
        assert not is_failing_at(idle, good)
        seen = len(bad.requests)
        replies = [
            await idle.caller().ask(f"/write/x{number}", request_id=f"x{number}")
            for number in range(WRITES)
        ]
        assert {reply.status for reply in replies} == {200}
        assert len(bad.requests) == seen


async def test_waiting_requests_are_known_at_all_instances() -> None:
    """Guards against an order that ends at one instance."""
    async with cluster(INSTANCES, Endpoint(complete)) as harnesses:
        flow = Flow(ServiceId("app"), 0, OrganisationId("org"))
        waiting = harnesses[0].node._parts.queue
        summary = [FlowDemand(flow, running=2, waiting=3)]
        waiting.summary = lambda: summary  # type: ignore[method-assign]
        for harness in harnesses[1:]:
            fleet = harness.node._parts.fleet
            await harness.until(lambda fleet=fleet: fleet.waiting == 3)
            assert fleet.service(ServiceId("app")).running == {"org": 2}
        summary.clear()
        for harness in harnesses[1:]:
            fleet = harness.node._parts.fleet
            await harness.until(lambda fleet=fleet: fleet.waiting == 0)


async def test_instances_with_nothing_to_tell_send_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against traffic that grows with the fleet in calm."""
    async with cluster(INSTANCES, Endpoint(complete)) as harnesses:
        sent = []
        for harness in harnesses:
            gossip = harness.node._parts.gossip
            monkeypatch.setattr(gossip, "send_to_each", lambda *args: sent.append(args))
        for harness in harnesses:
            assert (await harness.caller().ask("/read/x")).status == 200
        await asyncio.sleep(1.0)
        assert sent == []


async def test_former_build_in_the_fleet_leaves_the_gossip_alone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against messages that an instance of a former build cannot read."""
    bad = Endpoint(reset)
    async with cluster(INSTANCES, bad, Endpoint(complete)) as harnesses:
        monkeypatch.setattr(_fleet_exchange, "AGGREGATION", LATEST_ADDITION + 1)
        for number in range(WRITES):
            caller = harnesses[number % INSTANCES].caller()
            await caller.ask(f"/write/{number}", request_id=f"w{number}")
        await asyncio.sleep(0.5)
        assert not any(harness.node._parts.sums.is_used for harness in harnesses)
        logs = b"".join(b"".join(harness.lines) for harness in harnesses)
        assert b"news:unreadable" not in logs
