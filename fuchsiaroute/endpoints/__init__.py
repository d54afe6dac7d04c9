"""The state of each endpoint: life cycle, warmth facts and load reports."""

from fuchsiaroute.endpoints._load_report import LoadReport
from fuchsiaroute.endpoints._record import EndpointRecord
from fuchsiaroute.endpoints._table import (
    FAILURES_UNTIL_SUSPECT,
    MAX_REQUEST_DURATION,
    EndpointTable,
)
from fuchsiaroute.endpoints._warmth import (
    UNKNOWN_INCARNATION,
    UNKNOWN_WARMTH,
    Warmth,
    WarmthFact,
)
from fuchsiaroute.lifecycle import (
    HEALTHY_OUTCOMES,
    OUTCOME_VERDICTS,
    TRANSITIONS,
    UNSETTLED_OUTCOMES,
    EndpointEvent,
    EndpointState,
    Outcome,
    next_state,
)

__all__ = [
    "FAILURES_UNTIL_SUSPECT",
    "HEALTHY_OUTCOMES",
    "MAX_REQUEST_DURATION",
    "OUTCOME_VERDICTS",
    "TRANSITIONS",
    "UNKNOWN_INCARNATION",
    "UNSETTLED_OUTCOMES",
    "EndpointEvent",
    "EndpointRecord",
    "EndpointState",
    "EndpointTable",
    "LoadReport",
    "Outcome",
    "UNKNOWN_WARMTH",
    "Warmth",
    "WarmthFact",
    "next_state",
]
