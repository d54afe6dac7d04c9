"""Membership of entries: failure detection by heartbeats and shared reports."""

from fuchsiaroute.membership._membership import Membership
from fuchsiaroute.membership._messages import Announcement, MembershipUpdate, Report
from fuchsiaroute.membership._states import (
    Contact,
    MemberEvent,
    MemberState,
    MemberView,
    member_state,
)
from fuchsiaroute.membership._topology import Topology, heartbeat_interval

__all__ = [
    "Announcement",
    "Contact",
    "MemberEvent",
    "MemberState",
    "MemberView",
    "Membership",
    "MembershipUpdate",
    "Report",
    "Topology",
    "heartbeat_interval",
    "member_state",
]
