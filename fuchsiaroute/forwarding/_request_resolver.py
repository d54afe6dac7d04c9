"""Resolution of a request to its route, organisation and service."""

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
from fuchsiaroute.quarantine import part_keys
from fuchsiaroute.staging import SessionHash, session_key
from fuchsiaroute.verdict import RefusalReason

#: Retry delay sent to the caller while this instance cannot decide yet.
UNDECIDED_RETRY_DELAY = Milliseconds(300)
_SEPARATOR = "\0"


@dataclass(frozen=True, kw_only=True)
class Rejection:
    """Why a request is not served; it has not been sent to any endpoint."""

    reason: RefusalReason
    #: Inputs of the decision, for the log.
    detail: str
    retry_after: Milliseconds = Milliseconds(0)


class RequestResolver:
    """Resolves requests to a route, an organisation and a service."""

    def __init__(self, catalog: Catalog, *, clock: Clock) -> None:
        self._catalog = catalog
        self._clock = clock

    def resolve(
        self, inbound: InboundRequest, responder: Responder, *, is_current: bool
    ) -> Call | Rejection:
        """
        Return the call to serve, or why it is rejected.

        ``is_current`` is whether the deployment in force is certainly the newest. If
        not, an unknown route or key may have been added since, so the caller is asked
        to retry.
        """
        deployment = self._catalog.deployment
        if deployment is None:
            return _undecided("no deployment has been received yet")
        fields = read_request(inbound.headers)
        path = inbound.path.decode("latin-1")
        route = deployment.find_route(fields.host, path)
        if route is None:
            if not is_current:
                return _undecided("no route, but a newer deployment may have one")
            return Rejection(
                reason=RefusalReason.NOT_PERMITTED, detail=f"no route for {path}"
            )
        organisation = _organisation(deployment, route, fields)
        if organisation is None and not route.is_public:
            if not is_current:
                return _undecided("unknown key, but a newer deployment may have it")
            return Rejection(reason=RefusalReason.UNAUTHENTICATED, detail="unknown key")
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
        prompt_id = _shared_prompt_id(fields)
        request_key = (
            f"{route.name}{_SEPARATOR}{prompt_id or fields.request_id}".encode()
        )
        service = _service(route, request_key)
        if service is None:
            return _undecided("the route has no service")
        timeout = route.timeout
        if fields.timeout is not None:
            timeout = min(timeout, fields.timeout)
        priority = route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        session: SessionHash | None = None
        if route.kind is RequestKind.STREAMING and prompt_id:
            session = SessionHash(xxhash.xxh3_64_intdigest(request_key))
        return Call(
            inbound=inbound,
            fields=fields,
            responder=responder,
            route=route,
            service=service,
            organisation=organisation.id if organisation is not None else None,
            priority=priority,
            deadline=Milliseconds(inbound.arrived_at + timeout),
            session=session,
            shared_parts=part_keys(part.id for part in fields.prompt[:-1]),
            rollout_key=UnitKey(request_key)
            if session is None
            else session_key(session),
        )


def _undecided(detail: str) -> Rejection:
    return Rejection(
        reason=RefusalReason.NOT_READY,
        detail=detail,
        retry_after=UNDECIDED_RETRY_DELAY,
    )


def _organisation(
    deployment: Deployment, route: Route, fields: RequestFields
) -> Organisation | None:
    if route.is_public and fields.key is None:
        return None
    if not deployment.has_organisations and not deployment.organisations_by_key:
        return None
    return deployment.organisations_by_key.get(fields.key or b"")


def _shared_prompt_id(fields: RequestFields) -> str:
    """Return the id of the last prompt part that a session's requests share."""
    if not fields.prompt:
        return ""
    return fields.prompt[-2 if len(fields.prompt) > 1 else -1].id


def _service(route: Route, request_key: bytes) -> ServiceId | None:
    total = sum(share.weight for share in route.shares)
    position = (
        unit_fraction(RolloutId(f"split:{route.name}"), UnitKey(request_key)) * total
    )
    for share in route.shares:
        position -= share.weight
        if position < 0:
            return share.service
    return route.shares[-1].service if route.shares else None
