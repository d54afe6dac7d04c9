"""Decoding of what operators and endpoints write to the store."""

from typing import Any

import msgspec

from fuchsiaroute.clock import Milliseconds
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

_MS = 1_000
_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAMING,
}
#: Endpoint states that are known; an entry in any other is not used.
_IS_DRAINING = {"ready": False, "draining": True}
_DEFAULT_TIMEOUT_MS = 30_000.0
#: Longest pause of a stream whose route states none.
_DEFAULT_PAUSE_MS = 1_000.0


class DecodeError(Exception):
    """A row of the store that does not hold what it should."""


class _Split(msgspec.Struct):
    Service: str
    Weight: float = 1.0


class _Route(msgspec.Struct):
    Host: str
    Prefix: str
    Kind: str
    Name: str = ""
    TimeoutMs: float = _DEFAULT_TIMEOUT_MS
    # The time for full credit, not a bound on the response.
    TargetLatencyMs: float = 0.0
    Priority: int = 0
    Sizes: list[str] = []
    Service: str | None = None
    TrafficSplit: list[_Split] = []
    # Counts endpoints that one request is sent to, the first one included.
    MaxAttempts: int = 1
    Public: bool = False
    Resumable: bool = False
    GapTargetMs: float = _DEFAULT_PAUSE_MS


class _Model(msgspec.Struct):
    Name: str
    Cost: float = 0.0


class _Engine(msgspec.Struct):
    Slots: int = 1
    KvCapacityTokens: int = 0
    Models: list[_Model] = []


class _Service(msgspec.Struct):
    Name: str
    MaxConnections: int = 100
    ColdStartS: float = 0.0
    ColdPerS: float = 0.0
    Engine: _Engine | None = None


class _Limits(msgspec.Struct):
    MaxHeaderBytes: int = 16_384
    MaxBodyBytes: int = 4_194_304
    HeaderTimeoutMs: float = 3_000.0
    IdleTimeoutMs: float = 15_000.0


class _Tenant(msgspec.Struct):
    Name: str
    ApiKeys: list[str] = []
    Priority: int | None = None


class _Configuration(msgspec.Struct):
    Version: int
    Routes: list[_Route] = []
    Services: list[_Service] = []
    Limits: _Limits = msgspec.field(default_factory=_Limits)
    Tenants: list[_Tenant] | None = None


class _Endpoint(msgspec.Struct):
    Service: str
    Address: str
    Zone: str
    Version: str
    Slots: int
    State: str
    # Remaining time, counted from when the entry was written.
    ColdLeftMs: float = 0.0
    born: int = 0


class _Rollout(msgspec.Struct):
    Service: str
    # The version to move to.
    To: str
    DurationS: float


_CONFIGURATION = msgspec.json.Decoder(_Configuration)
_ENDPOINT = msgspec.json.Decoder(_Endpoint)
_ROLLOUT = msgspec.json.Decoder(_Rollout)


def decode_deployment(value: bytes) -> Deployment:
    """Decode the operators' configuration; raises ``DecodeError``."""
    found = _decode(_CONFIGURATION, value)
    organisations = {
        key.encode(): Organisation(
            id=OrganisationId(tenant.Name), priority=tenant.Priority
        )
        for tenant in found.Tenants or ()
        for key in tenant.ApiKeys
    }
    return Deployment(
        version=found.Version,
        routes=tuple(_route(item) for item in found.Routes if item.Kind in _KINDS),
        services={ServiceId(item.Name): _service(item) for item in found.Services},
        organisations_by_key=organisations,
        has_organisations=bool(found.Tenants),
        limits=Limits(
            max_header_bytes=found.Limits.MaxHeaderBytes,
            max_body_bytes=found.Limits.MaxBodyBytes,
            header_timeout=_ms(found.Limits.HeaderTimeoutMs),
            idle_timeout=_ms(found.Limits.IdleTimeoutMs),
        ),
    )


def decode_endpoint(id: str, value: bytes) -> Endpoint:
    """Decode an endpoint's announcement; raises ``DecodeError``."""
    found = _decode(_ENDPOINT, value)
    host, _, port = found.Address.rpartition(":")
    if found.State not in _IS_DRAINING or not host or not port.isdigit():
        raise DecodeError(f"state {found.State!r}, address {found.Address!r}")
    if found.Slots <= 0:
        raise DecodeError(f"{found.Slots} slots")
    return Endpoint(
        id=EndpointId(id),
        service=ServiceId(found.Service),
        host=host,
        port=int(port),
        failure_domain=FailureDomainId(found.Zone),
        version=VersionId(found.Version),
        slots=found.Slots,
        is_draining=_IS_DRAINING[found.State],
        cold_remaining=_ms(found.ColdLeftMs),
        started_at=Milliseconds(found.born),
    )


def decode_rollout_order(value: bytes, *, revision: int) -> RolloutOrder:
    """Decode the order to move a service to another version; see ``DecodeError``."""
    found = _decode(_ROLLOUT, value)
    return RolloutOrder(
        service=ServiceId(found.Service),
        target=VersionId(found.To),
        duration=_ms(found.DurationS * _MS),
        revision=revision,
    )


def _decode(decoder: msgspec.json.Decoder[Any], value: bytes) -> Any:
    try:
        return decoder.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise DecodeError(str(error)) from error


def _route(found: _Route) -> Route:
    shares = [(item.Service, item.Weight) for item in found.TrafficSplit]
    if not shares and found.Service:
        shares = [(found.Service, 1.0)]
    return Route(
        name=found.Name,
        host=found.Host.lower(),
        prefix=found.Prefix,
        kind=_KINDS[found.Kind],
        timeout=_ms(found.TimeoutMs),
        latency_target=_ms(found.TargetLatencyMs),
        priority=found.Priority,
        models=tuple(ModelId(name) for name in found.Sizes),
        shares=tuple(
            ServiceShare(service=ServiceId(name), weight=weight)
            for name, weight in shares
            if weight > 0
        ),
        max_attempts=max(found.MaxAttempts, 1),
        is_public=found.Public,
        is_resumable=found.Resumable,
        max_event_gap=_ms(found.GapTargetMs),
    )


def _service(found: _Service) -> Service:
    engine = None
    if found.Engine is not None:
        engine = EngineProfile(
            slots=found.Engine.Slots,
            kv_cache_tokens=found.Engine.KvCapacityTokens,
            models=tuple(
                EngineModel(id=ModelId(item.Name), cost=item.Cost)
                for item in found.Engine.Models
            ),
        )
    return Service(
        id=ServiceId(found.Name),
        max_connections=found.MaxConnections,
        cold_period=_ms(found.ColdStartS * _MS),
        cold_requests_per_second=found.ColdPerS,
        engine=engine,
    )


def _ms(value: float) -> Milliseconds:
    return Milliseconds(round(value))
