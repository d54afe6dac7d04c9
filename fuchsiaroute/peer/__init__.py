"""The peer protocol: gRPC calls between the entries of one deployment."""

from fuchsiaroute.peer._connection import PeerConnection, PeerIdentity
from fuchsiaroute.peer._handler import NullRecordHolder, PeerHandler, RecordHolder
from fuchsiaroute.peer._messages import (
    MAX_EXTENSION_BYTES,
    MAX_RECORDS_BYTES,
    Extension,
    Heartbeat,
    NoConfirmation,
    PeerError,
    PeerErrorKind,
)
from fuchsiaroute.peer._node import PeerNode, Topic
from fuchsiaroute.peer._security import NoTls, PeerKeys, TlsFiles
from fuchsiaroute.peer._server import PeerServer

__all__ = [
    "MAX_EXTENSION_BYTES",
    "MAX_RECORDS_BYTES",
    "Extension",
    "Heartbeat",
    "NullRecordHolder",
    "NoTls",
    "NoConfirmation",
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
