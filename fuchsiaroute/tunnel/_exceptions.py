"""Errors of tunnels."""

from fuchsiaroute.http1 import ConnectError


class PeerUnavailableError(ConnectError):
    """The peer did not answer in time, is draining, or carries no more tunnels."""


class PathMissingError(ConnectError):
    """The peer cannot connect to the endpoint either, or does not know it."""


class TunnelDecodeError(Exception):
    """Received bytes that are not in the format of tunnels."""
