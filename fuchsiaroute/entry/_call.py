"""Calls that an entry handles, with their answers and bills."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.ids import EndpointId, ServiceId, VersionId
from fuchsiaroute.request import Request


class NoVersion(Enum):
    """Sentinel in place of a version: a plain service, which has no versions."""

    TOKEN = "no-version"


@dataclass(frozen=True, kw_only=True)
class ModelTarget:
    """Target of a call for a model's completion."""


@dataclass(frozen=True, kw_only=True)
class ServiceTarget:
    """Target of a call to a plain service, which has no model versions."""

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
    """An open answer; the request is billed while ``chunks`` is consumed."""

    status: int
    content_type: str
    chunks: AsyncIterator[bytes]
    version: VersionId | NoVersion
    endpoint: EndpointId
    #: Signed session pin for the caller to send back; empty for none.
    pin: str = ""


@dataclass(frozen=True, kw_only=True)
class AttemptRecord:
    """One billed attempt of a request."""

    version: VersionId | NoVersion
    endpoint: EndpointId
    #: Cost in micro-units.
    cost: int


@dataclass(frozen=True, kw_only=True)
class Bill:
    """The actual cost of a request over all its attempts."""

    request: Request
    attempts: tuple[AttemptRecord, ...]

    @property
    def cost(self) -> int:
        """Return the sum of the attempts' costs in micro-units."""
        return sum(attempt.cost for attempt in self.attempts)
