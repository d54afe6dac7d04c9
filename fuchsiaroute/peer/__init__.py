"""The inner protocol: messages between the entries of one deployment."""

from fuchsiaroute.peer._connection import PeerConnection, PeerIdentity
from fuchsiaroute.peer._handler import HoldNothing, PeerHandler, RecordHolder
from fuchsiaroute.peer._messages import (
    EXTENSION_LIMIT,
    RECORDS_LIMIT,
    Extension,
    Heartbeat,
    NoWord,
    PeerError,
    PeerErrorKind,
)
from fuchsiaroute.peer._node import PeerNode, Topic
from fuchsiaroute.peer._security import NoTls, PeerKeys, TlsFiles
from fuchsiaroute.peer._server import PeerServer

__all__ = [
    "EXTENSION_LIMIT",
    "RECORDS_LIMIT",
    "Extension",
    "Heartbeat",
    "HoldNothing",
    "NoTls",
    "NoWord",
    "PeerConnection",
    "PeerError",
    "PeerErrorKind",
    "PeerHandler",
    "PeerIdentity",
    "PeerKeys",
    "PeerNode",
    "PeerServer",
    "RecordHolder",
    "TlsFiles",
    "Topic",
]
