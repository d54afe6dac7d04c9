"""HTTP/1.1 messages and their encoding."""

from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus

from fuchsiaroute.clock import Milliseconds

#: Header fields in the order received, names in their original case.
Headers = list[tuple[bytes, bytes]]

#: Hop-by-hop fields (RFC 9110, section 7.6.1), and those that each hop generates.
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


@dataclass(frozen=True, kw_only=True, slots=True)
class InboundRequest:
    """A complete request of a caller."""

    method: bytes
    #: Path and query exactly as received.
    target: bytes
    headers: Headers
    body: bytes
    #: Monotonic time at which the header section was complete.
    arrived_at: Milliseconds
    #: Whether the request frames a body, possibly an empty one, by length or chunks.
    has_body: bool

    @property
    def path(self) -> bytes:
        """Return the target without its query."""
        return self.target.partition(b"?")[0]


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of the field with the lower-case ``name``."""
    for field, value in headers:
        if field.lower() == name:
            return value
    return None


def end_to_end_headers(headers: Headers, *, excluded: frozenset[bytes]) -> Headers:
    """
    Return the end-to-end fields, which a proxy forwards.

    Leaves out hop-by-hop fields, the fields that ``Connection`` lists, and the
    lower-case names in ``excluded``.
    """
    connection = find_header(headers, b"connection")
    dropped = _HOP_BY_HOP | excluded
    if connection is not None:
        dropped |= {item.strip().lower() for item in connection.split(b",")}
    return [item for item in headers if item[0].lower() not in dropped]


def encode_request(
    method: bytes, target: bytes, headers: Headers, body: bytes, *, has_body: bool
) -> bytes:
    """Return the bytes of a request; ``Content-Length`` is added if it has a body."""
    lines = [b"%s %s HTTP/1.1\r\n" % (method, target), *_lines(headers)]
    if has_body:
        lines.append(b"Content-Length: %d\r\n" % len(body))
    lines.append(b"\r\n")
    if body:
        lines.append(body)
    return b"".join(lines)


def encode_response_head(status: int, headers: Headers) -> bytes:
    """Return the status line and the header section of a response."""
    reason = _REASONS.get(status, b"Status")
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, reason), *_lines(headers), b"\r\n"]
    return b"".join(lines)


def _lines(headers: Iterable[tuple[bytes, bytes]]) -> list[bytes]:
    return [b"%s: %s\r\n" % item for item in headers]
