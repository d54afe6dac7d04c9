"""The declared deployment: routes, services, organisations and limits."""

from dataclasses import dataclass, field
from enum import Enum

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import ModelId, OrganisationId, ServiceId


class RequestKind(Enum):
    """Whether the requests of a route may run twice, and how they are answered."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    #: Answered with a stream of events.
    STREAMING = "streaming"


@dataclass(frozen=True, kw_only=True)
class ServiceShare:
    """A service that receives a weighted share of a route's requests."""

    service: ServiceId
    weight: float


@dataclass(frozen=True, kw_only=True)
class Route:
    """A rule that maps requests by host and path prefix to services."""

    name: str
    host: str
    #: Begins and ends with a slash.
    prefix: str
    kind: RequestKind
    #: Maximum time until the end of the response.
    timeout: Milliseconds
    #: Response time up to which a response has its full value.
    latency_target: Milliseconds
    #: 0 is the most urgent.
    priority: int
    #: Models that may answer, smallest first; empty if the caller selects the model.
    models: tuple[ModelId, ...]
    shares: tuple[ServiceShare, ...]
    #: Maximum number of endpoints to which one request may be sent.
    max_attempts: int
    #: Whether requests are accepted without an API key.
    is_public: bool
    #: Whether an interrupted stream may be resumed at another endpoint.
    is_resumable: bool
    #: Maximum time between two events of a stream that meets its target.
    max_event_gap: Milliseconds

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, kw_only=True)
class EngineModel:
    """A model that an engine runs, and its cost."""

    id: ModelId
    #: Cost of 1,000 generated tokens; a prompt token costs a quarter of that.
    cost: float


@dataclass(frozen=True, kw_only=True)
class EngineProfile:
    """Properties that all model engines of a service share."""

    #: Maximum number of requests in one batch.
    slots: int
    #: Capacity of the KV cache in tokens, for running requests and cached prefixes.
    kv_cache_tokens: int
    models: tuple[EngineModel, ...]


@dataclass(frozen=True, kw_only=True)
class Service:
    """A group of interchangeable endpoints."""

    id: ServiceId
    #: Maximum connections to one endpoint, summed over all clients.
    max_connections: int
    #: Time for which an endpoint is cold after its start.
    cold_period: Milliseconds
    #: Request rate that a cold endpoint can handle; 0 if endpoints are never cold.
    cold_requests_per_second: float
    #: None for a plain service.
    engine: EngineProfile | None


@dataclass(frozen=True, kw_only=True)
class Limits:
    """Size limits and timeouts of incoming requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout: Milliseconds = Milliseconds(3_000)
    idle_timeout: Milliseconds = Milliseconds(15_000)


@dataclass(frozen=True, kw_only=True)
class Organisation:
    """A customer of the deployment."""

    id: OrganisationId
    #: Priority in place of the route's; None keeps the route's.
    priority: int | None


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """An accepted declaration: routes, services, organisations and limits."""

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceId, Service]
    organisations_by_key: dict[bytes, Organisation]
    #: Whether requests to non-public routes need an API key.
    has_organisations: bool
    limits: Limits
    _routes_by_host: dict[str, list[Route]] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        object.__setattr__(self, "_routes_by_host", by_host)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``, if any."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
