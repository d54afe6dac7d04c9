"""The choice of an endpoint, and the limits of cold ones."""

from fuchsiaroute.balancing._chooser import EndpointChooser
from fuchsiaroute.balancing._cold_slots import PAUSE_BOUND, ColdSlot, ColdSlots
from fuchsiaroute.balancing._departures import DEPARTURE_DELAY, Departures, SlotOwner
from fuchsiaroute.balancing._ownership import ColdSlotKeeper
from fuchsiaroute.balancing._peer_group import LARGEST_PEER_GROUP
from fuchsiaroute.balancing._reservation import Reservation, ReservationKind, Target
from fuchsiaroute.balancing._subset import SUBSET_SIZE, subset
from fuchsiaroute.balancing._warmth_store import WarmthStore, warmth_put
from fuchsiaroute.hashing import rendezvous_hash, rendezvous_order

__all__ = [
    "DEPARTURE_DELAY",
    "LARGEST_PEER_GROUP",
    "PAUSE_BOUND",
    "SUBSET_SIZE",
    "ColdSlot",
    "ColdSlotKeeper",
    "ColdSlots",
    "Departures",
    "EndpointChooser",
    "Reservation",
    "ReservationKind",
    "SlotOwner",
    "Target",
    "WarmthStore",
    "rendezvous_hash",
    "rendezvous_order",
    "subset",
    "warmth_put",
]
