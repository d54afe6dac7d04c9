"""Endpoints, as announced in the store."""

from dataclasses import dataclass

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import EndpointId, FailureDomainId, ServiceId, VersionId


@dataclass(frozen=True, kw_only=True)
class Endpoint:
    """The announcement of one incarnation of an endpoint."""

    id: EndpointId
    service: ServiceId
    host: str
    port: int
    failure_domain: FailureDomainId
    version: VersionId
    #: Maximum concurrent requests.
    slots: int
    #: Whether the endpoint completes its requests and accepts no new ones.
    is_draining: bool
    #: Remaining time of the cold period, as of the announcement.
    cold_remaining: Milliseconds
    #: Unix time of the start in milliseconds; 0 if not announced.
    started_at: Milliseconds
