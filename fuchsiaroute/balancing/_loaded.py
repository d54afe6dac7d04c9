"""A warm endpoint with its estimated load."""

from dataclasses import dataclass

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.endpoints import EndpointRecord


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadedEndpoint:
    """A warm endpoint with its estimated load and its present capacity."""

    record: EndpointRecord
    #: Estimated requests in flight at the endpoint.
    load: float
    #: Requests in flight that the endpoint can handle at present.
    capacity: float
    #: Age of the report that ``load`` is based on; 0 if it is based on none.
    report_age: Milliseconds = Milliseconds(0)

    @property
    def utilisation(self) -> float:
        """Return the estimated load divided by the capacity."""
        return self.load / self.capacity
