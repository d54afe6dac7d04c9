"""A store that comes back from a copy some seconds old."""

import asyncio

import pytest
from returns.result import Failure, Success

from fuchsiaroute.clock import SystemClock
from fuchsiaroute.platform import Address, HistoryGone, PlatformStore, Table
from fuchsiaroute.platform.tests.node_harness import CONFIGURATION, NodeHarness
from fuchsiaroute.platform.tests.standin import Endpoint, Store
from fuchsiaroute.staging import Progress
from fuchsiaroute.store import (
    Check,
    Committed,
    Conflict,
    Put,
    Transaction,
    era_of,
    store_position,
)

NEW_KEY = {
    **CONFIGURATION,
    "Version": 5,
    "Tenants": [{"Name": "n", "ApiKeys": ["new"]}],
}
ORDER = {"Service": "app", "To": "v2", "DurationS": 1}


async def until_restored(harness: NodeHarness, *, times: int = 1) -> None:
    parts = harness.node._parts
    era = 1 + times
    await harness.until(
        lambda: (
            era_of(parts.orders_feed.revision or 0) == era
            and era_of(parts.endpoints_feed.revision or 0) == era
        )
    )


async def until_logged(harness: NodeHarness, text: bytes) -> None:
    await harness.until(lambda: text in b"".join(harness.lines))


async def test_declaration_of_the_copy_does_not_replace_a_newer_one() -> None:
    async with NodeHarness(Endpoint()) as harness:
        copy = harness.store.copy()
        harness.store.put("op", "config", NEW_KEY)
        await harness.until(lambda: harness.node._parts.catalog.deployment.version == 5)
        harness.store.restore(copy)
        await until_restored(harness)
        assert (await harness.caller().ask("/read/", key="new")).status == 200
        # The operator writes a later declaration at a version given out before.
        harness.store.put("op", "config", {**CONFIGURATION, "Version": 6})
        await harness.until(lambda: harness.node._parts.catalog.deployment.version == 6)
        assert (await harness.caller().ask("/read/", key="key")).status == 200


async def test_evacuation_that_the_copy_lacks_holds_until_it_is_written_again() -> None:
    one, other = Endpoint(), Endpoint(Zone="z2")
    async with NodeHarness(one, other) as harness:
        copy = harness.store.copy()
        harness.store.put("op", "evacuate/z1", {})
        await until_logged(harness, b"evacuation:began")
        harness.store.restore(copy)
        await until_restored(harness)
        for number in range(4):
            await harness.caller().ask("/read/", request_id=f"q{number}")
        assert (len(one.requests), len(other.requests)) == (0, 4)
        harness.store.put("op", "evacuate/z1", {})
        await asyncio.sleep(0.4)
        assert len(harness.node._parts.catalog._unconfirmed) == 0
        harness.store.put("op", "evacuate/z1", None)
        await until_logged(harness, b"evacuation:ended")


@pytest.mark.parametrize("copies", [1, 2])
async def test_completed_rollout_stays_completed(copies: int) -> None:
    """The copy holds the running roll-out; restores may follow each other."""
    old, new = Endpoint(), Endpoint(Version="v2")
    async with NodeHarness(old, new) as harness:
        harness.store.put("op", "rollout/app", ORDER)
        await harness.until(
            lambda: (
                (harness.store.value("rollouts", "app") or {}).get("progress")
                == "RUNNING"
            )
        )
        copy = harness.store.copy()
        await harness.until(
            lambda: harness.store.value("status", "rollout/app")["State"] == "completed"
        )
        for number in range(copies):
            harness.store.restore(copy)
            await until_restored(harness, times=1 + number)
            assert harness.store.value("rollouts", "app") is not None
        for number in range(4):
            await harness.caller().ask("/read/", request_id=f"q{number}")
        assert (len(old.requests), len(new.requests)) == (0, 4)
        await harness.until(
            lambda: harness.store.value("status", "rollout/app")["State"] == "completed"
        )
        # A write that crosses the second restore states the order's former position,
        # and is followed by one with the present position.
        await harness.until(
            lambda: (
                era_of(harness.store.value("rollouts", "app")["order"]) == 1 + copies
            )
        )
        assert harness.store.value("rollouts", "app")["progress"] == "COMPLETED"


async def test_new_process_takes_over_the_record_of_a_former_era() -> None:
    """Guards against a roll-out that starts again when all instances were killed."""
    old, new = Endpoint(), Endpoint(Version="v2")
    harness = NodeHarness(old, new)
    harness.store.put("op", "rollout/app", ORDER)
    former = {
        "target": "v2",
        "order": store_position(1, 3),
        "progress": "ROLLED_BACK",
        "started": 5,
    }
    harness.store.put("rollouts", "app", former)
    harness.store.restore(harness.store.copy())
    async with harness:
        await harness.until(
            lambda: era_of(harness.store.value("rollouts", "app")["order"]) == 2
        )
        assert harness.store.value("rollouts", "app")["progress"] == "ROLLED_BACK"
        for number in range(4):
            await harness.caller().ask("/read/", request_id=f"q{number}")
        assert (len(old.requests), len(new.requests)) == (4, 0)


async def test_endpoint_that_is_leaving_is_not_used_again() -> None:
    one, other = Endpoint(), Endpoint()
    async with NodeHarness(one, other) as harness:
        copy = harness.store.copy()
        harness.store.put("servers", one.id, one.announcement(State="draining"))
        await until_logged(harness, b'"is_draining":true')
        harness.store.restore(copy)
        await until_restored(harness)
        for number in range(6):
            await harness.caller().ask("/read/", request_id=f"q{number}")
    assert (len(one.requests), len(other.requests)) == (0, 6)


async def test_endpoint_that_was_removed_is_held_back() -> None:
    one, other = Endpoint(), Endpoint()
    async with NodeHarness(one, other) as harness:
        copy = harness.store.copy()
        harness.store.put("servers", one.id, None)
        await until_logged(harness, b'"endpoint:removed"')
        harness.store.restore(copy)
        await until_restored(harness)
        for number in range(6):
            await harness.caller().ask("/read/", request_id=f"q{number}")
        assert (len(one.requests), len(other.requests)) == (0, 6)
        # It is still announced after the time in which it is removed again.
        await harness.until(lambda: len(harness.node._parts.pool) == 2)


@pytest.mark.parametrize("is_written_again", [True, False])
async def test_endpoint_announced_after_the_copy(is_written_again: bool) -> None:
    one, other = Endpoint(), Endpoint()
    async with NodeHarness(one) as harness:
        await other.listen()
        copy = harness.store.copy()
        harness.store.put("servers", other.id, other.announcement())
        await harness.until(lambda: len(harness.node._parts.pool) == 2)
        harness.store.restore(copy)
        await until_restored(harness)
        if is_written_again:
            harness.store.put("servers", other.id, other.announcement())
        await asyncio.sleep(0.5)
        assert len(harness.node._parts.pool) == 2
        await asyncio.sleep(2.5)
        assert len(harness.node._parts.pool) == 1 + is_written_again
    other.close()


async def test_lost_row_of_an_instance_is_written_again() -> None:
    async with NodeHarness(Endpoint()) as harness:
        await until_logged(harness, b"instance:registered")
        copy = harness.store.copy()
        rows, counter = copy
        harness.store.restore(
            ({key: row for key, row in rows.items() if key[0] != "instances"}, counter)
        )
        await harness.until(lambda: harness.store.value("instances", "me") is not None)


async def test_store_that_goes_back_without_stating_an_era_is_read_again() -> None:
    async with NodeHarness(Endpoint()) as harness:
        harness.store.era = None
        copy = harness.store.copy()
        for number in range(5):
            harness.store.put("op", f"unknown{number}", {})
        await until_logged(harness, b"unknown4")
        harness.store.restore(copy)
        await until_logged(harness, b"feed:history-gone")
        harness.store.put("op", "config", NEW_KEY)
        await harness.until(lambda: harness.node._parts.catalog.deployment.version == 5)


class TestClient:
    """Calls of the adapter around a restore."""

    async def test_position_of_a_former_era_is_not_available(self) -> None:
        store, client = await _listening()
        store.put("op", "a", {})
        read = (await client.read_table(Table.ORDERS)).unwrap()
        assert read.revision == store_position(1, 1)
        store.restore(store.copy())
        answer = await _retried(client, read.revision)
        assert isinstance(answer, HistoryGone)
        assert client.era == 2
        store.close()

    async def test_position_that_the_store_does_not_have_is_not_available(self) -> None:
        store, client = await _listening()
        store.era = None
        answer = await _retried(client, store_position(0, 99))
        assert isinstance(answer, HistoryGone)
        store.close()

    async def test_condition_of_a_former_era_cannot_win(self) -> None:
        """The version of the condition is given out again to another write."""
        store, client = await _listening()
        copy = store.copy()
        first = await client.commit(_write("mine", 0))
        assert isinstance(first, Success)
        known = first.unwrap()
        assert isinstance(known, Committed)
        store.restore(copy)
        store.put("rollouts", "s", "another")
        await client.read_table(Table.ROLLOUTS)
        await client.read_table(Table.ROLLOUTS)
        answer = await client.commit(_write("late", known.version))
        assert isinstance(answer, Success)
        conflict = answer.unwrap()
        assert isinstance(conflict, Conflict)
        assert conflict.records[0].version == store_position(2, 1)
        again = await client.commit(_write("late", conflict.records[0].version))
        assert isinstance(again.unwrap(), Committed)
        store.close()

    async def test_response_of_a_former_era_is_dropped(self) -> None:
        store, client = await _listening()
        store.era = 4
        await client.read_table(Table.ORDERS)
        store.era = 3
        answer = await client.read_table(Table.ORDERS)
        assert isinstance(answer, Failure)
        assert "before era 4" in answer.failure().message
        store.close()

    @pytest.mark.parametrize("value", [b"x", b"-1", b"", b"99999999999"])
    async def test_malformed_era_fails_the_call(self, value: bytes) -> None:
        store, client = await _listening()
        original = store.handle

        async def handle(request, responder):  # type: ignore[no-untyped-def]
            send = responder.send
            responder.send = lambda status, headers, body: send(
                status, [(b"Store-Era", value)], body
            )
            await original(request, responder)

        store.handle = handle  # type: ignore[method-assign]
        answer = await client.read_table(Table.ORDERS)
        assert isinstance(answer, Failure)
        assert "malformed era" in answer.failure().message
        store.close()

    async def test_version_out_of_range_fails_the_call(self) -> None:
        store, client = await _listening()
        store.counter = 1 << 60
        answer = await client.read_table(Table.ORDERS)
        assert isinstance(answer, Failure)
        assert "out of range" in answer.failure().message
        store.close()


async def _listening() -> tuple[Store, PlatformStore]:
    store = Store()
    await store.listen()
    address = Address(host="127.0.0.1", port=store.port)
    return store, PlatformStore(address, clock=SystemClock())


async def _retried(client: PlatformStore, after):  # type: ignore[no-untyped-def]
    """Repeat a watch whose kept connection the restore has closed."""
    for _ in range(3):
        answer = await client.watch(Table.ORDERS, after=after, wait=0)  # type: ignore[arg-type]
        if isinstance(answer, Success):
            return answer.unwrap()
    raise AssertionError(answer)


def _write(value: str, version: int) -> Transaction:
    key = "rollouts/s"
    return Transaction(
        checks=(Check(key=key, version=version),),
        puts=(Put(key=key, value=f'"{value}"'.encode()),),
    )


@pytest.mark.parametrize("is_removed_before", [True, False])
async def test_version_that_is_ordered_again_after_a_restore_is_tried_again(
    is_removed_before: bool,
) -> None:
    """
    Guards against a roll-out that is rolled back at once, as the former one was.

    The copy lacks the former order, or its removal.
    """
    old, new = Endpoint(), Endpoint(Version="v2")
    async with NodeHarness(old, new) as harness:
        parts = harness.node._parts
        harness.store.put("op", "rollout/app", {**ORDER, "DurationS": 60})
        await harness.until(lambda: parts.tracker.record("app") is not None)
        parts.tracker.suspend(parts.catalog.rollout_orders["app"], source="test")
        await harness.until(
            lambda: harness.store.value("rollouts", "app")["progress"] == "ROLLED_BACK"
        )
        copy = harness.store.copy()
        if is_removed_before:
            harness.store.put("op", "rollout/app", None)
            await harness.until(lambda: not parts.catalog.rollout_orders)
        harness.store.restore(copy)
        await until_restored(harness)
        await harness.until(
            lambda: era_of(harness.store.value("rollouts", "app")["order"]) == 2
        )
        assert harness.store.value("rollouts", "app")["progress"] == "ROLLED_BACK"
        harness.store.put("op", "rollout/app", None)
        await harness.until(lambda: not parts.catalog.rollout_orders)
        harness.store.put("op", "rollout/app", {**ORDER, "DurationS": 60})
        await harness.until(
            lambda: harness.store.value("rollouts", "app")["progress"] == "RUNNING"
        )
        # The store applies the write before its answer arrives.
        await harness.until(lambda: parts.tracker.record("app") is not None)
        assert parts.tracker.record("app").progress is Progress.RUNNING
        assert parts.tracker.record("app").attempt == 1
