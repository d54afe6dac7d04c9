"""Positions of a store that may be restored from a copy."""

import pytest

from fuchsiaroute.store import (
    MAX_ERA,
    MAX_VERSION,
    era_of,
    store_position,
    version_of,
)


@pytest.mark.parametrize(
    ("era", "version"), [(0, 0), (0, 7), (3, 0), (3, 12_345), (MAX_ERA, MAX_VERSION)]
)
def test_era_and_version_are_kept(era: int, version: int) -> None:
    position = store_position(era, version)
    assert (era_of(position), version_of(position)) == (era, version)
    assert position < 1 << 63


@pytest.mark.parametrize(
    ("earlier", "later"), [((1, 5), (1, 6)), ((1, 900), (2, 3)), ((0, 900), (1, 0))]
)
def test_positions_are_ordered_by_era_first(
    earlier: tuple[int, int], later: tuple[int, int]
) -> None:
    assert store_position(*earlier) < store_position(*later)


@pytest.mark.parametrize(
    ("era", "version"), [(-1, 0), (0, -1), (MAX_ERA + 1, 0), (0, MAX_VERSION + 1)]
)
def test_values_out_of_range_are_rejected(era: int, version: int) -> None:
    with pytest.raises(ValueError, match="out of range"):
        store_position(era, version)
