"""What callers observed during a run, and the faults injected meanwhile."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.platform.tests.soak_platform import RouteKind


@dataclass(kw_only=True)
class CallerRequest:
    """One request of a caller, with a request id that no other request has."""

    request_id: str
    kind: RouteKind
    path: str
    key: str
    #: Number of events in the response if it is a stream, else 0.
    events: int
    #: Bytes of filler in a large response; ``body`` is without them.
    filler: int = 0
    instance: str
    #: Index among the processes that the instance has run, from 0.
    process_index: int
    sent_at: Milliseconds
    #: When the last byte arrived, the connection closed or the caller disconnected.
    ended_at: Milliseconds = Milliseconds(0)
    #: None if no status line arrived.
    status: int | None = None
    body: bytes = b""
    is_whole: bool = False
    is_signed: bool = False
    is_abandoned: bool = False
    #: Whether the other end closed the connection before the answer was complete.
    is_closed: bool = False
    #: Whether the connection has not reached the instance.
    is_refused: bool = False
    #: Requests with the same number belong to one session.
    session: int | None = None

    @property
    def route(self) -> str:
        """Name of the route that the path matches."""
        return self.path.split("/")[1]


@dataclass(frozen=True, kw_only=True)
class Span:
    """Period of a disturbance."""

    begin: Milliseconds
    end: Milliseconds
    is_planned: bool = False


@dataclass
class Disturbances:
    """Disturbance periods by instance name, endpoint id or ``STORE``."""

    spans: dict[str, list[Span]] = field(default_factory=dict)

    def add(
        self,
        name: str,
        begin: Milliseconds,
        end: Milliseconds,
        *,
        is_planned: bool = False,
    ) -> None:
        """Add a disturbance of ``name`` from ``begin`` to ``end``."""
        span = Span(begin=begin, end=end, is_planned=is_planned)
        self.spans.setdefault(name, []).append(span)

    def is_undisturbed(
        self,
        names: Iterable[str],
        begin: Milliseconds,
        end: Milliseconds,
        *,
        ignores_planned: bool = False,
    ) -> bool:
        """Return whether none of ``names`` was disturbed from ``begin`` to ``end``."""
        return not any(
            span.begin <= end
            and begin <= span.end
            and not (ignores_planned and span.is_planned)
            for name in names
            for span in self.spans.get(name, ())
        )


@dataclass(frozen=True, kw_only=True)
class OperatorOrder:
    """A change by operators after which some endpoints or a key get no requests."""

    #: When it was written to the store.
    at: Milliseconds
    #: When it was revoked; None if it applies until the end of the run.
    until: Milliseconds | None = None
    #: Endpoints that must get no more requests.
    endpoints: frozenset[str] = frozenset()
    #: API key that must be refused.
    key: str | None = None
    #: Time after ``at`` within which the change must be in effect.
    effective_within: Milliseconds
    #: Description for violation messages.
    name: str


@dataclass(frozen=True, kw_only=True)
class BadRollout:
    """Roll-out of a faulty version, from ``begin`` to ``end``."""

    service: str
    version: str
    begin: Milliseconds
    end: Milliseconds


@dataclass
class Record:
    """Everything observed and injected during a run; input of the checks."""

    requests: list[CallerRequest] = field(default_factory=list)
    #: When each route added during the run was written to the store, by name.
    route_added_at: dict[str, Milliseconds] = field(default_factory=dict)
    orders: list[OperatorOrder] = field(default_factory=list)
    bad_rollouts: list[BadRollout] = field(default_factory=list)
    disturbances: Disturbances = field(default_factory=Disturbances)
    #: Cold periods by endpoint.
    cold_periods: Disturbances = field(default_factory=Disturbances)
    #: Directory responses: time, responding instance, instances listed.
    directory_answers: list[tuple[Milliseconds, str, tuple[str, ...]]] = field(
        default_factory=list
    )
    #: Instances that were not ready, or did not serve, within the recovery time.
    not_recovered: list[str] = field(default_factory=list)


#: Name of the store in ``Disturbances``.
STORE = "store"
