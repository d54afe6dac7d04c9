"""Messages of the operators' interface; each is one JSON object."""

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
    """What became of a submitted change."""

    #: In force everywhere within seconds; never reverted.
    ACCEPTED = "accepted"
    #: Another change came first; this one never takes effect.
    CONFLICT = "conflict"
    #: The change id belongs to a different change.
    CHANGE_ID_REUSED = "change-id-reused"
    #: The configuration has errors; nothing was written.
    INVALID = "invalid"
    #: This attempt wrote nothing; an earlier one with the same id may have.
    NOT_WRITTEN = "not-written"
    #: It may take effect; asking again with the same change id tells.
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True)
class SubmittedChange:
    """A configuration to be put in force in the place of a known revision."""

    change: ChangeId
    #: The revision that the author has seen; 0 for none.
    base: Revision
    #: What the change does, for other operators.
    summary: str
    configuration: Configuration


@dataclass(frozen=True, kw_only=True)
class ChangeReply:
    """The outcome of a submitted change."""

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
    """An endpoint as one entry sees it."""

    id: EndpointId
    failure_domain: FailureDomainId
    #: State of its life cycle, as this entry knows it.
    state: str


@dataclass(frozen=True, kw_only=True)
class EntryStatus:
    """One entry and the configuration that it enforces, without secrets."""

    instance: InstanceId
    failure_domain: FailureDomainId
    deployment: str
    is_ready: bool
    #: Why the entry takes or refuses new work.
    readiness: str
    revision: Revision
    #: Time since the store's last word on the revision, in milliseconds.
    age: Milliseconds
    rollouts: tuple[Rollout, ...]
    outages: tuple[Outage, ...]
    #: Versions that take no new sessions.
    draining: tuple[VersionId, ...]
    #: Versions that take no work at all.
    withdrawn: tuple[VersionId, ...]
    endpoints: tuple[EndpointStatus, ...]


@dataclass(frozen=True, kw_only=True)
class ExplanationRequest:
    """A request that somebody wants explained."""

    organisation: OrganisationId
    #: Empty for the product's most demanding class.
    request_class: RequestClass = RequestClass("")
    #: Model, version or service by name, or ``auto``.
    model: str = "auto"
    #: Empty for a request without a session.
    session: SessionId = SessionId("")
    #: Whether the answer is streamed, which leaves no room for an escalation.
    is_streamed: bool = False


@dataclass(frozen=True, kw_only=True)
class Explanation:
    """How a request would be routed, and the rule against each other version."""

    revision: Revision
    is_permitted: bool
    #: Versions to try in order; empty for a plain service or a refusal.
    versions: tuple[VersionId, ...]
    candidates: tuple[Candidate, ...]
    #: Why the request would be refused; empty if it would not.
    refusal: str = ""


@dataclass(frozen=True, kw_only=True)
class OperatorError:
    """Why the interface did not do what it was asked."""

    message: str
