"""Readiness of an entry, from its configuration and its contact with others."""

from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.clock import Milliseconds

#: Maximum age of the store's latest confirmation, read directly or received through
#: peers, at which an entry is ready without a quorum of entries.
MAX_CONFIRMATION_AGE = Milliseconds(10_000)
#: Default of the maximum age of the store's latest confirmation at which an entry
#: with a quorum stays ready.
MAX_CONFIRMATION_AGE_IN_OUTAGE = Milliseconds(3_600_000)


class Readiness(Enum):
    """Whether an entry may take new requests, and the reason if not."""

    #: The entry has a configuration that the store confirmed recently.
    READY = "ready"
    #: The store does not respond, but more than half of the entries reach each other.
    READY_IN_OUTAGE = "ready-in-outage"
    #: The entry has no configuration.
    NO_CONFIGURATION = "no-configuration"
    #: A known higher revision has not been loaded in time.
    BEHIND = "behind"
    #: The entry has neither a recent confirmation by the store nor a quorum.
    ISOLATED = "isolated"


@dataclass(frozen=True, kw_only=True)
class ReadinessInputs:
    """State of an entry from which its readiness follows."""

    has_configuration: bool
    #: Whether a known higher revision has not been loaded within ``LOAD_TIMEOUT``.
    is_behind: bool
    #: Time since the store's latest confirmation, read or received from a peer, in
    #: milliseconds.
    age: Milliseconds
    #: Whether more than half of the entries, this one included, reach each other.
    has_quorum: bool


def evaluate_readiness(
    inputs: ReadinessInputs,
    *,
    max_age_in_outage: Milliseconds = MAX_CONFIRMATION_AGE_IN_OUTAGE,
) -> Readiness:
    """Return the readiness of an entry with ``inputs``."""
    if not inputs.has_configuration:
        return Readiness.NO_CONFIGURATION
    if inputs.is_behind:
        return Readiness.BEHIND
    is_fresh = inputs.age <= MAX_CONFIRMATION_AGE
    is_tolerable = inputs.has_quorum and inputs.age <= max_age_in_outage
    return _BY_CONFIRMATION_AGE[is_fresh, is_tolerable]


#: Readiness by whether the confirmation is recent and whether its age is within the
#: limit of an outage with a quorum.
_BY_CONFIRMATION_AGE = {
    (True, True): Readiness.READY,
    (True, False): Readiness.READY,
    (False, True): Readiness.READY_IN_OUTAGE,
    (False, False): Readiness.ISOLATED,
}
