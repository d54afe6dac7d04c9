"""Limits on the parts of a request while it is received."""

import pytest

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.http1 import ServerLimits
from fuchsiaroute.http1._incoming_request import (
    FRAMING_BYTES,
    HEAD_SLACK_BYTES,
    IncomingRequest,
)

LIMITS = ServerLimits(
    header_bytes=400,
    body_bytes=64,
    header_timeout=Milliseconds(600),
    idle_timeout=Milliseconds(60_000),
)
NOW = Milliseconds(1)


@pytest.mark.parametrize(
    ("received", "body", "has_head", "status"),
    [
        (400 + HEAD_SLACK_BYTES, 0, False, None),
        # A field or empty lines without end, which the parser does not report.
        (401 + HEAD_SLACK_BYTES, 0, False, 431),
        (400 + FRAMING_BYTES, 0, True, None),
        # Chunk extensions or leading zeros of a chunk's size without end.
        (401 + FRAMING_BYTES, 0, True, 400),
        # A body in chunks of one byte is within the limits.
        (6 * 64 + 400, 64, True, None),
    ],
)
def test_framing_ends(
    received: int, body: int, has_head: bool, status: int | None
) -> None:
    request = IncomingRequest(is_head_complete=has_head, body=bytearray(body))
    assert request.count_received(received, LIMITS) == status


def test_chunks_take_no_more_than_their_bytes() -> None:
    """Guards against a body in chunks of two bytes that takes an object for each."""
    request = IncomingRequest()
    for _ in range(32):
        assert request.add_body(b"ab", LIMITS) is None
    assert request.held < 64 * 3
    assert request.add_body(b"c", LIMITS) == 413


def test_trailers_are_no_header_fields() -> None:
    """Guards against fields that are added after the header section was checked."""
    request = IncomingRequest(target=b"/")
    request.add_header(b"Host", b"x", LIMITS)
    assert request.complete_head(b"POST", NOW, LIMITS) is None
    assert request.add_header(b"X-Key", b"other", LIMITS) is None
    assert request.headers == [(b"Host", b"x")]
    assert request.add_header(b"X-More", b"a" * 400, LIMITS) == 431


def test_fields_are_counted_as_they_are_in_memory() -> None:
    request = IncomingRequest()
    for _ in range(50):
        request.add_header(b"a", b"", LIMITS)
    assert request.held > 50 * 100
