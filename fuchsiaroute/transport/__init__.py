"""HTTP clients that report reliably whether a request may have been sent."""

from fuchsiaroute.transport._checked import CheckedTransport
from fuchsiaroute.transport._client import build_client
from fuchsiaroute.transport._hooked import (
    HookedConnector,
    NoHook,
    SendingHook,
    sending_hook,
)

__all__ = [
    "CheckedTransport",
    "HookedConnector",
    "NoHook",
    "SendingHook",
    "build_client",
    "sending_hook",
]
