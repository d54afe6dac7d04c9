"""Change detection and decay of the weighted counts of a cell."""

from random import Random

import pytest

from fuchsiaroute.quality import Cell


def rate(cell, random, quality, ratings):
    for _ in range(ratings):
        cell = cell.with_rating(random.random() < quality, tick=cell.tick + 1)
    return cell


@pytest.mark.parametrize("quality", [0.5, 0.88, 0.97])
def test_constant_quality_rarely_resets_the_long_window(quality):
    false_changes = 0
    for seed in range(20):
        cell = rate(Cell(), Random(seed), quality, 1_000)
        false_changes += cell.is_changed
        if not cell.is_changed:
            assert cell.long_good / cell.long_ratings == pytest.approx(quality, abs=0.1)
    assert false_changes <= 4


@pytest.mark.parametrize(("before", "after"), [(0.95, 0.6), (0.5, 0.9)])
def test_sudden_change_resets_the_long_window(before, after):
    for seed in range(20):
        random = Random(seed)
        cell = rate(rate(Cell(), random, before, 800), random, after, 150)
        assert cell.is_changed
        assert cell.long_good / cell.long_ratings == pytest.approx(after, abs=0.2)


def test_weight_of_an_unrated_cell_decays():
    cell = rate(Cell(), Random(1), 0.9, 500)
    decayed = cell.decayed(cell.tick + 12_000)
    assert decayed.long_ratings < 0.06 * cell.long_ratings
    assert cell.decayed(cell.tick) is cell
