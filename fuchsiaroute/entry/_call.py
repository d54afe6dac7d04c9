"""A call on its way through an entry, and its answer."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.ids import EndpointId, ServiceId, VersionId
from fuchsiaroute.request import Request


class NoVersion(Enum):
    """Sentinel: a plain service answered, which has no version."""

    TOKEN = "no-version"


@dataclass(frozen=True, kw_only=True)
class ModelTarget:
    """The call asks a model for a completion."""


@dataclass(frozen=True, kw_only=True)
class ServiceTarget:
    """The call asks a plain service."""

    service: ServiceId
    #: Path at the service, with a leading slash.
    path: str
    #: Cost of the call in micro-units.
    cost: int = 0


@dataclass(frozen=True, kw_only=True)
class Call:
    """An authenticated request with its body."""

    request: Request
    target: ModelTarget | ServiceTarget
    #: JSON body as the caller sent it.
    body: bytes


@dataclass(frozen=True, kw_only=True)
class Answer:
    """An answer on its way to the caller; ``chunks`` bills the request at its end."""

    status: int
    content_type: str
    chunks: AsyncIterator[bytes]
    version: VersionId | NoVersion
    endpoint: EndpointId
    #: Signed session pin for the caller to send back; empty for none.
    pin: str = ""


@dataclass(frozen=True, kw_only=True)
class AttemptRecord:
    """One attempt of a request, as the ledger bills it."""

    version: VersionId | NoVersion
    endpoint: EndpointId
    #: Cost in micro-units.
    cost: int


@dataclass(frozen=True, kw_only=True)
class Bill:
    """The true cost of a request over all its attempts."""

    request: Request
    attempts: tuple[AttemptRecord, ...]

    @property
    def cost(self) -> int:
        """Return the sum of the attempts' costs in micro-units."""
        return sum(attempt.cost for attempt in self.attempts)
