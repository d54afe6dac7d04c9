"""What becomes of a request before it is sent anywhere."""

from dataclasses import dataclass

import xxhash

from fuchsiaroute.catalog import Catalog
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import Deployment, Organisation, RequestKind, Route
from fuchsiaroute.forwarding._call import Call
from fuchsiaroute.hashing import UnitKey, unit_fraction
from fuchsiaroute.http1 import InboundRequest, Responder
from fuchsiaroute.ids import RolloutId, ServiceId
from fuchsiaroute.platform import RequestFields, read_request
from fuchsiaroute.staging import SessionHash, session_key
from fuchsiaroute.verdict import RefusalReason

#: When to come back to an instance that cannot decide yet.
RETURN_WHEN_UNDECIDED = Milliseconds(300)
_SEPARATOR = "\0"


@dataclass(frozen=True, kw_only=True)
class Rejection:
    """A request that is not served; nothing has been sent anywhere."""

    reason: RefusalReason
    #: Inputs of the decision, for the log.
    detail: str
    retry_after: Milliseconds = Milliseconds(0)


class RequestResolver:
    """Finds a request's route, organisation and service."""

    def __init__(self, catalog: Catalog, *, clock: Clock) -> None:
        self._catalog = catalog
        self._clock = clock

    def resolve(
        self, inbound: InboundRequest, responder: Responder, *, is_current: bool
    ) -> Call | Rejection:
        """
        Return the call to serve, or why there is none.

        ``is_current`` tells whether the declaration is known to be the newest. If it
        is not, an unknown route or key may be a new one, and is not denied.
        """
        deployment = self._catalog.deployment
        if deployment is None:
            return _undecided("no declaration is known yet")
        fields = read_request(inbound.headers)
        path = inbound.path.decode("latin-1")
        route = deployment.find_route(fields.host, path)
        if route is None:
            if not is_current:
                return _undecided("no route, and a newer declaration may be in force")
            return Rejection(
                reason=RefusalReason.NOT_PERMITTED, detail=f"no route for {path}"
            )
        organisation = _organisation(deployment, route, fields)
        if organisation is None and not route.is_public:
            if not is_current:
                return _undecided(
                    "unknown key, and a newer declaration may be in force"
                )
            return Rejection(
                reason=RefusalReason.UNAUTHENTICATED, detail="the key is unknown"
            )
        if route.models and not fields.accepts_any_model:
            return Rejection(
                reason=RefusalReason.INVALID_REQUEST,
                detail=f"the route chooses the model, not the caller: {fields.model}",
            )
        return self._call(inbound, responder, fields, route, organisation)

    def _call(
        self,
        inbound: InboundRequest,
        responder: Responder,
        fields: RequestFields,
        route: Route,
        organisation: Organisation | None,
    ) -> Call | Rejection:
        subject = _subject(fields)
        unit = f"{route.name}{_SEPARATOR}{subject or fields.request_id}".encode()
        service = _service(route, unit)
        if service is None:
            return _undecided("the route names no service")
        patience = route.timeout
        if fields.timeout is not None:
            patience = min(patience, fields.timeout)
        priority = route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        session: SessionHash | None = None
        if route.kind is RequestKind.STREAMING and subject:
            session = SessionHash(xxhash.xxh3_64_intdigest(unit))
        return Call(
            inbound=inbound,
            fields=fields,
            responder=responder,
            route=route,
            service=service,
            organisation=organisation.id if organisation is not None else None,
            priority=priority,
            deadline=Milliseconds(inbound.arrived_at + patience),
            session=session,
            rollout_key=UnitKey(unit) if session is None else session_key(session),
        )


def _undecided(detail: str) -> Rejection:
    return Rejection(
        reason=RefusalReason.NOT_READY,
        detail=detail,
        retry_after=RETURN_WHEN_UNDECIDED,
    )


def _organisation(
    deployment: Deployment, route: Route, fields: RequestFields
) -> Organisation | None:
    if route.is_public and fields.key is None:
        return None
    if not deployment.has_organisations and not deployment.organisations_by_key:
        return None
    return deployment.organisations_by_key.get(fields.key or b"")


def _subject(fields: RequestFields) -> str:
    """Return the last part of the prompt that requests of a session share."""
    if not fields.prompt:
        return ""
    return fields.prompt[-2 if len(fields.prompt) > 1 else -1].id


def _service(route: Route, unit: bytes) -> ServiceId | None:
    total = sum(share.weight for share in route.shares)
    place = unit_fraction(RolloutId(f"split:{route.name}"), UnitKey(unit)) * total
    for share in route.shares:
        place -= share.weight
        if place < 0:
            return share.service
    return route.shares[-1].service if route.shares else None
