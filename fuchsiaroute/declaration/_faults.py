"""Faults that validation finds in a configuration."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum


class Severity(Enum):
    """Effect of a fault on the acceptance of a configuration."""

    #: The configuration is rejected.
    ERROR = "error"
    #: The configuration is accepted, although it may leave callers without service:
    #: a withdrawal or an outage in an emergency must not be rejected for that reason.
    WARNING = "warning"


@dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault of a configuration and the place where it occurs."""

    #: Path of the value, for example ``organisations[3].permitted_models[0]``; empty
    #: for the configuration as a whole.
    place: str
    #: What is wrong and what is expected.
    message: str
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        return f"{self.place or 'configuration'}: {self.severity.value}: {self.message}"


def has_errors(faults: Iterable[Fault]) -> bool:
    """Return whether a configuration with ``faults`` is rejected."""
    return any(fault.severity is Severity.ERROR for fault in faults)
