"""Header sections of requests and answers."""

import pytest

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import EndpointId, ModelId, OrganisationId, RequestId
from fuchsiaroute.platform import (
    AnswerSubject,
    EventId,
    answer_subject,
    endpoint_headers,
    read_request,
    read_response,
)

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
