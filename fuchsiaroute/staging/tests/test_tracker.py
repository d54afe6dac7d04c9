"""Versions of requests during a roll-out, over several instances."""

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
