"""Order among requests that compete for too little room at a service's endpoints."""

from fuchsiaroute.contention._backlog_limits import (
    BACKLOG_SHARE,
    BacklogLimits,
    backlog_limits,
)
from fuchsiaroute.contention._fleet_demand import (
    LEAST_URGENT_PRIORITY,
    FleetDemand,
    Flow,
    FlowDemand,
    ServiceDemand,
    combined,
)
from fuchsiaroute.contention._room_share import (
    YIELDING_SHARE,
    Reason,
    RoomShare,
    fair_share,
    room_share,
)

__all__ = [
    "BACKLOG_SHARE",
    "LEAST_URGENT_PRIORITY",
    "YIELDING_SHARE",
    "BacklogLimits",
    "FleetDemand",
    "Flow",
    "FlowDemand",
    "Reason",
    "RoomShare",
    "ServiceDemand",
    "backlog_limits",
    "combined",
    "fair_share",
    "room_share",
]
