"""Decoders of rows, settings and header sections."""

import json

import pytest

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.deployment import RequestKind
from fuchsiaroute.ids import EndpointId, ModelId, OrganisationId, RequestId
from fuchsiaroute.platform import (
    AnswerSubject,
    DecodeError,
    DeploymentChanged,
    EvacuationEnded,
    EvacuationOrdered,
    EventId,
    NodeSettingsError,
    RolloutOrdered,
    RolloutOrderRemoved,
    Row,
    UnknownOrder,
    answer_subject,
    decode_endpoint,
    decode_order,
    endpoint_headers,
    parse_node_settings,
    read_request,
    read_response,
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


FORGED = [
    (b"X-Tenant", b"other"),
    (b"x-key", b"k1"),
    (b"X-Hold", b"h"),
    (b"X-Pin-Ms", b"1"),
    (b"X-Kv-Backup", b"b"),
    (b"Kv-From", b"f"),
    (b"X-Expect-Instance", b"e"),
    (b"X-Request-Priority", b"0"),
    (b"X-Deadline-Ms", b"99999"),
    (b"Connection", b"X-Private, keep-alive"),
    (b"X-Private", b"p"),
    (b"Transfer-Encoding", b"chunked"),
    (b"Expect", b"100-continue"),
]


def test_router_fields_replace_fields_forged_by_the_caller() -> None:
    kept = [(b"Host", b"a.example"), (b"X-Request-Id", b"q"), (b"X-Other", b"o")]
    headers = endpoint_headers(
        kept + FORGED,
        endpoint=EndpointId("i-1"),
        organisation=OrganisationId("o"),
        remaining=Milliseconds(1_234),
        priority=12,
        model=None,
        resume_after=None,
    )
    assert headers == [
        *kept,
        (b"X-Deadline-Ms", b"1234"),
        (b"X-Expect-Instance", b"i-1"),
        (b"X-Request-Priority", b"9"),
        (b"X-Tenant", b"o"),
    ]


def test_model_and_resume_position_replace_those_of_the_caller() -> None:
    headers = endpoint_headers(
        [(b"X-Model", b"*"), (b"Last-Event-Id", b"3")],
        endpoint=EndpointId("i-1"),
        organisation=None,
        remaining=Milliseconds(0),
        priority=0,
        model=ModelId("m0"),
        resume_after=EventId("8"),
    )
    assert (b"X-Model", b"m0") in headers
    assert (b"Last-Event-Id", b"8") in headers
    assert (b"X-Deadline-Ms", b"1") in headers
    assert len([name for name, _ in headers if name == b"X-Model"]) == 1
    assert len([name for name, _ in headers if name == b"Last-Event-Id"]) == 1


def test_request_fields() -> None:
    fields = read_request(
        [
            (b"Host", b"A.Example:80"),
            (b"X-Request-Id", b"q"),
            (b"X-Model", b"*"),
            (b"X-Token-Counts", b"1460,80"),
            (b"X-Prompt-Prefix", b"5c:800,91:410,bad,e4:250"),
            (b"X-Deadline-Ms", b"8000"),
        ]
    )
    assert fields.host == "a.example"
    assert fields.accepts_any_model
    assert [part.id for part in fields.prompt] == ["5c", "91", "e4"]
    assert (fields.prompt_tokens, fields.max_output_tokens) == (1460, 80)
    assert fields.timeout == 8_000


@pytest.mark.parametrize(
    ("status", "headers", "is_not_run"),
    [
        (503, [(b"X-Not-Executed", b"1")], True),
        (421, [], True),
        (503, [], False),
        (500, [], False),
        (200, [], False),
    ],
)
def test_only_an_explicit_guarantee_counts_as_not_run(
    status: int, headers: list[tuple[bytes, bytes]], is_not_run: bool
) -> None:
    assert read_response(status, headers).is_not_run is is_not_run


def test_confidence_is_a_fraction_of_one() -> None:
    assert read_response(200, [(b"X-Confidence", b"35")]).confidence == 0.35
    assert read_response(200, [(b"X-Confidence", b"?")]).confidence is None


@pytest.mark.parametrize(
    ("sent", "found", "subject"),
    [
        ("q", b"q", AnswerSubject.THIS),
        ("q", b"other", AnswerSubject.OTHER),
        # It may be an earlier answer that the endpoint has written again.
        ("q", None, AnswerSubject.UNNAMED),
        (None, None, AnswerSubject.THIS),
        (None, b"other", AnswerSubject.THIS),
    ],
)
def test_response_is_matched_by_request_id(
    sent: str | None, found: bytes | None, subject: AnswerSubject
) -> None:
    headers = [] if found is None else [(b"x-request-id", found)]
    request_id = None if sent is None else RequestId(sent)
    assert answer_subject(request_id, headers) is subject


@pytest.mark.parametrize(
    ("name", "value", "is_readable"),
    [
        (b"X-Token-Counts", b"340,20", True),
        (b"X-Token-Counts", b"340,many", False),
        (b"X-Prompt-Prefix", b"ab:300,cd:40", True),
        (b"X-Prompt-Prefix", b"ab:300,cd", False),
        (b"X-Deadline-Ms", b"4000", True),
        (b"X-Deadline-Ms", b"soon", False),
        (b"X-Length-Hint", b"-1", False),
        (b"X-Deadline-Ms", b"4" * 5_000, False),
        (b"X-Token-Counts", b"340," + b"2" * 5_000, False),
        (b"X-Prompt-Prefix", b"ab:" + b"3" * 5_000, False),
        (b"X-Request-Id", b"anything", True),
    ],
)
def test_malformed_request_fields_are_listed(
    name: bytes, value: bytes, is_readable: bool
) -> None:
    unreadable = read_request([(name, value)]).unreadable
    assert unreadable == (() if is_readable else (name.decode().lower(),))


@pytest.mark.parametrize(
    ("value", "is_readable"), [(b"35", True), (b"?", False), (b"nan", False)]
)
def test_malformed_confidence_is_listed(value: bytes, is_readable: bool) -> None:
    fields = read_response(200, [(b"X-Confidence", value)])
    assert fields.unreadable == (() if is_readable else ("x-confidence",))
    assert (fields.confidence is not None) is is_readable


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"2", 2_000),
        (b"0.25", 250),
        (b" 3 ", 3_000),
        (b"0", 0),
        (b"-4", 0),
        (b"31536000000", 30 * 24 * 3_600_000),
        (b"1e400", None),
        (b"nan", None),
        (b"soon", None),
        (b"", None),
        (b"Fri, 04 Dec 2026 06:00:00 GMT", None),
    ],
)
def test_pause_that_an_endpoint_asks_for(value: bytes, expected: int | None) -> None:
    fields = read_response(503, [(b"Retry-After", value)])
    assert fields.back_off == expected
    assert fields.unreadable == (("retry-after",) if expected is None else ())


@pytest.mark.parametrize("status", [200, 429, 500, 502])
def test_retry_after_of_other_statuses_is_not_a_pause(status: int) -> None:
    assert read_response(status, [(b"Retry-After", b"2")]).back_off is None


@pytest.mark.parametrize(
    ("status", "value", "expected"),
    [
        (200, b"1", True),
        (500, b"1", True),
        (503, b"1", True),
        (200, b"0", False),
        (200, b"yes", False),
        # The answer is another endpoint's, which has taken over the address.
        (421, b"1", False),
    ],
)
def test_endpoint_that_is_leaving(status: int, value: bytes, expected: bool) -> None:
    assert read_response(status, [(b"Server-Leaving", value)]).is_leaving is expected


@pytest.mark.parametrize(
    ("status", "value", "expected"),
    [
        (200, b"2.0", 2.0),
        (200, b"0.25", 0.25),
        (503, b" 3 ", 3.0),
        (500, b"0", 0.0),
        (200, b"-1", None),
        (200, b"inf", None),
        (200, b"nan", None),
        (200, b"few", None),
        (200, b"", None),
    ],
)
def test_rate_that_an_endpoint_names(
    status: int, value: bytes, expected: float | None
) -> None:
    fields = read_response(status, [(b"Server-Limit", value)])
    assert fields.request_rate == expected
    assert fields.unreadable == (("server-limit",) if expected is None else ())


def test_rate_of_another_endpoint_is_not_read() -> None:
    """The answer is another endpoint's, which has taken over the address."""
    assert read_response(421, [(b"Server-Limit", b"2")]).request_rate is None


@pytest.mark.parametrize(
    ("status", "value", "expected"),
    [
        (200, b"4", 4.0),
        (503, b" 2.5 ", 2.5),
        (500, b"0", 0.0),
        (200, b"-1", None),
        (200, b"inf", None),
        (200, b"few", None),
    ],
)
def test_rejections_that_an_endpoint_tolerates(
    status: int, value: bytes, expected: float | None
) -> None:
    fields = read_response(status, [(b"Server-Brittle", value)])
    assert fields.rejection_tolerance == expected
    assert fields.is_tolerance_unreadable is (expected is None)
    assert fields.unreadable == (("server-brittle",) if expected is None else ())


def test_tolerance_of_another_endpoint_is_not_read() -> None:
    """The answer is another endpoint's, which has taken over the address."""
    assert read_response(421, [(b"Server-Brittle", b"2")]).rejection_tolerance is None
