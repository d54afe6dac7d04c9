"""Calls to endpoints over HTTP."""

from fuchsiaroute.dispatch._client import (
    EVENT_STREAM,
    NONCE_HEADER,
    REFUSAL_HEADER,
    STREAM_END,
    Dispatcher,
    DispatchFailure,
    DispatchOutcome,
    EndpointCall,
    OpenAnswer,
)
from fuchsiaroute.dispatch._exceptions import BrokenAnswerError

__all__ = [
    "EVENT_STREAM",
    "NONCE_HEADER",
    "REFUSAL_HEADER",
    "STREAM_END",
    "BrokenAnswerError",
    "DispatchFailure",
    "DispatchOutcome",
    "Dispatcher",
    "EndpointCall",
    "OpenAnswer",
]
