"""Load reports that endpoints publish."""

from dataclasses import dataclass

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import EndpointId, Incarnation


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """The load that an endpoint reported; it is out of date when it arrives."""

    endpoint: EndpointId
    incarnation: Incarnation
    #: Requests running or queued at the endpoint.
    in_flight: int
    #: Unix time in milliseconds at which the endpoint counted them.
    taken_at: Milliseconds
