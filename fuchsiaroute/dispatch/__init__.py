"""Calls to endpoints over HTTP, with the outcome and verdict of each."""

from fuchsiaroute.dispatch._call import (
    DispatchFailure,
    DispatchOutcome,
    EndpointCall,
    OpenAnswer,
)
from fuchsiaroute.dispatch._chunks import EVENT_STREAM, STREAM_END
from fuchsiaroute.dispatch._client import NONCE_HEADER, REFUSAL_HEADER, Dispatcher
from fuchsiaroute.dispatch._connections import Connections
from fuchsiaroute.dispatch._exceptions import BrokenAnswerError
from fuchsiaroute.dispatch._status import (
    INCARNATION_HEADER,
    STATUS_PATH,
    EndpointStatus,
    read_status,
)

__all__ = [
    "EVENT_STREAM",
    "INCARNATION_HEADER",
    "NONCE_HEADER",
    "REFUSAL_HEADER",
    "STATUS_PATH",
    "STREAM_END",
    "BrokenAnswerError",
    "Connections",
    "DispatchFailure",
    "DispatchOutcome",
    "Dispatcher",
    "EndpointCall",
    "EndpointStatus",
    "OpenAnswer",
    "read_status",
]
