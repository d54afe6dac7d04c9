"""What an instance believes: declarations, orders, endpoints, the store, time."""

import asyncio
from pathlib import Path

import pytest

from fuchsiaroute.clock import BootClock, Milliseconds, SystemClock
from fuchsiaroute.platform.tests.standin import (
    Endpoint,
)
from fuchsiaroute.platform.tests.world import CONFIGURATION, World


async def test_instance_without_a_declaration_denies_nothing() -> None:
    async with World(configuration=None) as world:
        reply = await world.caller().ask("/read/", key="unknown")
        ready = await world.ask_control("/api/ready")
        listed = await world.ask_control("/api/resolve?Name=x&Region=r&Zone=z1")
    assert reply.status == 503
    assert float(reply.headers[b"retry-after"]) > 0
    assert (ready.status, listed.status) == (503, 503)


async def test_leaving_endpoint_gets_no_new_requests() -> None:
    one, other = Endpoint(), Endpoint()
    async with World(one, other) as world:
        world.store.put("servers", one.id, one.announcement(State="draining"))
        await world.until(lambda: b'"is_draining":true' in b"".join(world.lines))
        for number in range(6):
            await world.caller().ask("/read/", request_id=f"q{number}")
    assert (len(one.requests), len(other.requests)) == (0, 6)


async def test_evacuated_domain_gets_no_new_requests_until_it_returns() -> None:
    one, other = Endpoint(), Endpoint(Zone="z2")
    async with World(one, other) as world:
        world.store.put("op", "evacuate/z1", {})
        await world.until(lambda: b"evacuation:began" in b"".join(world.lines))
        for number in range(4):
            await world.caller().ask("/read/", request_id=f"q{number}")
        assert (len(one.requests), len(other.requests)) == (0, 4)
        world.store.put("op", "evacuate/z1", None)
        await world.until(lambda: b"evacuation:ended" in b"".join(world.lines))


async def test_new_declaration_is_in_force_and_an_older_one_is_not() -> None:
    async with World(Endpoint()) as world:
        newer = {
            **CONFIGURATION,
            "Version": 5,
            "Tenants": [{"Name": "n", "ApiKeys": ["new"]}],
        }
        world.store.put("op", "config", newer)
        await world.until(lambda: world.node._parts.catalog.deployment.version == 5)
        assert (await world.caller().ask("/read/", key="key")).status == 401
        assert (await world.caller().ask("/read/", key="new")).status == 200
        world.store.put("op", "config", {**CONFIGURATION, "Version": 4})
        await asyncio.sleep(0.3)
        assert (await world.caller().ask("/read/", key="new")).status == 200


@pytest.mark.parametrize(
    "how",
    [
        "is_down",
        # A cut in one direction: calls arrive, answers do not.
        "is_silent",
    ],
)
async def test_instance_that_lost_the_store_serves_on_and_denies_nothing(
    how: str,
) -> None:
    async with World(Endpoint()) as world:
        setattr(world.store, how, True)
        if how == "is_silent":
            # Ends the watch that was answered before the cut.
            world.store.put("op", "unknown", {})
        await world.until(lambda: world.node._parts.orders_feed.unreachable_for() > 0)
        assert (await world.caller().ask("/read/")).status == 200
        assert (await world.caller().ask("/read/", key="new")).status == 503
        assert (await world.caller().ask("/nowhere/")).status == 503
        setattr(world.store, how, False)
        await world.until(lambda: world.node._parts.orders_feed.unreachable_for() == 0)
        assert (await world.caller().ask("/nowhere/")).status == 404


class SteppingClock(BootClock):
    """A clock whose time of day differs from the true one by ``step``."""

    step = Milliseconds(0)

    def wall(self) -> Milliseconds:
        return Milliseconds(super().wall() + self.step)


@pytest.mark.parametrize("step", [-86_400_000, -5_000, 5_000, 86_400_000])
async def test_step_of_the_time_of_day_decides_nothing(step: int) -> None:
    clock = SteppingClock()
    endpoint = Endpoint(born=SystemClock().wall())
    async with World(endpoint, clock=clock) as world:
        before = len(world.lines)
        clock.step = Milliseconds(step)
        assert (await world.caller().ask("/read/")).status == 200
        assert (await world.ask_control("/api/ready")).status == 200
        # A new incarnation and a removal are judged as ever.
        born = SystemClock().wall()
        world.store.put("servers", endpoint.id, endpoint.announcement(born=born + 1))
        world.store.put("op", "evacuate/z1", {})
        await world.until(lambda: b"evacuation:began" in b"".join(world.lines))
        assert (await world.caller().ask("/read/")).status == 503
        world.store.put("op", "evacuate/z1", None)
        await world.until(lambda: b"evacuation:ended" in b"".join(world.lines))
        assert (await world.caller().ask("/read/")).status == 200
        lines = b"".join(world.lines[before:])
    for unexpected in (b"suspended", b"task:failed", b"outdated", b"store:lost"):
        assert unexpected not in lines


async def test_older_incarnation_of_an_endpoint_changes_nothing() -> None:
    endpoint = Endpoint(born=1_000)
    async with World(endpoint) as world:
        late = endpoint.announcement(State="draining", born=900)
        world.store.put("servers", endpoint.id, late)
        await world.until(lambda: b"endpoint:outdated" in b"".join(world.lines))
        assert (await world.caller().ask("/read/")).status == 200


@pytest.mark.parametrize(
    ("change", "outcome", "grace"),
    [("Bounds.GraceS=3\n", b'"applied"', 3_000), ("Ip=\n", b'"kept"', 8_000)],
)
async def test_changed_settings_are_read_again(
    tmp_path: Path, change: str, outcome: bytes, grace: int
) -> None:
    async with World(Endpoint()) as world:
        path = tmp_path / "node.conf"
        path.write_text(world.settings_text + change)
        world.node._settings_path = str(path)
        world.node._reload()
        assert outcome in world.lines[-1]
        assert world.node._settings.bounds.grace == grace
        assert (await world.caller().ask("/read/")).status == 200


@pytest.mark.parametrize(
    ("progress", "served_by"),
    [("COMPLETED", "v2"), ("ROLLED_BACK", "v1")],
)
async def test_restarted_instance_goes_on_with_what_the_store_holds(
    progress: str, served_by: str
) -> None:
    """Pattern: all instances are killed at once after a change was acknowledged."""
    old, new = Endpoint(Version="v1"), Endpoint(Version="v2")
    async with World(old, new, configuration=None) as world:
        order = {"Service": "app", "To": "v2", "DurationS": 60}
        world.store.put("op", "rollout/app", order)
        record = {
            "target": "v2",
            "order": world.store.counter,
            "progress": progress,
            "started": 0,
        }
        world.store.put("rollouts", "app", record)
        world.store.put("op", "config", CONFIGURATION)
        tracker = world.node._parts.tracker
        await world.until(lambda: tracker.records())
        await world.until(lambda: len(world.node._parts.pool) == 2)
        for number in range(8):
            reply = await world.caller().ask("/read/", request_id=f"q{number}")
            assert reply.status == 200
    ran = {"v1": len(old.requests), "v2": len(new.requests)}
    assert ran == {"v1": 0, "v2": 0} | {served_by: 8}


async def test_process_that_was_suspended_asks_the_store_anew() -> None:
    """Pattern: a machine stands still and wakes up with what it believed before."""
    async with World(Endpoint()) as world:
        calls = len(world.store.calls)
        world.node._parts.resume_after_pause(Milliseconds(5_000))
        await world.until(lambda: len(world.store.calls) >= calls + 2)
        lines = b"".join(world.lines)
        assert b"process:was-suspended" in lines
        assert lines.count(b"feed:restarted") == 2
        assert (await world.caller().ask("/read/")).status == 200


@pytest.mark.parametrize(
    ("change", "outcome"),
    [("", None), ("Bounds.GraceS=3\n", b'"applied"'), ("Ip=\n", b'"kept"')],
)
async def test_change_while_the_process_started_is_not_missed(
    tmp_path: Path, change: str, outcome: bytes | None
) -> None:
    async with World(Endpoint()) as world:
        path = tmp_path / "node.conf"
        path.write_text(world.settings_text + change)
        world.node._settings_path = str(path)
        before = len(world.lines)
        world.node._reload_if_changed()
        lines = b"".join(world.lines[before:])
    assert (b"process:reload" in lines) is (outcome is not None)
    assert outcome is None or outcome in lines
