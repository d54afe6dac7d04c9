"""Composition of an entry from its parts, and its process and servers."""

from fuchsiaroute.serving._compose import ComposedEntry, EntryOptions, compose_entry
from fuchsiaroute.serving._operators import ObservedEntry, compose_operators
from fuchsiaroute.serving._peers import NoPeers, PeerOptions, PeerParts
from fuchsiaroute.serving._protocol import ConnectionLimits
from fuchsiaroute.serving._run import EntryProcess, serve
from fuchsiaroute.serving._server import HttpServer

__all__ = [
    "ComposedEntry",
    "ConnectionLimits",
    "EntryOptions",
    "EntryProcess",
    "HttpServer",
    "NoPeers",
    "PeerOptions",
    "PeerParts",
    "ObservedEntry",
    "compose_entry",
    "compose_operators",
    "serve",
]
