"""Whether an entry may take new work under the configuration that it holds."""

from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.clock import Milliseconds

#: Longest time without word of the store, direct or through peers, within which
#: an entry counts as informed.
FRESH_BOUND = Milliseconds(10_000)
#: Longest time without word of the store during which entries that hear a
#: majority of each other go on serving; settings may change it.
OUTAGE_BOUND = Milliseconds(3_600_000)


class Readiness(Enum):
    """Whether an entry may take new work, and why not."""

    #: It holds a configuration and has had the store's word lately.
    READY = "ready"
    #: The store is silent, but a majority of the entries hear each other.
    READY_IN_OUTAGE = "ready-in-outage"
    #: It holds no configuration.
    NO_CONFIGURATION = "no-configuration"
    #: It knows of a higher revision than the one that it holds.
    BEHIND = "behind"
    #: It hears neither the store nor a majority of the entries.
    ISOLATED = "isolated"


@dataclass(frozen=True, kw_only=True)
class Situation:
    """What readiness depends on."""

    has_configuration: bool
    #: Whether a higher revision has been known of for longer than it takes to
    #: load one.
    is_behind: bool
    #: Time since the store's word, direct or through peers, in milliseconds.
    age: Milliseconds
    #: Whether more than half of the entries hear each other, this one included.
    has_quorum: bool


def readiness_in(
    situation: Situation, *, outage_bound: Milliseconds = OUTAGE_BOUND
) -> Readiness:
    """Return the readiness of an entry in ``situation``."""
    if not situation.has_configuration:
        return Readiness.NO_CONFIGURATION
    if situation.is_behind:
        return Readiness.BEHIND
    is_fresh = situation.age <= FRESH_BOUND
    is_outage = situation.has_quorum and situation.age <= outage_bound
    return _BY_CONTACT[is_fresh, is_outage]


_BY_CONTACT = {
    (True, True): Readiness.READY,
    (True, False): Readiness.READY,
    (False, True): Readiness.READY_IN_OUTAGE,
    (False, False): Readiness.ISOLATED,
}
