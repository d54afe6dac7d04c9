"""Operators' orders that the store holds apart from the declaration."""

from dataclasses import dataclass

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import ServiceId, VersionId


@dataclass(frozen=True, kw_only=True)
class RolloutOrder:
    """An order to move a service to another version."""

    service: ServiceId
    target: VersionId
    #: Time from the order to the completion of the roll-out.
    duration: Milliseconds
    #: Revision of the order's row in the store, which increases if it is repeated.
    revision: int
