"""Log lines: one line of JSON for each decision, without request bodies."""

from fuchsiaroute.logs._events import (
    AnswerEnded,
    AttemptFinished,
    ChangeSubmitted,
    ConfigurationApplied,
    Event,
    InstanceStateChanged,
    PlacementDecided,
    RequestBilled,
    RequestRefused,
    RolloutPauseSubmitted,
    RolloutSuspended,
    RouteDecided,
    TaskFailed,
    route_decided,
)
from fuchsiaroute.logs._setup import open_log
from fuchsiaroute.logs._write import record

__all__ = [
    "AnswerEnded",
    "AttemptFinished",
    "ChangeSubmitted",
    "ConfigurationApplied",
    "Event",
    "InstanceStateChanged",
    "PlacementDecided",
    "RequestBilled",
    "RequestRefused",
    "RolloutPauseSubmitted",
    "RolloutSuspended",
    "TaskFailed",
    "RouteDecided",
    "open_log",
    "record",
    "route_decided",
]
