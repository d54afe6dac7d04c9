"""HTTP/1.1 on asyncio: server connections for callers, client connections."""

from fuchsiaroute.http1._client import (
    ClientConnection,
    ResponseBody,
    ResponseHead,
    connect,
)
from fuchsiaroute.http1._connecting import connect_protocol
from fuchsiaroute.http1._connection_state import CloseReason, ConnectionState
from fuchsiaroute.http1._exceptions import (
    BrokenResponseError,
    ConnectError,
    ConnectTimeoutError,
    ExchangeError,
    NobodyListensError,
    NoConnectionLeftError,
)
from fuchsiaroute.http1._incoming_request import ServerLimits
from fuchsiaroute.http1._memory_budget import MemoryBudget
from fuchsiaroute.http1._messages import (
    Headers,
    InboundRequest,
    encode_request,
    encode_response_head,
    end_to_end_headers,
    find_header,
)
from fuchsiaroute.http1._responder import Responder
from fuchsiaroute.http1._server import Handler, ServerConnection
from fuchsiaroute.http1._socket_options import DeadPathDetection

__all__ = [
    "MemoryBudget",
    "BrokenResponseError",
    "ClientConnection",
    "CloseReason",
    "ConnectError",
    "ConnectTimeoutError",
    "ConnectionState",
    "DeadPathDetection",
    "ExchangeError",
    "Handler",
    "Headers",
    "InboundRequest",
    "NoConnectionLeftError",
    "NobodyListensError",
    "Responder",
    "ResponseBody",
    "ResponseHead",
    "ServerConnection",
    "ServerLimits",
    "connect",
    "connect_protocol",
    "encode_request",
    "encode_response_head",
    "end_to_end_headers",
    "find_header",
]
