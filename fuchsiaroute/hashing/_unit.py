"""Hash of an assignment unit to a fraction, for the shares of roll-outs."""

from functools import lru_cache
from typing import NewType

import xxhash

from fuchsiaroute.ids import RolloutId

#: Key of an assignment unit: a session, or a request without a session.
UnitKey = NewType("UnitKey", bytes)

#: Low bits of the 64-bit hash that are dropped. A float holds 53 bits exactly; with
#: more, a hash could round up to 1.0 and its unit would be outside a share of 1.
_DROPPED_BITS = 11
_FRACTION_RANGE = 2.0**53
_MAX_CACHED_SEEDS = 1_024


def unit_fraction(rollout: RolloutId, key: UnitKey) -> float:
    """
    Return the fraction of a unit in a roll-out, from 0 to below 1.

    A share includes the units with a smaller fraction. The value is the same on every
    entry and after every restart.
    """
    digest = xxhash.xxh3_64_intdigest(key, _seed(rollout))
    return (digest >> _DROPPED_BITS) / _FRACTION_RANGE


@lru_cache(maxsize=_MAX_CACHED_SEEDS)
def _seed(rollout: RolloutId) -> int:
    """Return a seed per roll-out, so that roll-outs include different units."""
    return xxhash.xxh3_64_intdigest(rollout.encode())
