"""The declared deployment: routes, services, organisations and limits."""

from dataclasses import dataclass, field
from enum import Enum

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import ModelId, OrganisationId, ServiceId


class RequestKind(Enum):
    """What may be done with the requests of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    #: Answered with a series of events.
    STREAMING = "streaming"


@dataclass(frozen=True, kw_only=True)
class ServiceShare:
    """The part of a route's requests that one service gets."""

    service: ServiceId
    weight: float


@dataclass(frozen=True, kw_only=True)
class Route:
    """Which requests go to which service, and how."""

    name: str
    host: str
    #: Begins and ends with a slash.
    prefix: str
    kind: RequestKind
    #: Longest time until the final response.
    timeout: Milliseconds
    #: Time within which a response is worth most.
    latency_target: Milliseconds
    #: 0 is the most urgent.
    priority: int
    #: Models that may answer, smallest first; empty if the caller names the model.
    models: tuple[ModelId, ...]
    shares: tuple[ServiceShare, ...]
    #: Most endpoints that one request may be sent to.
    max_attempts: int
    #: Whether requests need no key.
    is_public: bool
    #: Whether a broken stream may be continued at another endpoint.
    is_resumable: bool
    #: Longest pause between two events of a stream that is on time.
    max_event_gap: Milliseconds

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, kw_only=True)
class EngineModel:
    """A model of an engine and its price."""

    id: ModelId
    #: Per 1,000 generated tokens; tokens read count as a quarter.
    cost: float


@dataclass(frozen=True, kw_only=True)
class EngineProfile:
    """What the model engines of a service have in common."""

    #: Requests that run in one batch.
    slots: int
    #: Tokens that running requests and cached prompt parts share.
    kv_cache_tokens: int
    models: tuple[EngineModel, ...]


@dataclass(frozen=True, kw_only=True)
class Service:
    """A group of interchangeable endpoints."""

    id: ServiceId
    #: Connections that one endpoint takes from all callers together.
    max_connections: int
    #: How long an endpoint stays cold after its start.
    cold_period: Milliseconds
    #: Requests a second that a cold endpoint bears; 0 if it is never cold.
    cold_requests_per_second: float
    #: None for a plain service.
    engine: EngineProfile | None


@dataclass(frozen=True, kw_only=True)
class Limits:
    """What callers may send and how long they may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout: Milliseconds = Milliseconds(3_000)
    idle_timeout: Milliseconds = Milliseconds(15_000)


@dataclass(frozen=True, kw_only=True)
class Organisation:
    """A customer of the deployment."""

    id: OrganisationId
    #: Overrides the routes' priority; None leaves it.
    priority: int | None


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """Everything that one accepted declaration says."""

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceId, Service]
    organisations_by_key: dict[bytes, Organisation]
    #: Whether requests need a key at all.
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
        """Return the route of ``host`` with the longest prefix that begins ``path``."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
