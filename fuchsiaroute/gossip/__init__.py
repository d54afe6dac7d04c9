"""News between instances, as datagrams that may be lost."""

from fuchsiaroute.gossip._liveness import Liveness, MemberInfo
from fuchsiaroute.gossip._messages import (
    FORMAT,
    GossipMessage,
    Heartbeat,
    RelayedRow,
    RolloutEvidence,
    RolloutUpdate,
    SessionUpdate,
    TableUpdate,
    decode_message,
    encode_message,
)
from fuchsiaroute.gossip._node import GossipNode

__all__ = [
    "Liveness",
    "MemberInfo",
    "FORMAT",
    "RolloutEvidence",
    "Heartbeat",
    "GossipMessage",
    "RelayedRow",
    "RolloutUpdate",
    "TableUpdate",
    "SessionUpdate",
    "decode_message",
    "encode_message",
    "GossipNode",
]
