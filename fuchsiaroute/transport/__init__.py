"""HTTP clients whose errors say truly whether a request may have left."""

from fuchsiaroute.transport._checked import CheckedTransport
from fuchsiaroute.transport._client import build_client

__all__ = ["CheckedTransport", "build_client"]
