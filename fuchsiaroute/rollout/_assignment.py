"""Which sessions a roll-out's share covers."""

from fuchsiaroute.configuration import Rollout
from fuchsiaroute.hashing import UnitKey, unit_fraction
from fuchsiaroute.ids import OrganisationId

#: Separates the parts of a key.
_SEPARATOR = "\x00"


def unit_key(organisation: OrganisationId, unit: str) -> UnitKey:
    """Return the key of a session id, or of a request id where there is none."""
    return UnitKey(f"{organisation}{_SEPARATOR}{unit}".encode())


def is_assigned_to_target(rollout: Rollout, key: UnitKey) -> bool:
    """
    Return whether the share of ``rollout`` covers a unit.

    A unit that a share covers is covered by every larger share too.
    """
    return unit_fraction(rollout.id, key) < rollout.share
