"""The configuration model: what operators declare and entries enforce."""

from dataclasses import dataclass, replace
from enum import Enum

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import (
    EndpointId,
    FailureDomainId,
    ModelId,
    OrganisationId,
    ProductId,
    RegionId,
    RequestClass,
    RolloutId,
    ServiceId,
    VersionId,
)


class VersionState(Enum):
    """The operators' will for a version."""

    #: Takes new sessions and requests.
    ACTIVE = "active"
    #: Takes no new sessions; pinned sessions go on.
    DRAINING = "draining"
    #: Takes no new work at all.
    WITHDRAWN = "withdrawn"


class RolloutState(Enum):
    """The operators' will for a roll-out."""

    RUNNING = "running"
    #: Keeps its share for pinned sessions and gives the new version no new ones.
    PAUSED = "paused"
    #: The new version gets no new work and the base version takes all of it.
    ABORTED = "aborted"
    #: The new version has the whole share.
    COMPLETE = "complete"


@dataclass(frozen=True, kw_only=True)
class FailureDomain:
    """A group of machines that can fail together."""

    id: FailureDomainId
    region: RegionId


@dataclass(frozen=True, kw_only=True)
class RequestClassSpec:
    """A kind of work of a product."""

    id: RequestClass
    #: Least share of good answers, from 0 to 1.
    quality_target: float
    #: Expected tokens of an answer.
    expected_tokens: int = 256


@dataclass(frozen=True, kw_only=True)
class Product:
    """A product with its own organisations, quality targets and priority."""

    id: ProductId
    classes: tuple[RequestClassSpec, ...]
    #: Higher is shed later; 0 to 9.
    priority: int = 5


@dataclass(frozen=True, kw_only=True)
class Organisation:
    """A customer of one product."""

    id: OrganisationId
    product: ProductId
    #: Models whose versions it may use.
    permitted_models: tuple[ModelId, ...]
    #: Plain services it may call.
    permitted_services: tuple[ServiceId, ...] = ()
    #: Versions it may not use although their model is permitted.
    denied_versions: tuple[VersionId, ...] = ()
    #: BLAKE2b-256 digest of its API key, in hexadecimal.
    key_digest: str
    #: Spending limit in micro-units a day; 0 for none.
    daily_cost_limit: int = 0
    #: Weight in fair sharing; 1 for an ordinary organisation.
    weight: int = 1


@dataclass(frozen=True, kw_only=True)
class Version:
    """One version of a model."""

    id: VersionId
    #: Cost in micro-units of the deployment's currency for 1,000 answer tokens.
    cost_per_1000_tokens: int
    #: Operators' first estimate of the share of good answers, from 0 to 1, used
    #: until ratings replace it.
    prior_quality: float
    state: VersionState = VersionState.ACTIVE


@dataclass(frozen=True, kw_only=True)
class Model:
    """A family of versions; the first active version is the default one."""

    id: ModelId
    versions: tuple[Version, ...]


@dataclass(frozen=True, kw_only=True)
class Rollout:
    """A gradual change from one version of a model to another."""

    id: RolloutId
    model: ModelId
    base: VersionId
    target: VersionId
    #: Share of sessions on the target per stage, from 0 to 1, not decreasing.
    stages: tuple[float, ...]
    #: Index into ``stages`` of the stage in force.
    stage: int = 0
    state: RolloutState = RolloutState.RUNNING
    #: Grows with each resumption; ratings from before it no longer count.
    attempt: int = 0

    @property
    def share(self) -> float:
        """Return the share of sessions on the target in the current stage."""
        if self.state is RolloutState.COMPLETE:
            return 1.0
        return self.stages[self.stage]


@dataclass(frozen=True, kw_only=True)
class ConfiguredCall:
    """One call of a plain service."""

    #: Path of the call, for example ``/permits/issue``.
    path: str
    #: Whether the call may run more than once.
    is_idempotent: bool


@dataclass(frozen=True, kw_only=True)
class Service:
    """A plain service beside the models."""

    id: ServiceId
    calls: tuple[ConfiguredCall, ...]
    #: Cost of a call in micro-units.
    cost_per_call: int = 0


@dataclass(frozen=True, kw_only=True)
class Endpoint:
    """One process that answers requests."""

    id: EndpointId
    #: Base URL by IP number, for example ``http://127.0.0.1:9001``.
    url: str
    failure_domain: FailureDomainId
    #: Versions it serves; empty for a plain service.
    versions: tuple[VersionId, ...] = ()
    #: Plain services it serves; empty for a model engine.
    services: tuple[ServiceId, ...] = ()
    #: Requests at once when warm.
    capacity: int = 32
    #: Requests at once, over all entries together, that a cold endpoint bears.
    cold_capacity: int = 2
    #: Time from the first answer until it bears its full capacity.
    warm_up: Milliseconds = Milliseconds(30_000)
    #: Whether its engine refuses orders with an old fencing number.
    is_fencing_checked: bool = True


@dataclass(frozen=True, kw_only=True)
class Outage:
    """A failure domain that operators have taken out."""

    failure_domain: FailureDomainId
    #: Free text for other operators.
    reason: str = ""


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """Everything that operators declare for one deployment."""

    deployment: str
    failure_domains: tuple[FailureDomain, ...]
    products: tuple[Product, ...]
    organisations: tuple[Organisation, ...]
    models: tuple[Model, ...]
    endpoints: tuple[Endpoint, ...]
    services: tuple[Service, ...] = ()
    rollouts: tuple[Rollout, ...] = ()
    outages: tuple[Outage, ...] = ()

    def with_outages(self, outages: tuple[Outage, ...]) -> "Configuration":
        """Return a copy with ``outages`` in place of the present ones."""
        return replace(self, outages=outages)

    def with_rollouts(self, rollouts: tuple[Rollout, ...]) -> "Configuration":
        """Return a copy with ``rollouts`` in place of the present ones."""
        return replace(self, rollouts=rollouts)

    def with_version_state(
        self, version: VersionId, state: VersionState
    ) -> "Configuration":
        """Return a copy in which ``version`` has ``state``."""
        models = tuple(
            replace(
                model,
                versions=tuple(
                    replace(item, state=state) if item.id == version else item
                    for item in model.versions
                ),
            )
            for model in self.models
        )
        return replace(self, models=models)
