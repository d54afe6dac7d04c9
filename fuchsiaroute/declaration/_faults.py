"""Faults of a configuration."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum


class Severity(Enum):
    """What a fault means for acceptance."""

    #: The configuration is not accepted.
    ERROR = "error"
    #: The configuration is accepted; somebody may be left without service. An
    #: emergency withdrawal or outage must not be refused for such a reason.
    WARNING = "warning"


@dataclass(frozen=True, kw_only=True)
class Fault:
    """One fault of a configuration and its place."""

    #: For example ``organisations[3].permitted_models[0]``; empty for the whole.
    place: str
    #: What is wrong and what is expected.
    message: str
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        return f"{self.place or 'configuration'}: {self.severity.value}: {self.message}"


def has_errors(faults: Iterable[Fault]) -> bool:
    """Return whether ``faults`` keep a configuration from being accepted."""
    return any(fault.severity is Severity.ERROR for fault in faults)
