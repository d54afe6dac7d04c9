"""How strong an answer is, by the engine's own opinion of it."""

from fuchsiaroute.confidence._answer import (
    DEFAULT_CONFIDENCE_THRESHOLD,
    Answer,
    ConfidenceUnknown,
    is_weak,
    read_answer,
)

__all__ = [
    "DEFAULT_CONFIDENCE_THRESHOLD",
    "Answer",
    "ConfidenceUnknown",
    "is_weak",
    "read_answer",
]
