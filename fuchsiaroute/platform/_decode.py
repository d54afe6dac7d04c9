"""Decoders of the rows that operators and endpoints write to the store."""

from typing import Any

import msgspec

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.decoding import Int64, MalformedDataError, Number, decode
from fuchsiaroute.deployment import (
    Deployment,
    Endpoint,
    EngineModel,
    EngineProfile,
    Limits,
    Organisation,
    RequestKind,
    RolloutOrder,
    Route,
    Service,
    ServiceShare,
)
from fuchsiaroute.ids import (
    EndpointId,
    FailureDomainId,
    ModelId,
    OrganisationId,
    ServiceId,
    VersionId,
)
from fuchsiaroute.platform._address import parse_address

MILLISECONDS_PER_SECOND = 1_000
_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAMING,
}
#: Known endpoint states; an announcement with any other state is rejected.
_IS_DRAINING = {"ready": False, "draining": True}
_DEFAULT_TIMEOUT_MS = 30_000.0
#: Maximum pause between two events of a stream, for routes that state none.
_DEFAULT_MAX_EVENT_GAP_MS = 1_000.0


class DecodeError(Exception):
    """A row of the store is malformed; the message states the fault."""


class _Split(msgspec.Struct):
    Service: str
    Weight: Number = 1.0


class _Route(msgspec.Struct):
    Host: str
    Prefix: str
    Kind: str
    Name: str = ""
    TimeoutMs: Number = _DEFAULT_TIMEOUT_MS
    # Response time that counts as on target; not a timeout.
    TargetLatencyMs: Number = 0.0
    Priority: Int64 = 0
    Sizes: list[str] = []
    Service: str | None = None
    TrafficSplit: list[_Split] = []
    # Endpoints that one request may be sent to, the first one included.
    MaxAttempts: Int64 = 1
    Public: bool = False
    Resumable: bool = False
    GapTargetMs: Number = _DEFAULT_MAX_EVENT_GAP_MS


class _Model(msgspec.Struct):
    Name: str
    Cost: Number = 0.0


class _Engine(msgspec.Struct):
    Slots: Int64 = 1
    KvCapacityTokens: Int64 = 0
    Models: list[_Model] = []


class _Service(msgspec.Struct):
    Name: str
    MaxConnections: Int64 = 100
    ColdStartS: Number = 0.0
    ColdPerS: Number = 0.0
    Engine: _Engine | None = None


class _Limits(msgspec.Struct):
    MaxHeaderBytes: Int64 = 16_384
    MaxBodyBytes: Int64 = 4_194_304
    HeaderTimeoutMs: Number = 3_000.0
    IdleTimeoutMs: Number = 15_000.0


class _Tenant(msgspec.Struct):
    Name: str
    ApiKeys: list[str] = []
    Priority: Int64 | None = None


class _Configuration(msgspec.Struct):
    Version: Int64
    Routes: list[_Route] = []
    Services: list[_Service] = []
    Limits: _Limits = msgspec.field(default_factory=_Limits)
    Tenants: list[_Tenant] | None = None


class _Endpoint(msgspec.Struct):
    Service: str
    Address: str
    Zone: str
    Version: str
    Slots: Int64
    State: str
    # Cold time that remained when the announcement was written.
    ColdLeftMs: Number = 0.0
    born: Int64 = 0


class _Rollout(msgspec.Struct):
    Service: str
    # Target version.
    To: str
    DurationS: Number


_CONFIGURATION_DECODER = msgspec.json.Decoder(_Configuration)
_ENDPOINT_DECODER = msgspec.json.Decoder(_Endpoint)
_ROLLOUT_DECODER = msgspec.json.Decoder(_Rollout)


def decode_deployment(value: bytes) -> Deployment:
    """Decode the operators' configuration; raises ``DecodeError``."""
    decoded = _decode(_CONFIGURATION_DECODER, value)
    organisations = {
        key.encode(): Organisation(
            id=OrganisationId(tenant.Name), priority=tenant.Priority
        )
        for tenant in decoded.Tenants or ()
        for key in tenant.ApiKeys
    }
    return Deployment(
        version=decoded.Version,
        routes=tuple(_route(item) for item in decoded.Routes if item.Kind in _KINDS),
        services={ServiceId(item.Name): _service(item) for item in decoded.Services},
        organisations_by_key=organisations,
        has_organisations=bool(decoded.Tenants),
        limits=Limits(
            max_header_bytes=decoded.Limits.MaxHeaderBytes,
            max_body_bytes=decoded.Limits.MaxBodyBytes,
            header_timeout=_ms(decoded.Limits.HeaderTimeoutMs),
            idle_timeout=_ms(decoded.Limits.IdleTimeoutMs),
        ),
    )


def decode_endpoint(id: str, value: bytes) -> Endpoint:
    """Decode the announcement of endpoint ``id``; raises ``DecodeError``."""
    decoded = _decode(_ENDPOINT_DECODER, value)
    address = parse_address(decoded.Address)
    if decoded.State not in _IS_DRAINING or address is None or not address.port:
        raise DecodeError(
            f"unknown state or malformed address: state {decoded.State!r}, "
            f"address {decoded.Address!r}"
        )
    if not _is_header_value(id):
        raise DecodeError("the id cannot be sent in a header")
    if decoded.Slots <= 0:
        raise DecodeError(f"the number of slots must be positive, got {decoded.Slots}")
    return Endpoint(
        id=EndpointId(id),
        service=ServiceId(decoded.Service),
        host=address.host,
        port=address.port,
        failure_domain=FailureDomainId(decoded.Zone),
        version=VersionId(decoded.Version),
        slots=decoded.Slots,
        is_draining=_IS_DRAINING[decoded.State],
        cold_remaining=_ms(decoded.ColdLeftMs),
        started_at=Milliseconds(decoded.born),
    )


def decode_rollout_order(value: bytes, *, revision: int) -> RolloutOrder:
    """Decode an order to roll out a version of a service; raises ``DecodeError``."""
    decoded = _decode(_ROLLOUT_DECODER, value)
    return RolloutOrder(
        service=ServiceId(decoded.Service),
        target=VersionId(decoded.To),
        duration=_ms(decoded.DurationS * MILLISECONDS_PER_SECOND),
        revision=revision,
    )


def _decode(decoder: msgspec.json.Decoder[Any], value: bytes) -> Any:
    try:
        return decode(decoder, value)
    except MalformedDataError as error:
        raise DecodeError(str(error)) from error


def _is_header_value(text: str) -> bool:
    """Return whether an endpoint's id can name it in the requests to it."""
    return text.isprintable() and all(ord(character) <= 0xFF for character in text)


def _route(decoded: _Route) -> Route:
    shares = [(item.Service, item.Weight) for item in decoded.TrafficSplit]
    if not shares and decoded.Service:
        shares = [(decoded.Service, 1.0)]
    return Route(
        name=decoded.Name,
        host=decoded.Host.lower(),
        prefix=decoded.Prefix,
        kind=_KINDS[decoded.Kind],
        timeout=_ms(decoded.TimeoutMs),
        latency_target=_ms(decoded.TargetLatencyMs),
        priority=decoded.Priority,
        models=tuple(ModelId(name) for name in decoded.Sizes),
        shares=tuple(
            ServiceShare(service=ServiceId(name), weight=weight)
            for name, weight in shares
            if weight > 0
        ),
        max_attempts=max(decoded.MaxAttempts, 1),
        is_public=decoded.Public,
        is_resumable=decoded.Resumable,
        max_event_gap=_ms(decoded.GapTargetMs),
    )


def _service(decoded: _Service) -> Service:
    engine = None
    if decoded.Engine is not None:
        engine = EngineProfile(
            slots=decoded.Engine.Slots,
            kv_cache_tokens=decoded.Engine.KvCapacityTokens,
            models=tuple(
                EngineModel(id=ModelId(item.Name), cost=item.Cost)
                for item in decoded.Engine.Models
            ),
        )
    return Service(
        id=ServiceId(decoded.Name),
        max_connections=decoded.MaxConnections,
        cold_period=_ms(decoded.ColdStartS * MILLISECONDS_PER_SECOND),
        cold_requests_per_second=decoded.ColdPerS,
        engine=engine,
    )


def _ms(value: float) -> Milliseconds:
    return Milliseconds(round(value))
