"""Versions whose roll-outs are over or were interrupted."""

import pytest
import xxhash

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.deployment import RolloutOrder
from fuchsiaroute.ids import VersionId
from fuchsiaroute.staging import Progress, SessionHash, session_key
from fuchsiaroute.staging.tests.test_tracker import (
    AGAIN,
    BOTH,
    CLASS,
    NEW,
    NEXT,
    OLD,
    ORDER,
    SERVICE,
    THIRD,
    Instance,
    next_record,
    record,
)


def used(instance: Instance, present: frozenset[VersionId]) -> set[VersionId]:
    """Return the versions that some of many sessions without a binding may use."""
    found: set[VersionId] = set()
    for number in range(400):
        session = SessionHash(xxhash.xxh3_64_intdigest(b"%d" % number))
        allowed = instance.tracker.allowed_versions(
            SERVICE, present, session=None, key=session_key(session)
        )
        found |= present if allowed is None else allowed
    return found


@pytest.mark.parametrize(
    ("order", "present", "expected"),
    [
        (NEXT, {OLD, NEW}, {OLD}),
        (NEXT, {OLD, NEW, THIRD}, {OLD, THIRD}),
        (NEXT, {NEW, THIRD}, {THIRD}),
        (NEXT, {NEW}, set()),
        (None, {OLD, NEW}, {OLD}),
        (None, {NEW}, set()),
    ],
)
@pytest.mark.parametrize("is_begun", [False, True])
def test_rolled_back_version_is_not_used_after_its_order(
    order: RolloutOrder | None,
    present: set[VersionId],
    expected: set[VersionId],
    is_begun: bool,
) -> None:
    """Guards against traffic to a version that was found to be bad (review/2)."""
    clock = ManualClock()
    instance = Instance(clock, progress=Progress.ROLLED_BACK)
    instance.orders.clear()
    if order is not None:
        instance.orders[SERVICE] = order
        if is_begun:
            instance.tracker.apply_record(
                next_record(order, Progress.RUNNING), source="test"
            )
        elif THIRD in present and OLD in present:
            expected = {OLD}
    clock.tick(Milliseconds(2_000))
    assert used(instance, frozenset(present)) == expected
    assert not instance.tracker.is_base(SERVICE, NEW)


@pytest.mark.parametrize(
    ("again", "present", "expected"),
    [
        (Progress.RUNNING, {OLD, NEW}, {OLD, NEW}),
        (Progress.RUNNING, {NEW}, {NEW}),
        (Progress.COMPLETED, {OLD, NEW}, {NEW}),
        (Progress.ROLLED_BACK, {OLD, NEW}, {OLD}),
    ],
)
def test_rolled_back_version_that_is_ordered_again_gets_another_trial(
    again: Progress, present: set[VersionId], expected: set[VersionId]
) -> None:
    clock = ManualClock()
    instance = Instance(clock, progress=Progress.ROLLED_BACK)
    instance.orders[SERVICE] = AGAIN
    instance.tracker.apply_record(next_record(AGAIN, again), source="test")
    clock.tick(Milliseconds(2_000))
    assert used(instance, frozenset(present)) == expected
    # Once the version is proven, the next roll-out starts from it.
    instance.orders[SERVICE] = NEXT
    assert instance.tracker.is_base(SERVICE, NEW) is (again is Progress.COMPLETED)


def test_delayed_messages_do_not_reject_a_version_again() -> None:
    """Guards against a service without versions to use, after a proven roll-out."""
    clock = ManualClock()
    instance = Instance(clock, progress=Progress.ROLLED_BACK)
    instance.orders[SERVICE] = AGAIN
    instance.tracker.apply_record(next_record(AGAIN, Progress.COMPLETED), source="test")
    instance.tracker.apply_record(record(Progress.ROLLED_BACK), source="delayed")
    instance.orders.clear()
    assert used(instance, frozenset({NEW})) == {NEW}


def test_failures_of_a_rejected_version_are_none_of_the_base() -> None:
    """Guards against a bad version that looks no worse than its base (review/2)."""
    instance = Instance(ManualClock(), progress=Progress.ROLLED_BACK)
    instance.orders[SERVICE] = NEXT
    instance.tracker.apply_record(next_record(NEXT, Progress.RUNNING), source="test")
    for _ in range(90):
        instance.tracker.record_answer(SERVICE, OLD, CLASS, is_bad=False)
        instance.tracker.record_answer(SERVICE, NEW, CLASS, is_bad=True)
    for number in range(15):
        instance.tracker.record_answer(SERVICE, THIRD, CLASS, is_bad=number < 8)
    assert instance.tracker.is_suspended(SERVICE, NEXT.revision)


@pytest.mark.parametrize("next_order", [NEXT, None])
def test_interrupted_rollout_leaves_its_version_to_its_sessions(
    next_order: RolloutOrder | None,
) -> None:
    """Guards against all traffic on a version that nobody has proven."""
    clock = ManualClock()
    instance = Instance(clock, progress=Progress.RUNNING)
    clock.tick(Milliseconds(2_000))
    before = {str(number): instance.version(str(number)) for number in range(400)}
    instance.orders.clear()
    if next_order is not None:
        instance.orders[SERVICE] = next_order
    for name, version in before.items():
        assert instance.version(name) == version
    assert {instance.version(f"later {n}") for n in range(200)} == {OLD}
    assert used(instance, frozenset({NEW})) == {NEW}
    # Its sessions still give evidence.
    for _ in range(90):
        instance.tracker.record_answer(SERVICE, OLD, CLASS, is_bad=False)
    for number in range(15):
        instance.tracker.record_answer(SERVICE, NEW, CLASS, is_bad=number < 8)
    assert used(instance, BOTH) == {OLD}
    assert used(instance, frozenset({NEW})) == set()


def test_completed_rollout_is_used_by_an_instance_with_evidence_against_it() -> None:
    """
    Guards against 503 for all callers of one instance.

    Another instance has written the completion first; the old endpoints stop then.
    """
    instance = Instance(ManualClock(), progress=Progress.RUNNING)
    for _ in range(90):
        instance.tracker.record_answer(SERVICE, OLD, CLASS, is_bad=False)
    for number in range(15):
        instance.tracker.record_answer(SERVICE, NEW, CLASS, is_bad=number < 8)
    assert instance.tracker.is_suspended(SERVICE, ORDER.revision)
    instance.tracker.apply_record(record(Progress.COMPLETED), source="test")
    assert used(instance, frozenset({NEW})) == {NEW}
