"""Rows that say what former roll-outs came to."""

from dataclasses import replace

import pytest

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.deployment import RolloutOrder
from fuchsiaroute.ids import RequestClass, VersionId
from fuchsiaroute.staging import Progress, RolloutRecord, SessionHash, session_key
from fuchsiaroute.staging._driver import MAX_TURNS
from fuchsiaroute.staging.tests.test_driver import OUTCOMES_KEY, Fleet, Instance
from fuchsiaroute.staging.tests.test_tracker import NEW, OLD, ORDER, SERVICE

ORDER_OF_NEXT = replace(ORDER, target=VersionId("v3"), revision=ORDER.revision + 1)
ALL = frozenset({OLD, NEW, VersionId("v3")})


def used(instance: Instance, present: frozenset[VersionId] = ALL) -> set[VersionId]:
    """Return the versions that some of many sessions get."""
    found: set[VersionId] = set()
    for number in range(300):
        session = SessionHash(number * 7_919)
        allowed = instance.tracker.allowed_versions(
            SERVICE, present, session=session, key=session_key(session)
        )
        found |= present if allowed is None else allowed
    return found


async def roll_back(fleet: Fleet, name: str) -> None:
    """Give an instance the evidence against the target, and wait for the record."""
    tracker = fleet.instances[name].tracker
    for _ in range(40):
        tracker.record_answer(SERVICE, OLD, RequestClass("c"), is_bad=False)
    for _ in range(10):
        tracker.record_answer(SERVICE, NEW, RequestClass("c"), is_bad=True)
    await fleet.pass_time(2_000)


@pytest.mark.parametrize("next_order", [ORDER_OF_NEXT, None])
@pytest.mark.parametrize("is_restored", [False, True])
async def test_new_instance_reads_from_the_store_which_versions_are_rejected(
    next_order: RolloutOrder | None, is_restored: bool
) -> None:
    """Guards against traffic to a rolled-back version after a restart (review/2)."""
    fleet = Fleet("a", "b")
    fleet.start("a")
    await fleet.pass_time(2_000)
    copy = dict(fleet.store.rows)
    await roll_back(fleet, "a")
    if is_restored:
        fleet.store.restore(copy)
        await fleet.pass_time(8_000)
    for instance in fleet.instances.values():
        instance.orders.clear()
        if next_order is not None:
            instance.orders[SERVICE] = next_order
    await fleet.pass_time(4_000)
    fleet.stop()
    fleet.start("b")
    await fleet.pass_time(4_000)
    assert NEW not in used(fleet.instances["b"])
    assert used(fleet.instances["b"], frozenset({NEW})) == set()
    assert NEW not in used(fleet.instances["a"])
    fleet.stop()


async def test_outcome_that_another_build_has_not_written_is_written() -> None:
    """An instance of a former build writes the record alone."""
    fleet = Fleet("a")
    rolled_back = RolloutRecord(
        service=SERVICE,
        target=NEW,
        order=ORDER.revision,
        progress=Progress.ROLLED_BACK,
        started=Milliseconds(0),
    )
    fleet.start("a")
    fleet.instances["a"].tracker.apply_record(rolled_back, source="peer")
    await fleet.pass_time(3_000)
    assert b"ROLLED_BACK" in fleet.store.row(OUTCOMES_KEY).value
    calls = fleet.store.calls
    await fleet.pass_time(5_000)
    assert fleet.store.calls == calls
    fleet.stop()


async def test_evidence_against_an_interrupted_rollout_is_written() -> None:
    """The next order comes after the evidence, and before the record of it."""
    fleet = Fleet("a")
    fleet.start("a")
    await fleet.pass_time(2_000)
    fleet.store.is_down = True
    await roll_back(fleet, "a")
    instance = fleet.instances["a"]
    instance.orders[SERVICE] = ORDER_OF_NEXT
    fleet.store.is_down = False
    await fleet.pass_time(5_000)
    fleet.stop()
    assert b"ROLLED_BACK" in fleet.store.row(OUTCOMES_KEY).value
    assert NEW not in used(instance)


@pytest.mark.parametrize("count", [2, 40])
async def test_outcomes_cause_few_calls(count: int) -> None:
    """Guards against a write of each instance for each change of a roll-out."""
    names = [f"n{number:02}" for number in range(count)]
    fleet = Fleet(*names)
    fleet.start(names[0])
    await fleet.pass_time(4_000)
    record = fleet.instances[names[0]].tracker.record(SERVICE)
    assert record is not None
    # They learn of the record, and not that the outcome was written with it.
    for name in names[1:]:
        fleet.instances[name].tracker.apply_record(record, source="peer")
    first = fleet.store.calls
    fleet.start(*names)
    await fleet.pass_time(10_000)
    assert fleet.store.calls - first <= 2 * MAX_TURNS
    fleet.stop()
