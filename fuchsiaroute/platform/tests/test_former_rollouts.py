"""Versions that former roll-outs have left, at running instances."""

import asyncio

import pytest

from fuchsiaroute.platform.tests.node_harness import NodeHarness, cluster
from fuchsiaroute.platform.tests.standin import Endpoint

OUTCOMES = {"versions": {"v2": {"order": 1, "progress": "ROLLED_BACK"}}}


@pytest.mark.parametrize("target", [None, "v3"])
async def test_process_without_a_memory_does_not_use_a_rolled_back_version(
    target: str | None,
) -> None:
    """Guards against traffic to a bad version after all were killed (review/2)."""
    good, bad = Endpoint(), Endpoint(Version="v2")
    harness = NodeHarness(good, bad)
    harness.store.put("rollout-outcomes", "app", OUTCOMES)
    if target is not None:
        order = {"Service": "app", "To": target, "DurationS": 20}
        harness.store.put("op", "rollout/app", order)
    async with harness:
        for number in range(12):
            reply = await harness.caller().ask("/read/", request_id=f"q{number}")
            assert reply.status == 200
        assert (len(good.requests), len(bad.requests)) == (12, 0)


async def test_service_with_a_rolled_back_version_alone_rejects_at_once() -> None:
    bad = Endpoint(Version="v2")
    harness = NodeHarness(bad)
    harness.store.put("rollout-outcomes", "app", OUTCOMES)
    async with harness:
        async with asyncio.timeout(1):
            reply = await harness.caller().ask("/write/")
        assert reply.status == 503
        assert not bad.requests


async def test_peers_learn_which_version_was_rolled_back() -> None:
    """The instance that reads it from the store tells those that run."""
    good, bad = Endpoint(), Endpoint(Version="v2")
    async with cluster(2, good, bad) as harnesses:
        first, second = harnesses
        first.store.put("rollout-outcomes", "app", OUTCOMES)
        first.node._parts.driver.is_loaded = False
        await second.until(lambda: second.node._parts.tracker.outcomes.services())
        for number in range(12):
            await second.caller().ask("/read/", request_id=f"q{number}")
        assert (len(good.requests), len(bad.requests)) == (12, 0)
