"""Execution of ordered roll-outs: stages, sessions, evidence and the driver."""

from fuchsiaroute.staging._counts import RolloutCounts
from fuchsiaroute.staging._driver import RolloutDriver
from fuchsiaroute.staging._measures import Measure, speed_class
from fuchsiaroute.staging._outcomes import Outcome
from fuchsiaroute.staging._records import Progress, RolloutRecord
from fuchsiaroute.staging._schedule import share_of_sessions
from fuchsiaroute.staging._sessions import SessionBinding, SessionVersions
from fuchsiaroute.staging._tracker import (
    RolloutTracker,
    SessionHash,
    session_key,
)

__all__ = [
    "Measure",
    "Outcome",
    "Progress",
    "RolloutCounts",
    "RolloutDriver",
    "RolloutRecord",
    "RolloutTracker",
    "SessionBinding",
    "SessionHash",
    "SessionVersions",
    "session_key",
    "share_of_sessions",
    "speed_class",
]
