"""Positions in the history of a store that may be restored from an older copy."""

from typing import NewType

#: Position of a write. A store that is restored from a copy begins a new era and gives
#: out versions again that it has given out before, so versions of different eras must
#: not be compared. A position holds the era above the version: as an integer it orders
#: writes by era first, and it fits into messages and rows.
StorePosition = NewType("StorePosition", int)

VERSION_BITS = 48
MAX_VERSION = (1 << VERSION_BITS) - 1
#: Limits a position to 63 bits, which encoders of integers support.
MAX_ERA = (1 << 15) - 1


def store_position(era: int, version: int) -> StorePosition:
    """
    Return the position of ``version`` in ``era``.

    Raises ``ValueError`` for values that do not fit.
    """
    if not 0 <= era <= MAX_ERA or not 0 <= version <= MAX_VERSION:
        raise ValueError(f"era {era} or version {version} of the store is out of range")
    return StorePosition(era << VERSION_BITS | version)


def era_of(position: int) -> int:
    """Return the era of a position."""
    return position >> VERSION_BITS


def version_of(position: int) -> int:
    """Return the version of a position within its era."""
    return position & MAX_VERSION
