"""One request of a caller while it is being served."""

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
from fuchsiaroute.request import Request
from fuchsiaroute.staging import SessionHash

#: Organisation of requests on public routes.
NO_ORGANISATION = OrganisationId("")


@dataclass(kw_only=True, slots=True)
class Call:
    """A permitted request, and what has happened to it so far."""

    inbound: InboundRequest
    fields: RequestFields
    responder: Responder
    route: Route
    service: ServiceId
    #: None on a public route.
    organisation: OrganisationId | None
    #: 0 is the most urgent.
    priority: int
    #: Monotonic instant at which the caller gets its final response at the latest.
    deadline: Milliseconds
    #: Session of the request; None if it belongs to none.
    session: SessionHash | None
    #: Key that roll-outs count the request under.
    rollout_key: UnitKey
    #: Endpoints that the request has been sent to.
    sent_to: list[EndpointId] = field(default_factory=list)
    #: Endpoints that failed or rejected the request; others are tried first.
    excluded: set[EndpointId] = field(default_factory=set)
    #: Endpoints that may have run the request: those it was sent to, less those that
    #: said that they did not run it.
    runs: int = 0
    #: Repeats that the retry budget was charged for.
    paid_repeats: int = 0
    #: Reasons of the failed attempts, for the log.
    reasons: list[str] = field(default_factory=list)

    @property
    def is_not_run(self) -> bool:
        """Return whether no endpoint can have run the request."""
        return self.runs == 0

    @property
    def request_id(self) -> RequestId | None:
        """Return the caller's id of the request."""
        return self.fields.request_id

    def remaining(self, clock: Clock) -> Milliseconds:
        """Return the time left until the deadline."""
        return Milliseconds(self.deadline - clock.now())

    def sent(self, endpoint: EndpointId) -> None:
        """Note that the request is about to leave for an endpoint."""
        self.sent_to.append(endpoint)
        self.runs += 1

    def not_run(self) -> None:
        """Note that the endpoint it was sent to last has not run the request."""
        self.runs -= 1

    def as_request(self) -> Request:
        """Return the request as admission sees it."""
        return Request(
            id=self.fields.request_id or RequestId(""),
            organisation=self.organisation or NO_ORGANISATION,
            product=ProductId(self.route.host),
            request_class=RequestClass(self.route.name),
            is_idempotent=self.route.is_repeatable,
            deadline=self.deadline,
        )
