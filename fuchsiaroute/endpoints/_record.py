"""The state that one entry holds for one endpoint."""

from dataclasses import dataclass, field

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.configuration import Endpoint
from fuchsiaroute.endpoints._warmth import Warmth
from fuchsiaroute.lifecycle import EndpointState


@dataclass(kw_only=True, slots=True)
class EndpointRecord:
    """Mutable state of one endpoint; times are of the monotonic clock."""

    endpoint: Endpoint
    state: EndpointState = EndpointState.COLD
    warmth: Warmth = field(default_factory=Warmth)
    #: Warmth when the endpoint became leaving or out.
    warmth_before_absence: Warmth = field(default_factory=Warmth)
    #: Time of the latest change of ``state``.
    changed_at: Milliseconds
    #: Time from which no request of an earlier warm period can still be running.
    drained_at: Milliseconds = Milliseconds(0)
    consecutive_failures: int = 0
    #: Time of the latest trial of a suspect endpoint.
    tried_at: Milliseconds = Milliseconds(0)
    #: Minimum time from the latest trial to the next one.
    trial_delay: Milliseconds = Milliseconds(0)
