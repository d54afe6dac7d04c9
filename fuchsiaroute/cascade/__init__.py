"""Cascades: a cheap version first, a better one after a weak answer."""

from fuchsiaroute.cascade._chooser import (
    DEFAULT_EXPLORATION_RATE,
    CascadeChooser,
)
from fuchsiaroute.cascade._plan import AnswerPlan, plans_of
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
    "is_weak",
    "plans_of",
    "read_answer",
]
