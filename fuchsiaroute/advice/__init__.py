"""Advice to callers on which entries to use."""

from fuchsiaroute.advice._source import (
    ADVICE_LIFETIME,
    ADVICE_SIZE,
    CandidateEntry,
    EntryAdvice,
    EntryState,
)

__all__ = [
    "ADVICE_LIFETIME",
    "ADVICE_SIZE",
    "CandidateEntry",
    "EntryAdvice",
    "EntryState",
]
