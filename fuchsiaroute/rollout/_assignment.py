"""Which sessions a roll-out's share covers."""

import xxhash

from fuchsiaroute.configuration import Rollout
from fuchsiaroute.ids import OrganisationId, RolloutId

#: Bits of the hash that are dropped: a float holds 53 bits exactly, and rounding up
#: to 1 would leave a unit outside a share of 1.
_DROPPED_BITS = 11
_FRACTION_RANGE = 2.0**53
#: Separates the parts of a key.
_SEPARATOR = "\x00"


def unit_fraction(rollout: RolloutId, organisation: OrganisationId, unit: str) -> float:
    """
    Return the place of ``unit`` in the order of a roll-out, from 0 to below 1.

    ``unit`` is a session id, or a request id where there is no session. The value
    is the same on every entry and in every life of it.
    """
    key = _SEPARATOR.join((rollout, organisation, unit))
    digest = xxhash.xxh3_64_intdigest(key.encode())
    return (digest >> _DROPPED_BITS) / _FRACTION_RANGE


def is_on_target(rollout: Rollout, organisation: OrganisationId, unit: str) -> bool:
    """
    Return whether the share of ``rollout`` covers ``unit``.

    A unit that a share covers is covered by every larger share too.
    """
    return unit_fraction(rollout.id, organisation, unit) < rollout.share
