"""Structured log: one line of JSON per event, without request bodies."""

from fuchsiaroute.logs._events import (
    AnswerEnded,
    AttemptFinished,
    ChangeSubmitted,
    ConfigurationApplied,
    Event,
    InstanceStateChanged,
    LinesLeftOut,
    PlacementDecided,
    RequestBilled,
    RequestRefused,
    RolloutPauseSubmitted,
    RolloutSuspended,
    RouteDecided,
    StopUnwritten,
    TaskFailed,
    route_decided,
)
from fuchsiaroute.logs._setup import open_log
from fuchsiaroute.logs._write import log_event

__all__ = [
    "AnswerEnded",
    "AttemptFinished",
    "ChangeSubmitted",
    "ConfigurationApplied",
    "Event",
    "InstanceStateChanged",
    "LinesLeftOut",
    "PlacementDecided",
    "RequestBilled",
    "RequestRefused",
    "RolloutPauseSubmitted",
    "RolloutSuspended",
    "StopUnwritten",
    "TaskFailed",
    "RouteDecided",
    "open_log",
    "log_event",
    "route_decided",
]
