"""State of an instance: declarations, orders, endpoints, store outages, clocks."""

import asyncio
from pathlib import Path

import pytest

from fuchsiaroute.clock import BootClock, Milliseconds, SystemClock
from fuchsiaroute.platform.tests.node_harness import CONFIGURATION, NodeHarness
from fuchsiaroute.platform.tests.standin import (
    Endpoint,
)


async def test_instance_without_a_declaration_answers_503() -> None:
    async with NodeHarness(configuration=None) as harness:
        reply = await harness.caller().ask("/read/", key="unknown")
        ready = await harness.ask_control("/api/ready")
        listed = await harness.ask_control("/api/resolve?Name=x&Region=r&Zone=z1")
    assert reply.status == 503
    assert float(reply.headers[b"retry-after"]) > 0
    assert (ready.status, listed.status) == (503, 503)


async def test_draining_endpoint_receives_no_new_requests() -> None:
    one, other = Endpoint(), Endpoint()
    async with NodeHarness(one, other) as harness:
        harness.store.put("servers", one.id, one.announcement(State="draining"))
        await harness.until(lambda: b'"is_draining":true' in b"".join(harness.lines))
        for number in range(6):
            await harness.caller().ask("/read/", request_id=f"q{number}")
    assert (len(one.requests), len(other.requests)) == (0, 6)


async def test_evacuated_domain_receives_no_new_requests() -> None:
    one, other = Endpoint(), Endpoint(Zone="z2")
    async with NodeHarness(one, other) as harness:
        harness.store.put("op", "evacuate/z1", {})
        await harness.until(lambda: b"evacuation:began" in b"".join(harness.lines))
        for number in range(4):
            await harness.caller().ask("/read/", request_id=f"q{number}")
        assert (len(one.requests), len(other.requests)) == (0, 4)
        harness.store.put("op", "evacuate/z1", None)
        await harness.until(lambda: b"evacuation:ended" in b"".join(harness.lines))


async def test_newer_declaration_is_applied_and_an_older_one_ignored() -> None:
    async with NodeHarness(Endpoint()) as harness:
        newer = {
            **CONFIGURATION,
            "Version": 5,
            "Tenants": [{"Name": "n", "ApiKeys": ["new"]}],
        }
        harness.store.put("op", "config", newer)
        await harness.until(lambda: harness.node._parts.catalog.deployment.version == 5)
        assert (await harness.caller().ask("/read/", key="key")).status == 401
        assert (await harness.caller().ask("/read/", key="new")).status == 200
        harness.store.put("op", "config", {**CONFIGURATION, "Version": 4})
        await asyncio.sleep(0.3)
        assert (await harness.caller().ask("/read/", key="new")).status == 200


@pytest.mark.parametrize(
    "fault",
    [
        "is_down",
        # The network is cut in one direction: calls arrive, responses do not.
        "is_silent",
    ],
)
async def test_unknown_keys_and_paths_get_503_during_a_store_outage(
    fault: str,
) -> None:
    async with NodeHarness(Endpoint()) as harness:
        setattr(harness.store, fault, True)
        if fault == "is_silent":
            # Completes the watch that is open since before the cut.
            harness.store.put("op", "unknown", {})
        await harness.until(
            lambda: harness.node._parts.orders_feed.unreachable_for() > 0
        )
        assert (await harness.caller().ask("/read/")).status == 200
        assert (await harness.caller().ask("/read/", key="new")).status == 503
        assert (await harness.caller().ask("/nowhere/")).status == 503
        setattr(harness.store, fault, False)
        await harness.until(
            lambda: harness.node._parts.orders_feed.unreachable_for() == 0
        )
        assert (await harness.caller().ask("/nowhere/")).status == 404


class SteppingClock(BootClock):
    """A clock whose wall time is off by ``step``."""

    step = Milliseconds(0)

    def wall(self) -> Milliseconds:
        return Milliseconds(super().wall() + self.step)


@pytest.mark.parametrize("step", [-86_400_000, -5_000, 5_000, 86_400_000])
async def test_step_of_the_wall_clock_has_no_effect(step: int) -> None:
    clock = SteppingClock()
    endpoint = Endpoint(born=SystemClock().wall())
    async with NodeHarness(endpoint, clock=clock) as harness:
        before = len(harness.lines)
        clock.step = Milliseconds(step)
        assert (await harness.caller().ask("/read/")).status == 200
        assert (await harness.ask_control("/api/ready")).status == 200
        # A new incarnation and an evacuation are handled as usual.
        born = SystemClock().wall()
        harness.store.put("servers", endpoint.id, endpoint.announcement(born=born + 1))
        harness.store.put("op", "evacuate/z1", {})
        await harness.until(lambda: b"evacuation:began" in b"".join(harness.lines))
        assert (await harness.caller().ask("/read/")).status == 503
        harness.store.put("op", "evacuate/z1", None)
        await harness.until(lambda: b"evacuation:ended" in b"".join(harness.lines))
        assert (await harness.caller().ask("/read/")).status == 200
        lines = b"".join(harness.lines[before:])
    for unexpected in (b"suspended", b"task:failed", b"outdated", b"store:lost"):
        assert unexpected not in lines


async def test_announcement_of_an_older_incarnation_is_ignored() -> None:
    endpoint = Endpoint(born=1_000)
    async with NodeHarness(endpoint) as harness:
        late = endpoint.announcement(State="draining", born=900)
        harness.store.put("servers", endpoint.id, late)
        await harness.until(lambda: b"endpoint:outdated" in b"".join(harness.lines))
        assert (await harness.caller().ask("/read/")).status == 200


@pytest.mark.parametrize(
    ("change", "outcome", "grace"),
    [("Bounds.GraceS=3\n", b'"applied"', 3_000), ("Ip=\n", b'"kept"', 8_000)],
)
async def test_settings_are_reloaded(
    tmp_path: Path, change: str, outcome: bytes, grace: int
) -> None:
    async with NodeHarness(Endpoint()) as harness:
        path = tmp_path / "node.conf"
        path.write_text(harness.settings_text + change)
        harness.node._settings_path = str(path)
        harness.node._reload()
        assert outcome in harness.lines[-1]
        assert harness.node._settings.bounds.grace == grace
        assert (await harness.caller().ask("/read/")).status == 200


@pytest.mark.parametrize(
    ("progress", "served_by"),
    [("COMPLETED", "v2"), ("ROLLED_BACK", "v1")],
)
async def test_restarted_instance_resumes_the_rollout_record_of_the_store(
    progress: str, served_by: str
) -> None:
    """All instances are killed at once after a roll-out change was acknowledged."""
    old, new = Endpoint(Version="v1"), Endpoint(Version="v2")
    async with NodeHarness(old, new, configuration=None) as harness:
        order = {"Service": "app", "To": "v2", "DurationS": 60}
        harness.store.put("op", "rollout/app", order)
        record = {
            "target": "v2",
            "order": harness.store.counter,
            "progress": progress,
            "started": 0,
        }
        harness.store.put("rollouts", "app", record)
        harness.store.put("op", "config", CONFIGURATION)
        tracker = harness.node._parts.tracker
        await harness.until(lambda: tracker.records())
        await harness.until(lambda: len(harness.node._parts.pool) == 2)
        for number in range(8):
            reply = await harness.caller().ask("/read/", request_id=f"q{number}")
            assert reply.status == 200
    ran = {"v1": len(old.requests), "v2": len(new.requests)}
    assert ran == {"v1": 0, "v2": 0} | {served_by: 8}


async def test_suspended_process_reads_the_store_again() -> None:
    """A suspended machine resumes with outdated state."""
    async with NodeHarness(Endpoint()) as harness:
        calls = len(harness.store.calls)
        harness.node._parts.resume_after_suspension(Milliseconds(5_000))
        await harness.until(lambda: len(harness.store.calls) >= calls + 2)
        lines = b"".join(harness.lines)
        assert b"process:was-suspended" in lines
        assert lines.count(b"feed:restarted") == 2
        assert (await harness.caller().ask("/read/")).status == 200


@pytest.mark.parametrize(
    ("change", "outcome"),
    [("", None), ("Bounds.GraceS=3\n", b'"applied"'), ("Ip=\n", b'"kept"')],
)
async def test_settings_changed_during_startup_are_reloaded(
    tmp_path: Path, change: str, outcome: bytes | None
) -> None:
    async with NodeHarness(Endpoint()) as harness:
        path = tmp_path / "node.conf"
        path.write_text(harness.settings_text + change)
        harness.node._settings_path = str(path)
        before = len(harness.lines)
        harness.node._reload_if_changed()
        lines = b"".join(harness.lines[before:])
    assert (b"process:reload" in lines) is (outcome is not None)
    assert outcome is None or outcome in lines
