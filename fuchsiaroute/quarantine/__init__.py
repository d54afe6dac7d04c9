"""Requests that are refused because endpoints crash under them or their prompts."""

from fuchsiaroute.quarantine._crashes import (
    CrashId,
    CrashReport,
    SubjectKey,
    part_keys,
    request_key,
)
from fuchsiaroute.quarantine._quarantine import (
    QUARANTINE_TIME,
    SETTLE_TIME,
    Quarantine,
    SubjectReport,
)

__all__ = [
    "QUARANTINE_TIME",
    "SETTLE_TIME",
    "CrashId",
    "CrashReport",
    "Quarantine",
    "SubjectKey",
    "SubjectReport",
    "part_keys",
    "request_key",
]
