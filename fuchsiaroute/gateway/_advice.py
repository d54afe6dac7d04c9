"""Advice to callers on which entry to use."""

from dataclasses import dataclass
from typing import Protocol

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import FailureDomainId


@dataclass(frozen=True, kw_only=True)
class AdvisedEntry:
    """An entry that a caller may use."""

    #: Base URL by IP number.
    url: str
    failure_domain: FailureDomainId


@dataclass(frozen=True, kw_only=True)
class Advice:
    """Entries in order of preference, for a limited time."""

    entries: tuple[AdvisedEntry, ...]
    #: How long a caller may keep the advice, in milliseconds.
    lifetime: Milliseconds


class AdviceSource(Protocol):
    """Knows the entries that callers should use."""

    def advise(self, *, caller: str, failure_domain: str) -> Advice:
        """Return advice for ``caller``, preferring ``failure_domain`` if not empty."""
