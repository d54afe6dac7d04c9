"""Prompt parts on which model workers crash, and requests that are refused for them."""

from fuchsiaroute.quarantine._crashes import (
    CrashId,
    CrashReport,
    PartKey,
    RequestKey,
    part_keys,
    request_key,
)
from fuchsiaroute.quarantine._prompt_quarantine import (
    QUARANTINE_TIME,
    SETTLE_TIME,
    PartReport,
    PromptQuarantine,
)

__all__ = [
    "QUARANTINE_TIME",
    "SETTLE_TIME",
    "CrashId",
    "CrashReport",
    "PartKey",
    "PartReport",
    "PromptQuarantine",
    "RequestKey",
    "part_keys",
    "request_key",
]
