import json

from hypothesis import given, settings, strategies
from returns.result import Success

from examples import timberline
from fuchsiaroute.clock import ManualClock
from fuchsiaroute.gateway._headers import parse_headers, parse_key
from fuchsiaroute.gateway._limits import CallerLimits
from fuchsiaroute.gateway._parse import (
    ServicePath,
    parse_completion,
    parse_service_call,
)
from fuchsiaroute.ids import ServiceId
from fuchsiaroute.verdict import Verdict

CONFIGURATION = timberline.declare()
ORGANISATION = CONFIGURATION.organisations[3]
LIMITS = CallerLimits()
NAMES = (
    b"authorization",
    b"X-Request-Id",
    b"x-request-class",
    b"x-session-id",
    b"x-session-pin",
    b"x-timeout-ms",
    b"cookie",
)
VALUES = strategies.one_of(
    strategies.binary(max_size=40),
    strategies.sampled_from([b"10", b"stand-lookup", b"a-b_c:1", b"Bearer key", b""]),
)
HEADERS = strategies.lists(
    strategies.tuples(strategies.sampled_from(NAMES), VALUES), max_size=5
)
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(["messages", "model", "stream", "x"]), inner
        )
    ),
    max_leaves=10,
)
BODIES = strategies.one_of(
    strategies.binary(max_size=60),
    JSON_VALUES.map(lambda value: json.dumps(value).encode()),
    JSON_VALUES.map(lambda value: json.dumps({"messages": [value]}).encode()),
)
FUZZ = settings(derandomize=True, max_examples=400, database=None, deadline=None)


def is_refused_as_not_run(result):
    return result.failure().verdict is Verdict.NOT_RUN


@FUZZ
@given(headers=HEADERS, body=BODIES)
def test_arbitrary_input_is_parsed_or_refused(headers, body):
    key = parse_key(headers)
    assert isinstance(key, Success) or is_refused_as_not_run(key)
    parsed = parse_headers(headers, limits=LIMITS)
    if not isinstance(parsed, Success):
        assert is_refused_as_not_run(parsed)
        return
    caller_headers = parsed.unwrap()
    assert 0 < caller_headers.timeout <= LIMITS.max_deadline
    assert 0 < len(caller_headers.request_id) <= 128
    assert "/" not in caller_headers.request_id
    arguments = {
        "body": body,
        "headers": caller_headers,
        "organisation": ORGANISATION,
        "configuration": CONFIGURATION,
        "clock": ManualClock(),
    }
    results = (
        parse_completion(**arguments),
        parse_service_call(
            service=ServiceId("permit-app"),
            path=ServicePath("/permits/issue"),
            **arguments,
        ),
    )
    for result in results:
        if isinstance(result, Success):
            call = result.unwrap()
            assert call.body == body
            assert call.request.organisation == ORGANISATION.id
            assert call.request.id == caller_headers.request_id
        else:
            assert is_refused_as_not_run(result)
