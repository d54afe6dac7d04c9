"""Readiness and directory calls that callers and the platform make to an instance."""

from dataclasses import dataclass
from enum import Enum
from urllib.parse import parse_qs

import msgspec

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.http1 import Headers, InboundRequest
from fuchsiaroute.ids import FailureDomainId, RegionId

MILLISECONDS_PER_SECOND = 1_000
JSON_HEADERS: Headers = [(b"Content-Type", b"application/json")]


class ControlCall(Enum):
    """Calls on the readiness and directory addresses, by their path."""

    READINESS = b"/api/ready"
    DIRECTORY = b"/api/resolve"


@dataclass(frozen=True, kw_only=True)
class DirectoryQuery:
    """Query parameters of a directory call."""

    host: str
    region: RegionId
    failure_domain: FailureDomainId


def control_call(request: InboundRequest) -> ControlCall | None:
    """Return the control call that a request makes; None for any other request."""
    try:
        return ControlCall(request.path) if request.method == b"GET" else None
    except ValueError:
        return None


def read_directory_query(request: InboundRequest) -> DirectoryQuery:
    """Decode the query of a directory call; absent parameters are empty."""
    query = parse_qs(request.target.partition(b"?")[2].decode("latin-1"))

    def first(name: str) -> str:
        return query.get(name, [""])[0]

    return DirectoryQuery(
        host=first("Name"),
        region=RegionId(first("Region")),
        failure_domain=FailureDomainId(first("Zone")),
    )


def encode_directory_answer(addresses: list[str], lifetime: Milliseconds) -> bytes:
    """Return the body of a directory response; cacheable for ``lifetime``."""
    return msgspec.json.encode(
        {"Addresses": addresses, "TtlS": lifetime / MILLISECONDS_PER_SECOND}
    )
