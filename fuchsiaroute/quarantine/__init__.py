"""Requests that are refused because endpoints crash under them or their prompts."""

from fuchsiaroute.quarantine._crashes import (
    CrashId,
    CrashReport,
    SubjectKey,
    part_keys,
    request_key,
)
from fuchsiaroute.quarantine._judgement import SETTLE_TIME
from fuchsiaroute.quarantine._quarantine import QUARANTINE_TIME, Quarantine
from fuchsiaroute.quarantine._subjects import SubjectReport

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
