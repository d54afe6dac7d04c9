"""What was seen of callers and of disturbances."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.platform.tests.soak_platform import RouteKind


@dataclass(kw_only=True)
class Attempt:
    """One request of a caller, under an id of its own."""

    request_id: str
    kind: RouteKind
    path: str
    key: str
    #: Events that the stream has, if it is one.
    events: int
    instance: str
    #: Which process of the instance took it, counted from 0.
    life: int
    sent_at: Milliseconds
    #: When the last byte came, the connection ended or the caller left.
    ended_at: Milliseconds = Milliseconds(0)
    #: None if no status line came.
    status: int | None = None
    body: bytes = b""
    is_whole: bool = False
    is_signed: bool = False
    has_left: bool = False
    #: Requests with an equal number belong together.
    session: int | None = None

    @property
    def route(self) -> str:
        """The name of the route that the path leads to."""
        return self.path.split("/")[1]


@dataclass(frozen=True, kw_only=True)
class Span:
    """A disturbance, from its begin to its end."""

    begin: Milliseconds
    end: Milliseconds


@dataclass
class Disturbances:
    """What was disturbed and when, by the name of what it struck."""

    spans: dict[str, list[Span]] = field(default_factory=dict)

    def add(self, name: str, begin: Milliseconds, end: Milliseconds) -> None:
        """Note a disturbance."""
        self.spans.setdefault(name, []).append(Span(begin=begin, end=end))

    def is_calm(
        self, names: Iterable[str], begin: Milliseconds, end: Milliseconds
    ) -> bool:
        """Return whether none of ``names`` was disturbed between the two moments."""
        return not any(
            span.begin <= end and begin <= span.end
            for name in names
            for span in self.spans.get(name, ())
        )


@dataclass(frozen=True, kw_only=True)
class Order:
    """An order of operators that forbids something from a moment on."""

    #: When the store held it.
    at: Milliseconds
    #: When it was taken back; None if it holds until the end.
    until: Milliseconds | None = None
    #: What must not get requests any more: endpoints, or a key.
    endpoints: frozenset[str] = frozenset()
    key: str | None = None
    within: Milliseconds
    name: str


@dataclass(frozen=True, kw_only=True)
class Exposure:
    """A bad version that is rolled out between two moments."""

    service: str
    version: str
    begin: Milliseconds
    end: Milliseconds


@dataclass
class Record:
    """Everything that the checks look at."""

    attempts: list[Attempt] = field(default_factory=list)
    #: When the store held each route that was added later.
    routes: dict[str, Milliseconds] = field(default_factory=dict)
    orders: list[Order] = field(default_factory=list)
    exposures: list[Exposure] = field(default_factory=list)
    disturbances: Disturbances = field(default_factory=Disturbances)
    #: Cold periods by endpoint.
    cold: Disturbances = field(default_factory=Disturbances)
    #: Answers of the directory: when, by whom, the instances named.
    listings: list[tuple[Milliseconds, str, tuple[str, ...]]] = field(
        default_factory=list
    )
    #: Instances that were not ready, or did not serve, after the last fault.
    not_recovered: list[str] = field(default_factory=list)


#: The store's name among what is disturbed.
STORE = "store"
