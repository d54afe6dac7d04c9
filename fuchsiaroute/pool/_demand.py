"""What a request requires of an endpoint, and why it may get none."""

import math
from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import EndpointId, ServiceId, VersionId


class NoChoice(Enum):
    """Why no endpoint was selected."""

    #: No endpoint of the service may be used.
    NONE = "none"
    #: Every usable endpoint is at its capacity.
    FULL = "full"
    #: Every usable endpoint has asked for no requests until later.
    PAUSED = "paused"
    #: Every usable endpoint with capacity names a rate, and no request may be sent now.
    RATE_LIMITED = "rate-limited"
    #: Endpoints crash under it, or under requests with a part of its prompt.
    QUARANTINED = "quarantined"
    #: An endpoint has crashed under it, and only one of the service is left, or other
    #: requests that were in the same crashes have their turn.
    SUSPECTED = "suspected"
    #: The instance stops before the request could end.
    STOPPING = "stopping"


@dataclass(frozen=True, kw_only=True)
class Demand:
    """The requirements of a request that decide which endpoint is selected."""

    service: ServiceId
    #: Versions that may run the request; None allows any.
    versions: frozenset[VersionId] | None = None
    #: Key of the shared part of the prompt that an endpoint may have cached; empty for
    #: none.
    affinity: str = ""
    #: Expected milliseconds until an idle endpoint that has the shared part cached
    #: starts to answer.
    work: float = 0.0
    #: Factor on ``work`` at an endpoint that does not have the shared part cached.
    uncached_factor: float = 1.0
    #: Maximum milliseconds of work queued before the request at an endpoint. Beyond it
    #: the request stays in this instance's queue, where it can still be reordered.
    max_backlog: float = math.inf
    #: Endpoints that must not get the request because they already had it.
    excluded: frozenset[EndpointId] = frozenset()
    #: Endpoints that were found silent, or with own requests in flight without bytes
    #: for as long as this, must not get the request; None for no such limit.
    max_silence: Milliseconds | None = None
    #: Whether the request may be sent again after a failed attempt.
    is_repeatable: bool = True
