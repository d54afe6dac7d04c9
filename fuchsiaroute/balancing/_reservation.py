"""The place of one request at one endpoint."""

from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.configuration import Endpoint
from fuchsiaroute.endpoints import Warmth
from fuchsiaroute.ids import ServiceId, VersionId

#: What an endpoint is chosen for.
Target = VersionId | ServiceId


class ReservationKind(Enum):
    """Why the endpoint was chosen."""

    #: A warm endpoint, by load or prefix affinity.
    WARM = "warm"
    #: A slot of a cold endpoint that this entry owns.
    COLD_SLOT = "cold-slot"
    #: One request to see whether a suspect endpoint works again.
    TRIAL = "trial"


@dataclass(frozen=True, kw_only=True)
class Reservation:
    """A chosen endpoint; to be given back with its outcome exactly once."""

    #: Unique within this entry process.
    number: int
    endpoint: Endpoint
    target: Target
    kind: ReservationKind
    #: What was known of the endpoint when it was chosen. A dispatch that opens a
    #: new connection checks that the endpoint still has this incarnation.
    warmth: Warmth
    #: Monotonic instant of the choice.
    chosen_at: Milliseconds
