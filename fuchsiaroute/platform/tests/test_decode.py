"""Decoders of rows and settings."""

import json

import pytest

from fuchsiaroute.deployment import RequestKind
from fuchsiaroute.ids import ModelId
from fuchsiaroute.platform import (
    DecodeError,
    DeploymentChanged,
    EvacuationEnded,
    EvacuationOrdered,
    NodeSettingsError,
    RolloutOrdered,
    RolloutOrderRemoved,
    Row,
    UnknownOrder,
    decode_endpoint,
    decode_order,
    parse_node_settings,
)
from fuchsiaroute.store import StorePosition

ENTRY = {
    "Service": "s",
    "Address": "10.0.0.1:80",
    "Zone": "z",
    "Version": "v1",
    "Slots": 4,
    "State": "ready",
    "ColdLeftMs": 30,
    "Seq": 9,
    "born": 77,
}
CONFIGURATION = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r1",
            "Host": "A.example",
            "Prefix": "/a/",
            "Kind": "streaming",
            "TimeoutMs": 8000,
            "TargetLatencyMs": 2000,
            "Priority": 1,
            "Sizes": ["m0", "m1"],
            "TrafficSplit": [{"Service": "s", "Weight": 90}],
            "MaxAttempts": 3,
            "Resumable": True,
            "GapTargetMs": 1000,
        },
        {"Host": "a.example", "Prefix": "/a/b/", "Kind": "idempotent", "Service": "t"},
        {"Host": "a.example", "Prefix": "/a/c/", "Kind": "new-kind", "Service": "t"},
    ],
    "Services": [
        {"Name": "s", "MaxConnections": 620, "ColdStartS": 3.0, "ColdPerS": 16}
    ],
    "Tenants": [{"Name": "o", "ApiKeys": ["k1", "k2"], "Priority": 0}],
}
SETTINGS = """NodeName=edge-1
Zone=z1
Region=r
Ip=10.1.0.40
Listen.Frontend=10.1.0.40:8227
Listen.Readiness=10.1.0.40:8220
Listen.Directory=10.1.0.40:8224
PortRange=7340,7355
Platform.Address=10.200.1.7:8223
Limits.MemoryMb=300
Bounds.GraceS=8
Bounds.BudgetRatio=0.9
New.Field=ignored
"""


def row(key: str, value: object, revision: int = 5) -> Row:
    data = None if value is None else json.dumps(value).encode()
    return Row(key=key, value=data, revision=revision)


@pytest.mark.parametrize(
    "change",
    [
        {"State": "resting"},
        {"State": None},
        {"Service": 5},
        {"Address": "nowhere"},
        {"Address": "10.0.0.1:x"},
        {"Slots": 0},
        {"Slots": "four"},
        {"Version": None},
        {"Address": "10.0.0.1:\u00b2"},
        {"Address": "10.0.0.1:" + "8" * 5_000},
        {"Address": "10.0.0.1:70000"},
        {"Address": "10.0.0.1:0"},
        {"Address": "10.0.0.1 :80"},
        {"Address": "a\u0000b:80"},
        {"Slots": 10**400},
        {"born": 2**70},
        {"ColdLeftMs": 1e300},
    ],
)
def test_announcement_with_an_invalid_field_is_rejected(change: dict) -> None:
    with pytest.raises(DecodeError):
        decode_endpoint("i", json.dumps({**ENTRY, **change}).encode())


@pytest.mark.parametrize("field", ["Service", "Address", "Zone", "Version", "State"])
def test_announcement_without_a_required_field_is_rejected(field: str) -> None:
    entry = {name: value for name, value in ENTRY.items() if name != field}
    with pytest.raises(DecodeError):
        decode_endpoint("i", json.dumps(entry).encode())


#: Nested more deeply than decoders allow, also in a field that they skip.
NESTED = b'{"Unknown":' + b"[" * 5_000 + b"]" * 5_000 + b"}"


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b"{", NESTED])
def test_announcement_that_is_not_a_json_object_is_rejected(value: bytes) -> None:
    with pytest.raises(DecodeError):
        decode_endpoint("i", value)


@pytest.mark.parametrize("id", ["i\r\nX-Other: 1", "i\u0000", "\u65e5\u672c"])
def test_announcement_under_an_id_that_no_header_can_carry_is_rejected(id: str) -> None:
    """Guards against requests to the endpoint that all fail with 500."""
    with pytest.raises(DecodeError):
        decode_endpoint(id, json.dumps(ENTRY).encode())


def test_announcement() -> None:
    endpoint = decode_endpoint("i", json.dumps(ENTRY).encode())
    assert (endpoint.host, endpoint.port) == ("10.0.0.1", 80)
    assert endpoint.cold_remaining == 30
    assert endpoint.started_at == 77
    assert not endpoint.is_draining


def test_declaration() -> None:
    change = decode_order(row("config", CONFIGURATION))
    assert isinstance(change, DeploymentChanged)
    deployment = change.deployment
    route = deployment.find_route("a.example", "/a/x")
    assert route is not None
    assert route.kind is RequestKind.STREAMING
    assert route.is_repeatable
    assert route.models == (ModelId("m0"), ModelId("m1"))
    longer = deployment.find_route("a.example", "/a/b/x")
    assert longer is not None
    assert longer.shares[0].service == "t"
    assert deployment.find_route("a.example", "/a") is None
    assert deployment.find_route("b.example", "/a/x") is None
    assert deployment.organisations_by_key[b"k2"].id == "o"
    assert deployment.organisations_by_key[b"k2"].priority == 0


@pytest.mark.parametrize(
    ("key", "value", "kind"),
    [
        ("rollout/s", {"Service": "s", "To": "v2", "DurationS": 12}, RolloutOrdered),
        ("rollout/s", None, RolloutOrderRemoved),
        ("rollout/s", {"Service": "s"}, UnknownOrder),
        ("evacuate/z", {}, EvacuationOrdered),
        ("evacuate/z", None, EvacuationEnded),
        ("config", {"Version": "seven"}, UnknownOrder),
        ("something-new", {}, UnknownOrder),
    ],
)
def test_orders(key: str, value: object, kind: type) -> None:
    assert isinstance(decode_order(row(key, value)), kind)


@pytest.mark.parametrize(
    "value",
    [
        NESTED,
        b'{"Service": "s", "To": "v2", "DurationS": 1e308}',
        b'{"Version": 7, "Services": [{"Name": "s", "ColdStartS": 1.7e308}]}',
        b'{"Version": 1' + b"0" * 400 + b"}",
    ],
)
@pytest.mark.parametrize("key", ["rollout/s", "config"])
def test_order_that_raises_another_error_in_the_decoder_is_unreadable(
    key: str, value: bytes
) -> None:
    """Guards against an order that stops all later ones, as its row is read again."""
    found = decode_order(Row(key=key, value=value, revision=StorePosition(3)))
    assert isinstance(found, UnknownOrder)


def test_settings() -> None:
    settings = parse_node_settings(SETTINGS)
    assert str(settings.frontend) == "10.1.0.40:8227"
    assert settings.peer_ports == (7340, 7355)
    assert settings.bounds.grace == 8_000
    assert settings.bounds.drain == 2_000


@pytest.mark.parametrize(
    ("line", "fault"),
    [
        ("Ip=", "Ip is missing"),
        ("Platform.Address=nowhere", "Platform.Address is not an address"),
        ("Bounds.GraceS=long", "Bounds.GraceS is not a number"),
        ("PortRange=7340", "PortRange is not a pair of ports"),
        ("PortRange=7340,\u00b2", "PortRange is not a pair of ports"),
        ("PortRange=7340,70000", "PortRange is not a pair of ports"),
        ("Platform.Address=10.200.1.7:70000", "Platform.Address is not an address"),
        ("Platform.Address=10.200.1.7:\u00b2", "Platform.Address is not an address"),
        ("Bounds.GraceS=nan", "Bounds.GraceS is not a number"),
        ("Bounds.GraceS=1e400", "Bounds.GraceS is not a number"),
        ("Limits.MemoryMb=inf", "Limits.MemoryMb is not a number"),
    ],
)
def test_error_of_faulty_settings_states_the_fault(line: str, fault: str) -> None:
    with pytest.raises(NodeSettingsError, match=fault):
        parse_node_settings(SETTINGS + line + "\n")
