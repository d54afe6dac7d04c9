"""Endpoint selection by load and affinity, and concurrency limits of cold endpoints."""

from fuchsiaroute.balancing._chooser import EndpointChooser
from fuchsiaroute.balancing._cold_slots import PAUSE_THRESHOLD, ColdSlot, ColdSlots
from fuchsiaroute.balancing._departures import DEPARTURE_DELAY, Departures, SlotOwner
from fuchsiaroute.balancing._ownership import ColdSlotOwnership
from fuchsiaroute.balancing._peer_group import MAX_PEER_GROUP_SIZE
from fuchsiaroute.balancing._reservation import Reservation, ReservationKind, Target
from fuchsiaroute.balancing._subset import SUBSET_SIZE, subset
from fuchsiaroute.balancing._warmth_store import WarmthStore, warmth_put
from fuchsiaroute.hashing import rendezvous_hash, rendezvous_order

__all__ = [
    "DEPARTURE_DELAY",
    "MAX_PEER_GROUP_SIZE",
    "PAUSE_THRESHOLD",
    "SUBSET_SIZE",
    "ColdSlot",
    "ColdSlotOwnership",
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
