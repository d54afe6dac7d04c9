"""Assignment of sessions and requests to the target of a roll-out."""

from fuchsiaroute.configuration import Rollout
from fuchsiaroute.hashing import UnitKey, unit_fraction
from fuchsiaroute.ids import OrganisationId

_SEPARATOR = "\x00"


def unit_key(organisation: OrganisationId, unit: str) -> UnitKey:
    """
    Return the assignment key of ``unit`` within ``organisation``.

    ``unit`` is the session id, or the request id of a request without a session.
    """
    return UnitKey(f"{organisation}{_SEPARATOR}{unit}".encode())


def is_assigned_to_target(rollout: Rollout, key: UnitKey) -> bool:
    """
    Return whether the current share of ``rollout`` includes the unit with ``key``.

    A unit that one share includes is also included in every larger share.
    """
    return unit_fraction(rollout.id, key) < rollout.share
