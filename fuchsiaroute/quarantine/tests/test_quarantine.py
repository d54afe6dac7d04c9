"""Which prompt parts are quarantined, from crashes and answers in some order."""

from random import Random

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.ids import EndpointId
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.quarantine import (
    QUARANTINE_TIME,
    Quarantine,
    SubjectKey,
    SubjectReport,
    part_keys,
)

(BAD,), (OTHER,), (COMMON,) = (part_keys([name]) for name in ("bad", "q", "common"))


class Instance:
    def __init__(
        self, clock: ManualClock | None = None, *, knows_answers: bool = True
    ) -> None:
        self.clock = clock or ManualClock()
        self.changes: list[tuple[SubjectKey, Milliseconds | None]] = []
        self.quarantine = Quarantine(
            clock=self.clock,
            random=Random(),
            log=LineLog(clock=self.clock, instance="i", write=len),
            on_change=lambda subject, at: self.changes.append((subject, at)),
        )
        if knows_answers:
            self.answer(COMMON, *part_keys(["1", "2", "3", "4"]))
            self.wait(10_000)

    def crash(self, *parts: SubjectKey, endpoint: str = "e") -> None:
        self.quarantine.record_crash(parts, EndpointId(endpoint))

    def answer(self, *parts: SubjectKey) -> None:
        self.quarantine.record_answer(parts)

    def wait(self, duration: int) -> None:
        self.clock.tick(Milliseconds(duration))
        self.quarantine.refresh()

    def is_refused(self, *parts: SubjectKey) -> bool:
        return self.quarantine.refusal_time(frozenset(parts)) is not None

    def crash_repeatedly(self, *parts: SubjectKey, times: int = 3) -> None:
        for number in range(times):
            self.crash(*parts, endpoint=f"e{number}")
            # An endpoint needs longer than this to start again.
            self.wait(1_600)
            for _ in range(3):
                self.answer(COMMON)


@pytest.mark.parametrize(
    ("times", "is_refused", "may_retry"),
    [(1, False, True), (2, False, False), (3, True, False)],
)
def test_part_is_refused_after_independent_crashes(
    times: int, is_refused: bool, may_retry: bool
) -> None:
    instance = Instance()
    instance.crash_repeatedly(BAD, COMMON, times=times)
    assert instance.is_refused(BAD, OTHER) is is_refused
    assert instance.quarantine.may_retry(frozenset({BAD})) is may_retry
    assert not instance.is_refused(COMMON)
    assert instance.quarantine.may_retry(frozenset({COMMON}))


@pytest.mark.parametrize(
    ("endpoints", "interval"),
    [
        # Several endpoints are lost at the same moment.
        (("a", "b", "c", "d"), 50),
        # Several instances report one crash of one endpoint.
        (("a", "a", "a", "a"), 300),
    ],
)
def test_crashes_with_a_common_cause_count_once(
    endpoints: tuple[str, ...], interval: int
) -> None:
    instance = Instance()
    for endpoint in endpoints:
        instance.crash(BAD, endpoint=endpoint)
        instance.wait(interval)
        for _ in range(3):
            instance.answer(COMMON)
    assert not instance.is_refused(BAD)
    assert instance.quarantine.may_retry(frozenset({BAD}))


def test_parts_in_the_same_crashes_are_refused_together_only() -> None:
    """
    Guards against refusing sound requests that share parts with the crashing ones.

    All requests with the bad part may have a part in common that was never answered.
    """
    clock = ManualClock()
    instance, peer = Instance(clock), Instance(clock)
    for number in range(3):
        instance.crash(BAD, OTHER, endpoint=f"e{number}")
        instance.wait(1_600)
    exchange(instance, peer)
    for each in (instance, peer):
        assert each.is_refused(BAD, OTHER, COMMON)
        assert not each.is_refused(OTHER, COMMON)
        assert each.quarantine.may_retry(frozenset({OTHER, COMMON}))
    peer.answer(OTHER)
    exchange(peer, instance)
    for each in (instance, peer):
        assert each.is_refused(BAD)
        assert not each.is_refused(OTHER)


@pytest.mark.parametrize(
    ("known_parts", "is_refused"), [(0, False), (4, False), (5, True)]
)
def test_crashes_say_nothing_while_no_answers_are_known(
    known_parts: int, is_refused: bool
) -> None:
    """Guards against refusals when endpoints fail under each request from the start."""
    instance = Instance(knows_answers=False)
    instance.answer(*part_keys(map(str, range(known_parts))))
    for number in range(4):
        instance.crash(BAD, endpoint=f"e{number}")
        instance.wait(500)
    assert instance.is_refused(BAD) is is_refused


@pytest.mark.parametrize(("times", "is_refused"), [(5, False), (6, True)])
def test_part_that_was_answered_before_needs_more_crashes(
    times: int, is_refused: bool
) -> None:
    """
    Guards against refusing a part that many requests share.

    Endpoints can crash so fast after each other that no request is answered between.
    """
    instance = Instance()
    for number in range(times):
        instance.crash(COMMON, endpoint=f"e{number}")
        instance.wait(400)
        assert instance.quarantine.may_retry(frozenset({COMMON})) or is_refused
    assert instance.is_refused(COMMON) is is_refused


def test_common_part_is_not_refused_beside_the_cause() -> None:
    instance = Instance()
    for number in range(9):
        instance.crash(BAD, COMMON, endpoint=f"e{number}")
        instance.wait(400)
    assert instance.is_refused(BAD) and not instance.is_refused(COMMON)


def test_answer_clears_a_part() -> None:
    instance = Instance()
    instance.crash_repeatedly(BAD, times=3)
    assert instance.is_refused(BAD)
    instance.answer(BAD)
    assert not instance.is_refused(BAD)
    instance.wait(500)
    instance.crash_repeatedly(BAD, times=5)
    assert not instance.is_refused(BAD)
    instance.crash_repeatedly(BAD, times=1)
    assert instance.is_refused(BAD)
    assert [at is None for _, at in instance.changes] == [False, True, False]


def test_old_crashes_are_no_evidence() -> None:
    instance = Instance()
    instance.crash_repeatedly(BAD, times=2)
    instance.wait(61_000)
    instance.crash_repeatedly(BAD, times=1)
    assert not instance.is_refused(BAD)
    assert instance.quarantine.may_retry(frozenset({BAD}))


def test_one_crash_after_the_quarantine_begins_it_again() -> None:
    instance = Instance()
    instance.crash_repeatedly(BAD)
    instance.wait(QUARANTINE_TIME)
    assert not instance.is_refused(BAD)
    assert not instance.quarantine.may_retry(frozenset({BAD}))
    instance.crash_repeatedly(BAD, times=1)
    assert instance.is_refused(BAD)
    instance.wait(3 * QUARANTINE_TIME)
    instance.wait(1)
    assert instance.quarantine.may_retry(frozenset({BAD}))


def exchange(source: Instance, target: Instance) -> None:
    target.quarantine.apply_crashes(source.quarantine.crashes())
    for report in source.quarantine.quarantined():
        target.quarantine.apply_quarantine(report, source="peer")
    for report in source.quarantine.answered():
        target.quarantine.apply_answer(report)


def test_crashes_at_several_instances_are_evidence_together() -> None:
    clock = ManualClock()
    one, other, third = Instance(clock), Instance(clock), Instance(clock)
    for number, instance in enumerate((one, other, one)):
        instance.crash(BAD, endpoint=f"e{number}")
        for _ in range(3):
            one.answer(COMMON)
        exchange(other, one)
        exchange(one, other)
        one.wait(500)
        other.wait(0)
    exchange(one, third)
    assert one.is_refused(BAD) and third.is_refused(BAD)
    assert third.changes == []


@pytest.mark.parametrize("is_known_before", [True, False])
def test_answer_at_one_instance_clears_the_part_at_others(
    is_known_before: bool,
) -> None:
    clock = ManualClock()
    one, other = Instance(clock), Instance(clock)
    one.crash_repeatedly(BAD)
    if is_known_before:
        exchange(one, other)
    clock.tick(Milliseconds(500))
    other.answer(BAD)
    exchange(one, other)
    exchange(other, one)
    assert not other.is_refused(BAD)
    assert not one.is_refused(BAD)


def test_quarantine_that_was_stored_is_not_taken_for_a_new_one() -> None:
    instance = Instance()
    at = instance.clock.now()
    instance.wait(1_000)
    instance.quarantine.apply_quarantine(SubjectReport(BAD, at), source="store")
    left = instance.quarantine.refusal_time(frozenset({BAD}))
    assert left == QUARANTINE_TIME - 1_000
    assert instance.changes == []


def test_part_that_is_in_fewer_crashes_than_another_is_not_refused() -> None:
    """
    Guards against refusing a part that many requests share.

    Endpoints crashed so fast after each other that no request with it was answered.
    """
    instance = Instance()
    for number, parts in enumerate([(BAD, OTHER), (BAD,), (BAD, OTHER), (OTHER, BAD)]):
        # The reports of the instance with the bad request come last.
        for part in reversed(parts):
            instance.crash(part, endpoint=f"e{number}")
            instance.wait(100)
        for _ in range(3):
            instance.answer(COMMON)
        instance.wait(300)
    assert instance.is_refused(BAD) and not instance.is_refused(OTHER)
