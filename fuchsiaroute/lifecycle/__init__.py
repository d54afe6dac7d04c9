"""States of endpoints and outcomes of dispatches to them."""

from fuchsiaroute.lifecycle._outcome import (
    HEALTHY_OUTCOMES,
    OUTCOME_VERDICTS,
    UNSETTLED_OUTCOMES,
    Outcome,
)
from fuchsiaroute.lifecycle._state import (
    TRANSITIONS,
    EndpointEvent,
    EndpointState,
    next_state,
)

__all__ = [
    "HEALTHY_OUTCOMES",
    "OUTCOME_VERDICTS",
    "TRANSITIONS",
    "UNSETTLED_OUTCOMES",
    "EndpointEvent",
    "EndpointState",
    "Outcome",
    "next_state",
]
