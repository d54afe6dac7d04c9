"""Stand-ins for the platform and for endpoints, for the demo, tests and benches."""

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
