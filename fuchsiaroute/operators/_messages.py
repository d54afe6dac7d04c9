"""Messages of the operators' interface, encoded as JSON objects."""

from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.configuration import Configuration, Outage, Rollout
from fuchsiaroute.declaration import Fault
from fuchsiaroute.ids import (
    ChangeId,
    EndpointId,
    FailureDomainId,
    InstanceId,
    OrganisationId,
    RequestClass,
    Revision,
    SessionId,
    VersionId,
)
from fuchsiaroute.request import Candidate


class ChangeOutcome(Enum):
    """Outcome of a submitted change."""

    #: In force on every entry within seconds; never reverted.
    ACCEPTED = "accepted"
    #: Another change was accepted first; this one never takes effect.
    CONFLICT = "conflict"
    #: The change id belongs to a different change.
    CHANGE_ID_REUSED = "change-id-reused"
    #: The configuration has errors; nothing was written.
    INVALID = "invalid"
    #: This attempt wrote nothing; an earlier one with the same id may have.
    NOT_WRITTEN = "not-written"
    #: It may take effect; submit it again with the same change id to find out.
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True)
class SubmittedChange:
    """A configuration that is to replace a given revision."""

    change: ChangeId
    #: Revision that the change is based on; 0 for none.
    base: Revision
    #: Description of the change for other operators.
    summary: str
    configuration: Configuration


@dataclass(frozen=True, kw_only=True)
class ChangeReply:
    """Reply to a submitted change."""

    outcome: ChangeOutcome
    #: Revision of the change if accepted, else 0.
    revision: Revision = Revision(0)
    message: str = ""
    faults: tuple[Fault, ...] = ()


@dataclass(frozen=True, kw_only=True)
class ConfigurationReply:
    """The configuration that one entry enforces."""

    #: 0 if none is in force yet.
    revision: Revision
    configuration: Configuration


@dataclass(frozen=True, kw_only=True)
class EndpointStatus:
    """State of an endpoint in one entry."""

    id: EndpointId
    failure_domain: FailureDomainId
    #: Life-cycle state; other entries may hold another one.
    state: str


@dataclass(frozen=True, kw_only=True)
class EntryStatus:
    """One entry and the configuration that it enforces, without secrets."""

    instance: InstanceId
    failure_domain: FailureDomainId
    deployment: str
    is_ready: bool
    #: Why the entry accepts or refuses new requests.
    readiness: str
    revision: Revision
    #: Time since the store last confirmed the revision, in milliseconds.
    age: Milliseconds
    rollouts: tuple[Rollout, ...]
    outages: tuple[Outage, ...]
    #: Versions that get no new sessions.
    draining: tuple[VersionId, ...]
    #: Versions that get no requests at all.
    withdrawn: tuple[VersionId, ...]
    endpoints: tuple[EndpointStatus, ...]


@dataclass(frozen=True, kw_only=True)
class ExplanationRequest:
    """Describes a request whose routing is to be explained."""

    organisation: OrganisationId
    #: Empty for the product's class with the highest quality target.
    request_class: RequestClass = RequestClass("")
    #: Model, version or service by name, or ``auto``.
    model: str = "auto"
    #: Empty for a request without a session.
    session: SessionId = SessionId("")
    #: Whether the answer is streamed, which rules out an escalation.
    is_streamed: bool = False


@dataclass(frozen=True, kw_only=True)
class Explanation:
    """How a request would be routed, and the rule that excludes other versions."""

    revision: Revision
    is_permitted: bool
    #: Versions to try in order; empty for a plain service or a refusal.
    versions: tuple[VersionId, ...]
    candidates: tuple[Candidate, ...]
    #: Why the request would be refused; empty if it is permitted.
    refusal: str = ""


@dataclass(frozen=True, kw_only=True)
class OperatorError:
    """Body of an answer to a refused call."""

    message: str
