"""Versions of requests during a roll-out, over several instances."""

from dataclasses import replace

import pytest
import xxhash

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.deployment import RolloutOrder
from fuchsiaroute.ids import InstanceId, RequestClass, ServiceId, VersionId
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.staging import (
    Progress,
    RolloutRecord,
    RolloutTracker,
    SessionHash,
    session_key,
)
from fuchsiaroute.staging._schedule import share_of_sessions
from fuchsiaroute.store import store_position

SERVICE = ServiceId("s")
OLD, NEW = VersionId("v1"), VersionId("v2")
BOTH = frozenset({OLD, NEW})
DURATION = Milliseconds(24_000)
CLASS = RequestClass("c")
ORDER = RolloutOrder(service=SERVICE, target=NEW, duration=DURATION, revision=9)
CANARY_SHARE = 0.15


def record(progress: Progress, *, order: int = 9) -> RolloutRecord:
    return RolloutRecord(
        service=SERVICE,
        target=NEW,
        order=order,
        progress=progress,
        started=Milliseconds(0),
    )


class Instance:
    def __init__(self, clock: ManualClock, *, progress: Progress | None) -> None:
        self._start = clock.now()
        #: Difference of the store's clock after a restore, and the store's era.
        self.clock_step = 0
        self.era = 0
        self.orders = {SERVICE: ORDER}
        self.tracker = RolloutTracker(
            orders=self.orders,
            store_now=lambda: Milliseconds(clock.now() - self._start + self.clock_step),
            store_era=lambda: self.era,
            clock=clock,
            log=LineLog(clock=clock, instance="i", write=len),
            session_pause=Milliseconds(5_000),
            canary_share=CANARY_SHARE,
        )
        if progress is not None:
            self.tracker.apply_record(record(progress), source="test")

    def version(
        self, name: str, present: frozenset[VersionId] = BOTH
    ) -> VersionId | None:
        session = SessionHash(xxhash.xxh3_64_intdigest(name.encode()))
        allowed = self.tracker.allowed_versions(
            SERVICE, present, session=session, key=session_key(session)
        )
        if not allowed:
            return None
        (version,) = allowed
        self.tracker.sessions.record_served(session, version)
        return version


@pytest.mark.parametrize(
    ("progress", "present", "version"),
    [
        (None, BOTH, OLD),
        (Progress.ROLLED_BACK, BOTH, OLD),
        (Progress.ROLLED_BACK, frozenset({NEW}), None),
        (Progress.COMPLETED, BOTH, NEW),
        (Progress.RUNNING, BOTH, OLD),
        (Progress.RUNNING, frozenset({OLD}), OLD),
        (Progress.RUNNING, frozenset({NEW}), NEW),
    ],
)
def test_version_by_progress(
    progress: Progress | None, present: frozenset[VersionId], version: VersionId | None
) -> None:
    assert Instance(ManualClock(), progress=progress).version("x", present) == version


def test_sessions_never_move_back_and_move_only_in_the_second_half() -> None:
    """Sessions continue while a good version is rolled out."""
    clock = ManualClock()
    instance = Instance(clock, progress=Progress.RUNNING)
    previous: dict[str, VersionId | None] = {}
    for elapsed in range(0, DURATION, 500):
        for number in range(200):
            name = str(number)
            version = instance.version(name)
            if previous.get(name) == NEW:
                assert version == NEW
            if previous.get(name) == OLD and elapsed < DURATION / 2:
                assert version == OLD
            previous[name] = version
        clock.tick(Milliseconds(500))
    assert set(previous.values()) == {NEW}


def test_first_stage_stays_within_the_exposure_bound() -> None:
    clock = ManualClock()
    instance = Instance(clock, progress=Progress.RUNNING)
    clock.tick(Milliseconds(2_000))
    versions = [instance.version(str(number)) for number in range(4_000)]
    share = versions.count(NEW) / len(versions)
    assert 0 < share < CANARY_SHARE


def test_instances_agree_on_new_sessions_without_messages() -> None:
    clock = ManualClock()
    one = Instance(clock, progress=Progress.RUNNING)
    other = Instance(clock, progress=Progress.RUNNING)
    for elapsed in (2_000, 13_000, 16_000, 20_000):
        clock.tick(
            Milliseconds(elapsed - one.tracker.elapsed(record(Progress.RUNNING)))
        )
        for number in range(100):
            name = f"{elapsed}:{number}"
            assert one.version(name) == other.version(name)


def test_session_served_by_another_instance_keeps_its_version() -> None:
    clock = ManualClock()
    instance = Instance(clock, progress=Progress.RUNNING)
    clock.tick(Milliseconds(2_000))
    moved = next(
        str(number) for number in range(1_000) if instance.version(str(number)) == NEW
    )
    restarted = Instance(clock, progress=Progress.RUNNING)
    clock.tick(Milliseconds(2_000))
    session = SessionHash(xxhash.xxh3_64_intdigest(moved.encode()))
    restarted.tracker.sessions.record_served(session, OLD, age=Milliseconds(400))
    assert restarted.version(moved) == OLD


def test_share_never_decreases() -> None:
    shares = [
        share_of_sessions(Milliseconds(elapsed), DURATION, canary_share=0.15)
        for elapsed in range(0, DURATION, 100)
    ]
    assert shares == sorted(shares)
    assert shares[-1] == 1.0


@pytest.mark.parametrize(
    ("bad_target", "bad_base", "is_suspended"),
    [(0, 0, False), (8, 0, True), (2, 0, False), (3, 30, False)],
)
def test_bad_version_is_suspended_at_once(
    bad_target: int, bad_base: int, is_suspended: bool
) -> None:
    instance = Instance(ManualClock(), progress=Progress.RUNNING)
    for number in range(90):
        instance.tracker.record_answer(SERVICE, OLD, CLASS, is_bad=number < bad_base)
    for number in range(15):
        instance.tracker.record_answer(SERVICE, NEW, CLASS, is_bad=number < bad_target)
    assert instance.tracker.is_suspended(SERVICE, 9) is is_suspended
    if is_suspended:
        assert {instance.version(str(number)) for number in range(500)} == {OLD}


def test_evidence_of_several_instances_adds_up() -> None:
    instance = Instance(ManualClock(), progress=Progress.RUNNING)
    counts = instance.tracker.counts(ORDER)
    other = Instance(ManualClock(), progress=Progress.RUNNING)
    for number in range(60):
        other.tracker.record_answer(SERVICE, OLD, CLASS, is_bad=False)
        if number < 4:
            other.tracker.record_answer(SERVICE, NEW, CLASS, is_bad=number < 2)
    evidence = other.tracker.counts(ORDER).own()[CLASS]
    for name in ("a", "b", "c"):
        counts.merge(InstanceId(name), CLASS, evidence)
    assert not other.tracker.is_suspended(SERVICE, 9)
    instance.tracker.evaluate(ORDER)
    assert instance.tracker.is_suspended(SERVICE, 9)


def test_older_records_are_ignored() -> None:
    instance = Instance(ManualClock(), progress=Progress.COMPLETED)
    instance.tracker.apply_record(record(Progress.RUNNING), source="delayed message")
    instance.tracker.apply_record(
        record(Progress.ROLLED_BACK, order=8), source="old order"
    )
    found = instance.tracker.record(SERVICE)
    assert found is not None
    assert found.progress is Progress.COMPLETED


@pytest.mark.parametrize(
    ("progress", "version", "is_base"),
    [
        (None, OLD, True),
        (None, NEW, False),
        (Progress.RUNNING, OLD, True),
        (Progress.RUNNING, NEW, False),
        (Progress.ROLLED_BACK, NEW, False),
        # The base of the next roll-out.
        (Progress.COMPLETED, NEW, True),
    ],
)
def test_versions_that_others_are_compared_with(
    progress: Progress | None, version: VersionId, is_base: bool
) -> None:
    tracker = Instance(ManualClock(), progress=progress).tracker
    assert tracker.is_base(SERVICE, version) is is_base
    assert tracker.is_base(ServiceId("other"), version)


@pytest.mark.parametrize(
    ("progress", "elapsed", "age", "stage"),
    [
        (None, 2_000, 0, None),
        (Progress.RUNNING, 0, 500, 0),
        (Progress.RUNNING, 2_000, 0, 0),
        (Progress.RUNNING, 13_000, 0, 1),
        (Progress.RUNNING, 13_000, 1_000, 0),
        (Progress.RUNNING, 16_000, 0, 2),
        (Progress.RUNNING, 17_000, 0, None),
        (Progress.RUNNING, 17_000, 500, 2),
        (Progress.COMPLETED, 2_000, 0, None),
        (Progress.ROLLED_BACK, 2_000, 0, None),
    ],
)
def test_stage_in_which_versions_are_compared(
    progress: Progress | None, elapsed: int, age: int, stage: int | None
) -> None:
    """Guards against a comparison with base versions that get no requests any more."""
    clock = ManualClock()
    instance = Instance(clock, progress=progress)
    clock.tick(Milliseconds(elapsed))
    found = instance.tracker.comparable_stage(SERVICE, age=Milliseconds(age))
    assert found == stage


THIRD = VersionId("v3")
NEXT = RolloutOrder(service=SERVICE, target=THIRD, duration=DURATION, revision=10)
AGAIN = RolloutOrder(service=SERVICE, target=NEW, duration=DURATION, revision=11)


def next_record(
    order: RolloutOrder, progress: Progress, *, started: int = 0, attempt: int = 0
) -> RolloutRecord:
    return RolloutRecord(
        service=SERVICE,
        target=order.target,
        order=order.revision,
        progress=progress,
        started=Milliseconds(started),
        attempt=attempt,
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
