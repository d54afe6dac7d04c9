import asyncio
import json

import httpx
import pytest
from returns.result import Failure, Success

from examples import timberline
from fuchsiaroute.clock import ManualClock, Milliseconds, SystemClock
from fuchsiaroute.dispatch import BrokenAnswerError
from fuchsiaroute.entry import Answer, CurrentConfiguration
from fuchsiaroute.gateway import Advice, CallerLimits, build_app
from fuchsiaroute.ids import Revision
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

KEY = timberline.example_key("county-03")
COMPLETIONS = "/v1/chat/completions"
GOOD_BODY = b'{"messages": [{"role": "user", "content": "open stands?"}]}'
LIMITS = CallerLimits(max_body=2_000, body_timeout=Milliseconds(5_000))


class FakePipeline:
    """Answers every call and records it."""

    def __init__(self):
        self.calls = []
        self.result = None

    async def handle(self, call):
        self.calls.append(call)
        if self.result is not None:
            if isinstance(self.result, Exception):
                raise self.result
            return self.result
        return Success(
            Answer(
                status=200,
                content_type="application/json",
                chunks=self._chunks(),
                version="sapling-1",
                endpoint="model-pool-0",
                pin="signed-pin",
            )
        )

    async def _chunks(self):
        yield b'{"ok": true}'


class FakeAdvice:
    def __init__(self):
        self.callers = []

    def advise(self, *, caller, failure_domain):
        self.callers.append(caller)
        return Advice(entries=(), lifetime=Milliseconds(1))


class Gateway:
    """The callers' application with a fake pipeline."""

    def __init__(self, *, clock=None, limits=LIMITS, is_ready=True):
        self.pipeline = FakePipeline()
        self.advice = FakeAdvice()
        current = CurrentConfiguration()
        if is_ready:
            current.apply(Revision(1), timberline.declare())
        app = build_app(
            pipeline=self.pipeline,
            current=current,
            advice=self.advice,
            clock=clock or SystemClock(),
            limits=limits,
        )
        transport = httpx.ASGITransport(app, raise_app_exceptions=False)
        self.client = httpx.AsyncClient(
            transport=transport, base_url="http://127.0.0.1"
        )

    async def post(self, path=COMPLETIONS, *, body=GOOD_BODY, headers=()):
        sent = [("authorization", f"Bearer {KEY}"), *headers]
        return await self.client.post(path, content=body, headers=sent)


def error_of(response):
    return response.json()["error"]


REFUSED_BODIES = [
    b"",
    b"nonsense",
    b"[]",
    b"null",
    b"{}",
    b'{"messages": []}',
    b'{"messages": [ ]}',
    b'{"messages": {}}',
    b'{"messages": "text"}',
    b'{"messages": [1], "stream": "yes"}',
    b'{"messages": [1], "model": 7}',
    b'{"messages": [1], "model": ""}',
    b'{"messages": [1], "model": "a b"}',
    b'{"messages": [1], "model": "' + b"x" * 200 + b'"}',
    b'{"messages": [1]',
    b"\xff\xfe{}",
    b'{"messages": ' + b"[" * 1_500,
    b'{"messages": [1], "x": ' + b"[" * 1_500,
]


@pytest.mark.parametrize("body", REFUSED_BODIES, ids=range(len(REFUSED_BODIES)))
async def test_malformed_body_is_refused_and_the_next_request_served(body):
    gateway = Gateway()
    response = await gateway.post(body=body)
    assert response.status_code == 400
    assert error_of(response)["reason"] == "invalid-request"
    assert error_of(response)["verdict"] == "not-run"
    assert gateway.pipeline.calls == []
    assert (await gateway.post()).status_code == 200


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        ([("x-timeout-ms", "0")], 400),
        ([("x-timeout-ms", "-5")], 400),
        ([("x-timeout-ms", "1e3")], 400),
        ([("x-timeout-ms", "600001")], 400),
        ([("x-timeout-ms", "9" * 5_000)], 400),
        ([("x-timeout-ms", "\u00b2".encode("latin-1"))], 400),
        ([("x-timeout-ms", "10"), ("x-timeout-ms", "10")], 400),
        ([("x-request-id", "a"), ("X-Request-Id", "b")], 400),
        ([("x-request-id", "a/../b")], 400),
        ([("x-request-id", "a\tb")], 400),
        ([("x-request-id", "x" * 129)], 400),
        ([("x-session-id", "s"), ("x-session-id", "s")], 400),
        ([("x-session-id", "s s")], 400),
        ([("x-session-pin", "p" * 2_049)], 400),
        ([("x-request-class", "unknown-class")], 400),
        ([("x-request-class", "stand lookup")], 400),
        ([("authorization", f"Bearer {KEY}")], 400),
    ],
)
async def test_invalid_header_is_refused_and_the_next_request_served(headers, status):
    gateway = Gateway()
    response = await gateway.post(headers=headers)
    assert response.status_code == status
    assert error_of(response)["verdict"] == "not-run"
    assert gateway.pipeline.calls == []
    assert (await gateway.post()).status_code == 200


@pytest.mark.parametrize(
    "authorization",
    [None, "", "Bearer ", "Bearer unknown-key", f"Basic {KEY}", f"Bearer {KEY} x"],
)
async def test_unknown_caller_is_refused(authorization):
    gateway = Gateway()
    headers = {} if authorization is None else {"authorization": authorization}
    response = await gateway.client.post(
        COMPLETIONS, content=GOOD_BODY, headers=headers
    )
    assert response.status_code in {400, 401}
    assert error_of(response)["verdict"] == "not-run"
    assert gateway.pipeline.calls == []


async def test_body_of_an_unauthenticated_request_is_not_read():
    gateway = Gateway()
    parts = []

    async def body():
        parts.append(1)
        yield GOOD_BODY

    response = await gateway.client.post(
        COMPLETIONS, content=body(), headers={"authorization": "Bearer unknown"}
    )
    assert response.status_code == 401
    assert parts == []


@pytest.mark.parametrize("is_streamed", [False, True])
async def test_oversized_body_is_refused(is_streamed):
    async def parts():
        for _ in range(3):
            yield b" " * 1_000

    gateway = Gateway()
    response = await gateway.post(body=parts() if is_streamed else b" " * 2_001)
    assert response.status_code == 413
    assert error_of(response)["reason"] == "too-large"
    assert error_of(response)["verdict"] == "not-run"
    assert response.headers["connection"] == "close"
    assert (await gateway.post()).status_code == 200


async def test_body_that_arrives_too_slowly_is_refused_at_the_timeout():
    clock = ManualClock()
    gateway = Gateway(clock=clock)

    async def body():
        yield b"{"
        await asyncio.Event().wait()

    sending = asyncio.create_task(gateway.post(body=body()))
    await clock.advance(Milliseconds(4_999))
    assert not sending.done()
    await clock.advance(Milliseconds(1))
    response = await sending
    assert response.status_code == 408
    assert error_of(response)["verdict"] == "not-run"
    assert gateway.pipeline.calls == []


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/", 404),
        ("GET", COMPLETIONS, 405),
        ("POST", "/v1/entries", 405),
        ("GET", "/metrics", 404),
        ("POST", "/v1/changes", 404),
        ("POST", "/v1/services/permit-app/unknown", 403),
        ("POST", "/v1/services/unknown/permits/issue", 403),
        ("POST", "/v1/services/permit-app/permits/%2e%2e/permits/issue", 403),
        ("POST", "/v1/services/permit-app/permits/issue%00", 403),
        ("POST", "/v1/services/permit-app/PERMITS/issue", 403),
    ],
)
async def test_unknown_path_has_a_typed_error(method, path, status):
    gateway = Gateway()
    response = await gateway.client.request(
        method, path, content=b"{}", headers={"authorization": f"Bearer {KEY}"}
    )
    assert response.status_code == status
    assert error_of(response)["verdict"] == "not-run"


async def test_an_entry_without_configuration_is_not_ready():
    response = await Gateway(is_ready=False).post()
    assert response.status_code == 503
    assert error_of(response)["reason"] == "not-ready"


@pytest.mark.parametrize(
    ("result", "status", "verdict"),
    [
        (ValueError("secret text"), 500, "may-have-run"),
        (
            Failure(
                Refusal(
                    reason=RefusalReason.DEADLINE,
                    verdict=Verdict.RUN,
                    message="late",
                    retry_after=Milliseconds(1_500),
                )
            ),
            504,
            "run",
        ),
    ],
)
async def test_failure_response_contains_the_verdict(result, status, verdict):
    gateway = Gateway()
    gateway.pipeline.result = result
    response = await gateway.post()
    assert response.status_code == status
    assert error_of(response)["verdict"] == verdict
    assert "secret text" not in response.text
    assert response.headers.get("retry-after", "2") == "2"


async def test_organisation_is_determined_by_the_key_alone():
    gateway = Gateway()
    body = json.dumps({"messages": [1], "organisation": "county-00"}).encode()
    response = await gateway.post(
        body=body, headers=[("x-organisation", "county-00"), ("x-request-id", "r:1")]
    )
    assert response.headers["x-model-version"] == "sapling-1"
    assert response.headers["x-session-pin"] == "signed-pin"
    assert response.headers["x-request-id"] == "r:1"
    (call,) = gateway.pipeline.calls
    assert call.request.organisation == "county-03"


@pytest.mark.parametrize("reason", RefusalReason)
async def test_every_reason_has_a_status(reason):
    gateway = Gateway()
    gateway.pipeline.result = Failure(
        Refusal(reason=reason, verdict=Verdict.NOT_RUN, message="m")
    )
    response = await gateway.post()
    assert 400 <= response.status_code < 600
    assert error_of(response)["reason"] == reason.value


async def test_answer_that_fails_before_its_first_byte_is_a_typed_error():
    async def broken():
        raise BrokenAnswerError("no progress within the timeout")
        yield b""

    gateway = Gateway()
    gateway.pipeline.result = Success(
        Answer(
            status=200,
            content_type="text/event-stream",
            chunks=broken(),
            version="sapling-1",
            endpoint="model-pool-0",
        )
    )
    response = await gateway.post()
    assert response.status_code == 502
    assert error_of(response)["verdict"] == "may-have-run"
    assert error_of(response)["reason"] == "endpoint-failed"


ISSUE = "/v1/services/permit-app/permits/issue"
UNKNOWN_CALL = "/v1/services/permit-app/permits/unknown"
CHOSEN = [("x-request-id", "permit-7")]


@pytest.mark.parametrize(
    ("is_ready", "path", "body", "headers", "verdict"),
    [
        # The same request may have run on another entry before.
        (False, ISSUE, b"{}", CHOSEN, "may-have-run"),
        (True, UNKNOWN_CALL, b"{}", CHOSEN, "may-have-run"),
        # An id that this entry generates has not been used before.
        (False, ISSUE, b"{}", [], "not-run"),
        (True, UNKNOWN_CALL, b"{}", [], "not-run"),
        # A malformed request cannot be the one that ran under this id.
        (True, ISSUE, b"nonsense", CHOSEN, "not-run"),
    ],
)
async def test_verdict_covers_earlier_attempts_with_the_same_id(
    is_ready, path, body, headers, verdict
):
    gateway = Gateway(is_ready=is_ready)
    response = await gateway.post(path, body=body, headers=headers)
    assert response.status_code >= 400
    assert error_of(response)["verdict"] == verdict
    assert gateway.pipeline.calls == []


async def test_callers_behind_one_address_are_separated_by_their_keys():
    gateway = Gateway()
    for key in ("key-a", "key-b", "key-a"):
        headers = {"authorization": f"Bearer {key}"}
        response = await gateway.client.get("/v1/entries", headers=headers)
        assert response.status_code == 200
    first, second, third = gateway.advice.callers
    assert first == third != second
