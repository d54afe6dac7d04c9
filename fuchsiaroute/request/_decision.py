"""Decisions on requests, in a form that logs and ``explain`` can print."""

from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.ids import EndpointId, ModelId, Revision, VersionId


class Exclusion(Enum):
    """The rule that excluded a version or an endpoint; ``NONE`` for a candidate."""

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
    """One version considered for a request, with the rule that excluded it."""

    version: VersionId
    model: ModelId
    exclusion: Exclusion
    #: Expected cost in micro-units of the deployment's currency.
    cost: int
    #: Estimated probability that an answer of this version is good.
    quality: float


@dataclass(frozen=True, kw_only=True)
class Decision:
    """The versions to try in order, and all that were considered."""

    #: Configuration revision that the decision was made under.
    revision: Revision
    #: Versions to try: the first choice, then escalations.
    versions: tuple[VersionId, ...]
    candidates: tuple[Candidate, ...]
    #: The endpoint, once chosen; empty before.
    endpoint: EndpointId = EndpointId("")
