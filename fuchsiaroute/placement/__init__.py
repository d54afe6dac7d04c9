"""Orders to engines: which versions each should have, given under a lease."""

from fuchsiaroute.placement._lease import (
    DRIFT_MARGIN,
    LEASE_DURATION,
    RENEWAL_INTERVAL,
    Lease,
    LeaseRecord,
)
from fuchsiaroute.placement._placer import (
    ORDER_FLIGHT,
    ROUND_INTERVAL,
    Placer,
    WeightStoreLimit,
)
from fuchsiaroute.placement._plan import (
    UNLOAD_DELAY,
    EngineState,
    PlannedOrder,
    engines_of,
    plan_orders,
    wanted_versions,
)
from fuchsiaroute.placement._supervisor import PlacementSupervisor

__all__ = [
    "DRIFT_MARGIN",
    "LEASE_DURATION",
    "ORDER_FLIGHT",
    "RENEWAL_INTERVAL",
    "ROUND_INTERVAL",
    "UNLOAD_DELAY",
    "EngineState",
    "Lease",
    "LeaseRecord",
    "PlannedOrder",
    "PlacementSupervisor",
    "Placer",
    "WeightStoreLimit",
    "engines_of",
    "plan_orders",
    "wanted_versions",
]
