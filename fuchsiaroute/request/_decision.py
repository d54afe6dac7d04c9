"""Routing decisions with the reasons that logs and ``explain`` print."""

from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.ids import EndpointId, ModelId, Revision, VersionId


class Exclusion(Enum):
    """Reason for excluding a version or an endpoint; ``NONE`` if it is eligible."""

    NONE = "none"
    NOT_PERMITTED = "not-permitted"
    NOT_REQUESTED = "not-requested"
    WITHDRAWN = "withdrawn"
    DRAINING = "draining"
    SESSION_PINNED_ELSEWHERE = "session-pinned-elsewhere"
    ROLLOUT_SHARE = "rollout-share"
    ROLLOUT_STOPPED = "rollout-stopped"
    BELOW_QUALITY_TARGET = "below-quality-target"
    COSTLIER = "costlier"
    COST_LIMIT = "cost-limit"
    OUTAGE = "failure-domain-outage"
    LEAVING = "endpoint-leaving"
    SUSPECT = "endpoint-suspect"
    COLD_LIMIT = "cold-limit"
    FULL = "full"
    NO_ENDPOINT = "no-endpoint"


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """A version considered for a request, with the reason if it was excluded."""

    version: VersionId
    model: ModelId
    exclusion: Exclusion
    #: Expected cost in micro-units of the deployment's currency.
    cost: int
    #: Estimated probability that an answer of this version is good.
    quality: float


@dataclass(frozen=True, kw_only=True)
class Decision:
    """The versions to try in order, and all versions considered."""

    #: Revision of the configuration on which the decision is based.
    revision: Revision
    #: Versions to try: the first choice, then escalations.
    versions: tuple[VersionId, ...]
    candidates: tuple[Candidate, ...]
    #: The selected endpoint; empty until one is selected.
    endpoint: EndpointId = EndpointId("")
