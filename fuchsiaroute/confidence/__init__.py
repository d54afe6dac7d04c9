"""Detects weak answers by the confidence that the engine reports."""

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
