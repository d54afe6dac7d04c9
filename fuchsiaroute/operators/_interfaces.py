"""What the operators' interface needs from the entry."""

from typing import Protocol

from fuchsiaroute.ids import ChangeId
from fuchsiaroute.operators._messages import (
    ChangeReply,
    ConfigurationReply,
    EntryStatus,
    Explanation,
    ExplanationRequest,
    SubmittedChange,
)


class ChangeLog(Protocol):
    """Accepts changes one after another."""

    async def submit(self, change: SubmittedChange, *, author: str) -> ChangeReply:
        """Try to put ``change`` in force; the same change again is harmless."""

    async def outcome(self, change: ChangeId) -> ChangeReply:
        """Return what became of ``change``."""


class EntryView(Protocol):
    """What one entry knows and enforces."""

    def status(self) -> EntryStatus:
        """Return the state of the entry."""

    def in_force(self) -> ConfigurationReply:
        """Return the configuration that the entry enforces."""

    def metrics(self) -> bytes:
        """Return the entry's metrics in the Prometheus text format."""

    def explain(self, question: ExplanationRequest) -> Explanation:
        """Return how a request would be routed now."""
