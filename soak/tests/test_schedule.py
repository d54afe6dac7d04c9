"""Schedules are equal for equal seeds, and hold every kind of trouble."""

import pytest

from fuchsiaroute.clock import Milliseconds
from soak._schedule import LEAD, VARIANTS, FaultKind, draw_schedule

LENGTH = Milliseconds(15_000)


def test_equal_seeds_give_equal_schedules() -> None:
    assert draw_schedule(7, length=LENGTH) == draw_schedule(7, length=LENGTH)
    assert draw_schedule(7, length=LENGTH) != draw_schedule(8, length=LENGTH)


def test_faults_begin_after_the_lead_and_end_in_time() -> None:
    for seed in range(100):
        for fault in draw_schedule(seed, length=LENGTH):
            assert fault.at >= LEAD
            assert fault.at + fault.lasts <= LENGTH


@pytest.mark.parametrize("kind", FaultKind)
def test_every_kind_and_variant_comes(kind: FaultKind) -> None:
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
