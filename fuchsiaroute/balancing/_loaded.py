"""A warm endpoint with what is estimated of its load."""

from dataclasses import dataclass

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.endpoints import EndpointRecord


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadedEndpoint:
    """A warm endpoint with its estimated load and what it bears now."""

    record: EndpointRecord
    #: Estimated requests at the endpoint.
    load: float
    #: Requests that it bears at present.
    capacity: float
    #: Age of the report that the estimate rests on; 0 if it rests on none.
    report_age: Milliseconds = Milliseconds(0)

    @property
    def utilisation(self) -> float:
        """Return the estimated load relative to what the endpoint bears."""
        return self.load / self.capacity
