"""An endpoint as it announces itself."""

from dataclasses import dataclass

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import EndpointId, FailureDomainId, ServiceId, VersionId


@dataclass(frozen=True, kw_only=True)
class Endpoint:
    """One announced incarnation of an endpoint."""

    id: EndpointId
    service: ServiceId
    host: str
    port: int
    failure_domain: FailureDomainId
    version: VersionId
    #: Requests that it runs at the same time.
    slots: int
    #: Whether it finishes its work and wants no more.
    is_draining: bool
    #: How much longer it bears only a cold endpoint's load, when it announced this.
    cold_remaining: Milliseconds
    #: Unix time of its start; 0 if not announced.
    started_at: Milliseconds
