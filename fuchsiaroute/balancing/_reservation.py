"""Reservations: one request counted at one endpoint."""

from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.configuration import Endpoint
from fuchsiaroute.endpoints import Warmth
from fuchsiaroute.ids import ServiceId, VersionId

#: The version or plain service that an endpoint is selected for.
Target = VersionId | ServiceId


class ReservationKind(Enum):
    """The rule by which the endpoint was selected."""

    #: A warm endpoint, by load or prefix affinity.
    WARM = "warm"
    #: A cold endpoint that this entry owns a slot of.
    COLD_SLOT = "cold-slot"
    #: A single request that checks whether a suspect endpoint has recovered.
    TRIAL = "trial"


@dataclass(frozen=True, kw_only=True)
class Reservation:
    """A selected endpoint; must be released with its outcome exactly once."""

    #: Unique within this entry process.
    number: int
    endpoint: Endpoint
    target: Target
    kind: ReservationKind
    #: Warmth of the endpoint at the time of the reservation. A dispatch that opens a
    #: new connection checks that the endpoint still has this incarnation.
    warmth: Warmth
    #: Monotonic time of the reservation.
    chosen_at: Milliseconds
