"""Advice to callers on which entry to use."""

from dataclasses import dataclass
from typing import Protocol

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import FailureDomainId


@dataclass(frozen=True, kw_only=True)
class AdvisedEntry:
    """An entry that a caller may use."""

    #: Base URL with an IP address as host.
    url: str
    failure_domain: FailureDomainId


@dataclass(frozen=True, kw_only=True)
class Advice:
    """Entries in order of preference, for a limited time."""

    entries: tuple[AdvisedEntry, ...]
    #: Time for which a caller may use the advice, in milliseconds.
    lifetime: Milliseconds


class AdviceSource(Protocol):
    """Recommends entries to callers."""

    def advise(self, *, caller: str, failure_domain: str) -> Advice:
        """Return advice for ``caller``, preferring ``failure_domain`` if not empty."""
