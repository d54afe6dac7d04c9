"""Stand-ins for systems outside the router, for demonstrations and tests."""

from fuchsiaroute.standin._engine import (
    FIRST_INCARNATION,
    EngineBehaviour,
    RunRecord,
    StandInEndpoint,
)
from fuchsiaroute.standin._platform import StandInPlatform, build_platform_app

__all__ = [
    "FIRST_INCARNATION",
    "EngineBehaviour",
    "RunRecord",
    "StandInEndpoint",
    "StandInPlatform",
    "build_platform_app",
]
