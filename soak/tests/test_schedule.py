"""Equal seeds give equal schedules, and all kinds and variants of faults occur."""

import pytest

from fuchsiaroute.clock import Milliseconds
from soak._schedule import SETTLE_TIME, VARIANTS, FaultKind, draw_schedule

LENGTH = Milliseconds(15_000)


def test_equal_seeds_give_equal_schedules() -> None:
    assert draw_schedule(7, length=LENGTH) == draw_schedule(7, length=LENGTH)
    assert draw_schedule(7, length=LENGTH) != draw_schedule(8, length=LENGTH)


def test_faults_start_after_the_settle_time_and_end_with_the_schedule() -> None:
    for seed in range(100):
        for fault in draw_schedule(seed, length=LENGTH):
            assert fault.at >= SETTLE_TIME
            assert fault.at + fault.lasts <= LENGTH


@pytest.mark.parametrize("kind", FaultKind)
def test_every_kind_and_variant_is_drawn(kind: FaultKind) -> None:
    drawn = [
        fault for seed in range(300) for fault in draw_schedule(seed, length=LENGTH)
    ]
    variants = {fault.variant for fault in drawn if fault.kind is kind}
    assert variants == set(VARIANTS.get(kind, ("",)))


def test_series_overlap() -> None:
    faults = draw_schedule(1, length=Milliseconds(600_000))
    overlapping = [
        (one, other)
        for one, other in zip(faults, faults[1:], strict=False)
        if one.kind is other.kind and other.at < one.at + one.lasts
    ]
    assert overlapping
