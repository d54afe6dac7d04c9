"""State of a request while it is being served."""

from dataclasses import dataclass, field

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import Route
from fuchsiaroute.hashing import UnitKey
from fuchsiaroute.http1 import InboundRequest, Responder
from fuchsiaroute.ids import (
    EndpointId,
    OrganisationId,
    ProductId,
    RequestClass,
    RequestId,
    ServiceId,
)
from fuchsiaroute.platform import RequestFields
from fuchsiaroute.quarantine import SubjectKey, request_key
from fuchsiaroute.request import Request
from fuchsiaroute.staging import SessionHash

#: Organisation of requests on public routes.
NO_ORGANISATION = OrganisationId("")


@dataclass(kw_only=True, slots=True)
class Call:
    """A permitted request with the state of its attempts."""

    inbound: InboundRequest
    fields: RequestFields
    responder: Responder
    route: Route
    service: ServiceId
    #: None only on a public route.
    organisation: OrganisationId | None
    #: 0 is the highest priority.
    priority: int
    #: Monotonic instant by which the caller must get its final response.
    deadline: Milliseconds
    #: None if the request belongs to no session.
    session: SessionHash | None
    #: Key by which roll-outs assign the request to a version.
    rollout_key: UnitKey
    #: Keys of the prompt parts that the request shares with others.
    shared_parts: frozenset[SubjectKey] = frozenset()
    #: Key of all requests that endpoints cannot tell from this one.
    key: SubjectKey = field(init=False)
    #: Endpoints that the request has been sent to.
    sent_to: list[EndpointId] = field(default_factory=list)
    #: Endpoints that failed or rejected the request; used again only if no other can.
    excluded: set[EndpointId] = field(default_factory=set)
    #: Number of sends that may have run the request: all except those that certainly
    #: did not, such as rejected ones.
    possible_runs: int = 0
    #: Whether an endpoint refused a request without naming this one.
    has_unnamed_refusal: bool = False
    #: Monotonic instant at which the endpoint's answer was first passed on.
    answer_started_at: Milliseconds | None = None
    #: Retries charged to the retry budget.
    charged_retries: int = 0
    #: Whether an endpoint was known to have crashed under the same request when it was
    #: last sent.
    follows_crash: bool = False
    #: Why attempts failed, for the log.
    failure_reasons: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.key = request_key(
            method=self.inbound.method,
            host=self.route.host,
            target=self.inbound.target,
            caller=self.organisation or NO_ORGANISATION,
            body=self.inbound.body,
        )

    @property
    def subjects(self) -> frozenset[SubjectKey]:
        """Return what a crash under the request is evidence against."""
        return self.shared_parts | {self.key}

    @property
    def is_not_run(self) -> bool:
        """Return whether certainly no endpoint has run the request."""
        return self.possible_runs == 0 and not self.has_unnamed_refusal

    @property
    def request_id(self) -> RequestId | None:
        """Return the request id that the caller sent, if any."""
        return self.fields.request_id

    def remaining(self, clock: Clock) -> Milliseconds:
        """Return the time left until the deadline."""
        return Milliseconds(self.deadline - clock.now())

    def record_sent(self, endpoint: EndpointId) -> None:
        """Record that the request is about to be sent to an endpoint."""
        self.sent_to.append(endpoint)
        self.possible_runs += 1

    def record_not_run(self) -> None:
        """Record that the endpoint of the last send has not run the request."""
        self.possible_runs -= 1

    def record_unnamed_refusal(self) -> None:
        """
        Record that the endpoint of the last send refused some request.

        One that may run more than once is sent again as if it was this one.
        """
        self.has_unnamed_refusal = True
        if self.route.is_repeatable:
            self.possible_runs -= 1

    def as_request(self) -> Request:
        """Return the request in the form that the queue schedules."""
        return Request(
            id=self.fields.request_id or RequestId(""),
            organisation=self.organisation or NO_ORGANISATION,
            product=ProductId(self.route.host),
            request_class=RequestClass(self.route.name),
            is_idempotent=self.route.is_repeatable,
            deadline=self.deadline,
        )
