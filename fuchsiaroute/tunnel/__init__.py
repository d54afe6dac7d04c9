"""Connections to endpoints through a peer, which forwards bytes."""

from fuchsiaroute.tunnel._client import open_tunnel
from fuchsiaroute.tunnel._exceptions import PathMissingError, PeerUnavailableError
from fuchsiaroute.tunnel._server import TunnelServer

__all__ = ["PathMissingError", "PeerUnavailableError", "TunnelServer", "open_tunnel"]
