"""Shutdown of an instance: which requests it still admits, and when it may exit."""

from fuchsiaroute.draining._drain import (
    EXIT_MARGIN,
    LATE_ARRIVAL,
    MIN_DRAIN_TIME,
    MIN_SEND_TIME,
    SIGKILL_MARGIN,
    Drain,
    Phase,
)

__all__ = [
    "EXIT_MARGIN",
    "LATE_ARRIVAL",
    "MIN_DRAIN_TIME",
    "MIN_SEND_TIME",
    "SIGKILL_MARGIN",
    "Drain",
    "Phase",
]
