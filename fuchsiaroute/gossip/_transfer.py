"""How many members get a large update, and how fast, by what the own link carries."""

from dataclasses import dataclass

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.gossip._parts import PART_BYTES

#: Time that one relay of a large update may take; several follow each other until all
#: members have it.
RELAY_TIME = Milliseconds(150)
#: With fewer members, an update would not spread; the others ask for it after a hint.
MIN_MEMBERS = 2
#: Two readers with wide links reach most members of a large fleet at once.
MAX_MEMBERS = 24
#: Share of the link that a relay may use; the rest is left for requests.
LINK_SHARE = 0.7
BYTES_PER_MBIT = 125_000
MILLISECONDS_PER_SECOND = 1_000


@dataclass(frozen=True, kw_only=True)
class TransferPlan:
    """The members that get the parts of a message, and the time between two parts."""

    members: int
    interval: Milliseconds


def plan_relay(*, size: int, link_mbps: float) -> TransferPlan:
    """
    Return how an update of ``size`` bytes is relayed to members.

    Load: a declaration of thousands of routes changes while links of 5 Mbit/s carry
    requests as well. Copies to a fixed number of members at once would fill such a
    link's queue, in which datagrams are dropped.
    """
    per_ms = _usable_bytes_per_ms(link_mbps)
    fitting = round(per_ms * RELAY_TIME / size)
    members = min(max(fitting, MIN_MEMBERS), MAX_MEMBERS)
    return TransferPlan(members=members, interval=_interval(members, per_ms))


def plan_reply(*, link_mbps: float) -> TransferPlan:
    """Return how the parts of a reply are sent to one member."""
    per_ms = _usable_bytes_per_ms(link_mbps)
    return TransferPlan(members=1, interval=_interval(1, per_ms))


def _usable_bytes_per_ms(link_mbps: float) -> float:
    return link_mbps * BYTES_PER_MBIT / MILLISECONDS_PER_SECOND * LINK_SHARE


def _interval(members: int, per_ms: float) -> Milliseconds:
    return Milliseconds(max(round(members * PART_BYTES / per_ms), 1))
