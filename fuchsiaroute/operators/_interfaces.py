"""Protocols that an entry implements for the operators' interface."""

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
    """Accepts changes of the configuration, one after another."""

    async def submit(self, change: SubmittedChange, *, author: str) -> ChangeReply:
        """Try to put ``change`` in force; idempotent by its change id."""

    async def outcome(self, change: ChangeId) -> ChangeReply:
        """Return the outcome of ``change``."""


class EntryView(Protocol):
    """State of one entry and the configuration that it enforces."""

    def status(self) -> EntryStatus:
        """Return the state of the entry."""

    def in_force(self) -> ConfigurationReply:
        """Return the configuration that the entry enforces."""

    def metrics(self) -> bytes:
        """Return the entry's metrics in the Prometheus text format."""

    def explain(self, question: ExplanationRequest) -> Explanation:
        """Return how a request would be routed now."""
