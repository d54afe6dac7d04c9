"""Second roll-outs of a version, and restored stores."""

from dataclasses import replace

import pytest
import xxhash

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.ids import VersionId
from fuchsiaroute.staging import Progress, SessionHash, session_key
from fuchsiaroute.staging.tests.test_tracker import (
    AGAIN,
    BOTH,
    CANARY_SHARE,
    DURATION,
    NEW,
    NEXT,
    OLD,
    ORDER,
    SERVICE,
    Instance,
    next_record,
    record,
)
from fuchsiaroute.store import store_position


@pytest.mark.parametrize("between", [[], [Progress.COMPLETED]])
def test_later_rollout_of_a_version_starts_at_its_beginning(
    between: list[Progress],
) -> None:
    """Guards against sessions that move at once, and an early completion (review/4)."""
    clock = ManualClock()
    instance = Instance(clock, progress=Progress.RUNNING)
    clock.tick(DURATION)
    assert instance.tracker.elapsed(record(Progress.RUNNING)) == DURATION
    instance.tracker.apply_record(record(Progress.COMPLETED), source="test")
    for progress in between:
        instance.orders[SERVICE] = replace(NEXT, target=OLD)
        instance.tracker.apply_record(
            next_record(instance.orders[SERVICE], progress, started=DURATION),
            source="test",
        )
    instance.orders[SERVICE] = AGAIN
    instance.tracker.apply_record(
        next_record(AGAIN, Progress.RUNNING, started=DURATION), source="test"
    )
    clock.tick(Milliseconds(DURATION // 2 - 1))
    assert instance.tracker.must_keep_sessions(SERVICE)
    assert not instance.tracker.may_complete(AGAIN, base_version_load=0)
    assert 0 < len(moved(instance, BOTH)) < 400 * CANARY_SHARE


def moved(instance: Instance, present: frozenset[VersionId]) -> set[int]:
    """Return those of many sessions that get the target."""
    found = set()
    for number in range(400):
        session = SessionHash(xxhash.xxh3_64_intdigest(b"%d" % number))
        allowed = instance.tracker.allowed_versions(
            SERVICE, present, session=None, key=session_key(session)
        )
        if allowed == {instance.orders[SERVICE].target}:
            found.add(number)
    return found


@pytest.mark.parametrize(("attempt", "is_same"), [(0, True), (1, False), (2, False)])
def test_each_rollout_of_a_version_moves_other_sessions_first(
    attempt: int, is_same: bool
) -> None:
    """Guards against the same callers on a bad version each time it is ordered."""
    clock = ManualClock()
    instance = Instance(clock, progress=Progress.RUNNING)
    clock.tick(Milliseconds(2_000))
    first = moved(instance, BOTH)
    instance.orders[SERVICE] = AGAIN
    again = next_record(AGAIN, Progress.RUNNING, attempt=attempt)
    instance.tracker.apply_record(again, source="test")
    assert (moved(instance, BOTH) == first) is is_same
    assert len(first & moved(instance, BOTH)) < len(first) or is_same


@pytest.mark.parametrize("step", [-1_000_000, 0, 1_000_000])
def test_elapsed_time_goes_on_over_a_restore_with_another_clock(step: int) -> None:
    """Guards against a roll-out that ends or starts again with a restore."""
    clock = ManualClock()
    instance = Instance(clock, progress=Progress.RUNNING)
    clock.tick(Milliseconds(3_000))
    assert instance.tracker.elapsed(record(Progress.RUNNING)) == 3_000
    instance.era, instance.clock_step = 1, step
    restored = replace(ORDER, revision=store_position(1, 9))
    instance.tracker.continue_order(ORDER, restored)
    instance.orders[SERVICE] = restored
    clock.tick(Milliseconds(500))
    held = instance.tracker.record(SERVICE)
    assert held is not None
    assert instance.tracker.elapsed(held) == 3_500
    # The record is written again, with the start on the store's present clock.
    again = replace(held, order=restored.revision, started=step)
    instance.tracker.apply_record(again, source="test")
    found = instance.tracker.record(SERVICE)
    assert found == again
    clock.tick(Milliseconds(500))
    assert instance.tracker.elapsed(found) == 4_000


def test_start_on_the_clock_of_a_former_era_says_nothing_to_a_new_process() -> None:
    """Guards against a completion at once, when all instances were killed."""
    clock = ManualClock()
    instance = Instance(clock, progress=Progress.RUNNING)
    instance.era, instance.clock_step = 1, 1_000_000
    assert instance.tracker.elapsed(record(Progress.RUNNING)) == 0


@pytest.mark.parametrize(
    ("version", "begun", "expected"),
    [
        # The copy holds the order of the record, or an earlier one.
        (9, False, Progress.ROLLED_BACK),
        (4, False, Progress.ROLLED_BACK),
        # Operators have ordered the version again since.
        (12, False, None),
        (4, True, None),
    ],
)
def test_record_of_a_former_era_belongs_to_the_order_of_the_copy(
    version: int, begun: bool, expected: Progress | None
) -> None:
    """Guards against a version that is never tried again after a restore."""
    instance = Instance(ManualClock(), progress=Progress.ROLLED_BACK)
    order = replace(AGAIN, revision=store_position(1, version))
    if begun:
        instance.tracker.begin_order(order)
    instance.orders[SERVICE] = order
    found = instance.tracker.record(SERVICE)
    assert (found.progress if found is not None else None) is expected


def test_record_from_a_former_build_does_not_replace_the_attempt() -> None:
    """Guards against instances that move different sessions."""
    instance = Instance(ManualClock(), progress=Progress.ROLLED_BACK)
    instance.orders[SERVICE] = AGAIN
    again = next_record(AGAIN, Progress.RUNNING, attempt=1)
    for item in (replace(again, attempt=0), again, replace(again, attempt=0)):
        instance.tracker.apply_record(item, source="test")
    assert instance.tracker.record(SERVICE) == again
    outcome = instance.tracker.outcomes.get(SERVICE, NEW)
    assert outcome is not None
    assert outcome.attempt == 1
