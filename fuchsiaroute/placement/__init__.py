"""Placement: orders that make engines load the versions they should have."""

from fuchsiaroute.placement._controller import (
    MAX_ORDER_DELAY,
    RECONCILIATION_INTERVAL,
    LoadRateLimiter,
    PlacementController,
)
from fuchsiaroute.placement._lease import (
    CLOCK_DRIFT_MARGIN,
    LEASE_DURATION,
    RENEWAL_INTERVAL,
    Lease,
    LeaseRecord,
)
from fuchsiaroute.placement._plan import (
    UNLOAD_DELAY,
    EngineState,
    PlannedOrder,
    engines_in,
    plan_orders,
    wanted_versions,
)
from fuchsiaroute.placement._supervisor import PlacementSupervisor

__all__ = [
    "CLOCK_DRIFT_MARGIN",
    "LEASE_DURATION",
    "MAX_ORDER_DELAY",
    "RECONCILIATION_INTERVAL",
    "RENEWAL_INTERVAL",
    "UNLOAD_DELAY",
    "EngineState",
    "Lease",
    "LeaseRecord",
    "LoadRateLimiter",
    "PlacementController",
    "PlacementSupervisor",
    "PlannedOrder",
    "engines_in",
    "plan_orders",
    "wanted_versions",
]
