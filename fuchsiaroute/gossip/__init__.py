"""Gossip between instances, by UDP datagrams that may be lost."""

from fuchsiaroute.gossip._liveness import Liveness, MemberInfo
from fuchsiaroute.gossip._messages import (
    FORMAT,
    GossipMessage,
    Heartbeat,
    LatencyUpdate,
    PermitReply,
    PermitRequest,
    PromptCrash,
    PromptPartUpdate,
    RateUpdate,
    RelayedRow,
    RolloutEvidence,
    RolloutUpdate,
    SessionUpdate,
    TableRequest,
    TableUpdate,
    decode_message,
    encode_message,
)
from fuchsiaroute.gossip._node import GossipNode

__all__ = [
    "FORMAT",
    "GossipMessage",
    "GossipNode",
    "Heartbeat",
    "LatencyUpdate",
    "Liveness",
    "MemberInfo",
    "PermitReply",
    "PermitRequest",
    "PromptCrash",
    "PromptPartUpdate",
    "RateUpdate",
    "RelayedRow",
    "RolloutEvidence",
    "RolloutUpdate",
    "SessionUpdate",
    "TableRequest",
    "TableUpdate",
    "decode_message",
    "encode_message",
]
