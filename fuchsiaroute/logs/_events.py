"""Log events as typed values; no field contains a request body."""

from dataclasses import dataclass
from typing import ClassVar

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import (
    ChangeId,
    EndpointId,
    FencingNumber,
    InstanceId,
    OrganisationId,
    RequestClass,
    RequestId,
    Revision,
    RolloutId,
    VersionId,
)
from fuchsiaroute.request import Decision, Exclusion, Request
from fuchsiaroute.store import OrderKind
from fuchsiaroute.verdict import RefusalReason, Verdict


@dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """Base class of log events; its subclasses' fields become log fields."""

    #: The ``message_type`` of the log line.
    message_type: ClassVar[str]


@dataclass(frozen=True, kw_only=True, slots=True)
class RouteDecided(Event):
    """Versions to try for a request, and the rules that excluded the others."""

    message_type: ClassVar[str] = "route:decided"
    request: RequestId
    organisation: OrganisationId
    request_class: RequestClass
    revision: Revision
    #: Versions in the order in which they are tried.
    versions: tuple[VersionId, ...]
    #: Rule by excluded version.
    excluded: dict[VersionId, Exclusion]


def route_decided(request: Request, decision: Decision) -> RouteDecided:
    """Return the event for ``decision`` on ``request``."""
    return RouteDecided(
        request=request.id,
        organisation=request.organisation,
        request_class=request.request_class,
        revision=decision.revision,
        versions=decision.versions,
        excluded={
            candidate.version: candidate.exclusion
            for candidate in decision.candidates
            if candidate.exclusion is not Exclusion.NONE
        },
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptFinished(Event):
    """One dispatch of a request to an endpoint has ended."""

    message_type: ClassVar[str] = "route:attempt"
    request: RequestId
    #: 1 for the first attempt.
    attempt: int
    endpoint: EndpointId
    #: Empty for a plain service.
    version: VersionId = VersionId("")
    verdict: Verdict
    #: ``answered`` or the cause of the failure.
    outcome: str
    duration_ms: Milliseconds


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerEnded(Event):
    """The answer to a caller has ended."""

    message_type: ClassVar[str] = "route:answered"
    request: RequestId
    organisation: OrganisationId
    endpoint: EndpointId
    #: Empty for a plain service.
    version: VersionId
    answer_bytes: int
    duration_ms: Milliseconds
    #: False if the endpoint or the caller aborted the answer.
    is_whole: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestBilled(Event):
    """The cost of a request has been passed to the ledger."""

    message_type: ClassVar[str] = "billing:billed"
    request: RequestId
    organisation: OrganisationId
    #: Version of each attempt that is billed; empty for a plain service.
    versions: tuple[VersionId, ...]
    cost_microunits: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestRefused(Event):
    """A request ended without a complete answer."""

    message_type: ClassVar[str] = "route:refused"
    #: Empty if the request was refused before its id was known.
    request: RequestId = RequestId("")
    #: Empty if the caller was not authenticated.
    organisation: OrganisationId = OrganisationId("")
    reason: RefusalReason
    verdict: Verdict
    #: Safe to log, since messages of refusals never contain request content.
    message: str


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementDecided(Event):
    """An order to an engine, and its outcome."""

    message_type: ClassVar[str] = "placement:decided"
    endpoint: EndpointId
    order: OrderKind
    version: VersionId
    fencing: FencingNumber
    #: ``confirmed``, ``fenced``, ``refused``, ``unknown`` or ``not-sent``.
    outcome: str
    #: Rule that caused the order.
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationApplied(Event):
    """A configuration came into force on this entry."""

    message_type: ClassVar[str] = "configuration:applied"
    revision: Revision


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeSubmitted(Event):
    """An operator submitted a change of the configuration."""

    message_type: ClassVar[str] = "configuration:submitted"
    change: ChangeId
    #: Name of the operator's key.
    author: str
    #: Revision that the change replaces.
    base: Revision
    #: ``accepted``, ``conflict`` or ``unknown``.
    outcome: str


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceStateChanged(Event):
    """This entry started, became ready, became isolated or is stopping."""

    message_type: ClassVar[str] = "instance:state"
    instance: InstanceId
    state: str
    reason: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskFailed(Event):
    """A background task raised an unhandled exception and is restarted."""

    message_type: ClassVar[str] = "instance:task-failed"
    task: str
    #: Class and message of the exception.
    error: str


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutSuspended(Event):
    """The ratings show that a roll-out's target is worse than its base."""

    message_type: ClassVar[str] = "rollout:suspended"
    rollout: RolloutId
    base: VersionId
    target: VersionId
    #: Natural logarithm of the statistical evidence against the target.
    log_evidence: float
    #: Number of ratings of the target behind that evidence.
    target_ratings: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutPauseSubmitted(Event):
    """An entry submitted a configuration change that pauses a roll-out."""

    message_type: ClassVar[str] = "rollout:pause-submitted"
    rollout: RolloutId
    #: ``accepted`` or ``not-accepted``; the latter is retried.
    outcome: str


@dataclass(frozen=True, kw_only=True, slots=True)
class LinesLeftOut(Event):
    """The log's output accepts lines again that it did not accept for a time."""

    message_type: ClassVar[str] = "log:lines-left-out"
    #: Number of lines that were dropped meanwhile.
    lines: int
    #: Why the output accepted none.
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StopUnwritten(Event):
    """A graceful stop ended its wait for records that the store does not have yet."""

    message_type: ClassVar[str] = "stop:unwritten"
    #: ``claims`` or ``ledger``.
    what: str
    #: Number of records.
    records: int
    #: Time for which the stop waited.
    waited_ms: Milliseconds
