"""Cascades: a cheap version answers first, a better one replaces a weak answer."""

from fuchsiaroute.cascade._chooser import (
    DEFAULT_EXPLORATION_RATE,
    CascadeChooser,
)
from fuchsiaroute.cascade._plan import AnswerPlan, candidate_plans
from fuchsiaroute.cascade._weak_rates import WeakRates
from fuchsiaroute.confidence import (
    DEFAULT_CONFIDENCE_THRESHOLD,
    Answer,
    ConfidenceUnknown,
    is_weak,
    read_answer,
)

__all__ = [
    "DEFAULT_CONFIDENCE_THRESHOLD",
    "DEFAULT_EXPLORATION_RATE",
    "Answer",
    "AnswerPlan",
    "CascadeChooser",
    "ConfidenceUnknown",
    "WeakRates",
    "candidate_plans",
    "is_weak",
    "read_answer",
]
