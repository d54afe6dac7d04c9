"""A request while it is being received, and the limits on what is received."""

from dataclasses import dataclass, field

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.http1._messages import Headers, InboundRequest, find_header

#: Bytes of a header field in addition to name and value: colon, space and line end.
FIELD_OVERHEAD_BYTES = 4
#: Memory of a header field in addition to name and value: a tuple and two objects.
FIELD_MEMORY_BYTES = 130
#: Memory of a request in addition to its fields and body.
REQUEST_MEMORY_BYTES = 600
#: Bytes before and after a header section that do not count as fields: the request
#: line, empty lines, and the part of a field that has arrived so far.
HEAD_SLACK_BYTES = 8 * 1024
#: Bytes of a body's framing beyond those for each of its bytes: one chunk of a single
#: byte has five. A body of chunk extensions or leading zeros never ends otherwise.
FRAMING_BYTES = 64 * 1024
FRAMING_BYTES_PER_BODY_BYTE = 8

_BAD_REQUEST, _TOO_LARGE, _HEAD_TOO_LARGE, _NOT_IMPLEMENTED = 400, 413, 431, 501


@dataclass(frozen=True, kw_only=True)
class ServerLimits:
    """Limits on the size of requests and timeouts for receiving them."""

    header_bytes: int
    body_bytes: int
    #: From the first byte of a request to the end of its header section.
    header_timeout: Milliseconds
    #: Maximum time without a request, or between two parts of a body.
    idle_timeout: Milliseconds


@dataclass(slots=True)
class IncomingRequest:
    """
    The parts of a request that have arrived.

    Methods that add a part return the status with which to reject it, or None.
    """

    method: bytes = b""
    target: bytes = b""
    headers: Headers = field(default_factory=list)
    #: One object for all chunks: an object for each would take many times their bytes.
    body: bytearray = field(default_factory=bytearray)
    header_bytes: int = 0
    #: Bytes that have been received for the request, with all framing.
    received: int = 0
    arrived_at: Milliseconds = Milliseconds(0)
    is_head_complete: bool = False
    has_body: bool = False

    @property
    def held(self) -> int:
        """Return the memory that the request takes, in bytes."""
        fields = self.header_bytes + FIELD_MEMORY_BYTES * len(self.headers)
        return fields + len(self.target) + self.body.__sizeof__()

    def add_target(self, part: bytes, limits: ServerLimits) -> int | None:
        """Add a part of the request target."""
        self.target += part
        return self._count_header_bytes(len(part), limits)

    def add_header(self, name: bytes, value: bytes, limits: ServerLimits) -> int | None:
        """Add a header field; a trailer is counted and dropped."""
        if not self.is_head_complete:
            self.headers.append((name, value))
        size = len(name) + len(value) + FIELD_OVERHEAD_BYTES
        return self._count_header_bytes(size, limits)

    def complete_head(
        self, method: bytes, now: Milliseconds, limits: ServerLimits
    ) -> int | None:
        """Check the header section."""
        self.method = method
        self.arrived_at = now
        self.is_head_complete = True
        hosts = 0
        for name, value in self.headers:
            header = name.lower()
            if header == b"host":
                hosts += 1
            elif header == b"transfer-encoding":
                self.has_body = True
                if value.strip().lower() != b"chunked":
                    return _NOT_IMPLEMENTED
            elif header == b"content-length":
                self.has_body = True
                if int(value) > limits.body_bytes:
                    return _TOO_LARGE
        is_valid = hosts == 1 and self.target.startswith(b"/")
        return None if is_valid else _BAD_REQUEST

    def add_body(self, part: bytes, limits: ServerLimits) -> int | None:
        """Add a part of the body."""
        if len(self.body) + len(part) > limits.body_bytes:
            return _TOO_LARGE
        self.body += part
        return None

    def count_received(self, size: int, limits: ServerLimits) -> int | None:
        """Count received bytes; a request that is all framing is rejected."""
        self.received += size
        framing = self.received - len(self.body)
        if not self.is_head_complete:
            most = limits.header_bytes + HEAD_SLACK_BYTES
            return _HEAD_TOO_LARGE if framing > most else None
        most = (
            limits.header_bytes
            + FRAMING_BYTES
            + FRAMING_BYTES_PER_BODY_BYTE * len(self.body)
        )
        return _BAD_REQUEST if framing > most else None

    def expects_continue(self) -> bool:
        """Return whether the client waits for an interim response."""
        value = find_header(self.headers, b"expect")
        return value is not None and value.strip().lower() == b"100-continue"

    def complete(self) -> InboundRequest:
        """Return the whole request."""
        return InboundRequest(
            method=self.method,
            target=self.target,
            headers=self.headers,
            body=bytes(self.body),
            arrived_at=self.arrived_at,
            has_body=self.has_body,
        )

    def _count_header_bytes(self, size: int, limits: ServerLimits) -> int | None:
        self.header_bytes += size
        is_too_large = self.header_bytes > limits.header_bytes
        return _HEAD_TOO_LARGE if is_too_large else None
