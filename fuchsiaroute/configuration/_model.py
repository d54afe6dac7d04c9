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
    """State that operators assign to a version."""

    #: Takes new sessions and requests.
    ACTIVE = "active"
    #: Takes no new sessions; pinned sessions continue.
    DRAINING = "draining"
    #: Takes no requests, not even those of pinned sessions.
    WITHDRAWN = "withdrawn"


class RolloutState(Enum):
    """State that operators assign to a roll-out."""

    RUNNING = "running"
    #: Pinned sessions stay on the target version, which gets no new sessions.
    PAUSED = "paused"
    #: All new work goes to the base version.
    ABORTED = "aborted"
    #: All sessions go to the target version.
    COMPLETE = "complete"


@dataclass(frozen=True, kw_only=True)
class FailureDomain:
    """A group of machines that can fail together, for example a zone."""

    id: FailureDomainId
    region: RegionId


@dataclass(frozen=True, kw_only=True)
class RequestClassSpec:
    """A class of requests of a product that share a quality target."""

    id: RequestClass
    #: Minimum share of good answers, from 0 to 1.
    quality_target: float
    #: Expected number of tokens in an answer.
    expected_tokens: int = 256


@dataclass(frozen=True, kw_only=True)
class Product:
    """A product with its own organisations, quality targets and priority."""

    id: ProductId
    classes: tuple[RequestClassSpec, ...]
    #: From 0 to 9; under overload, lower priorities are shed first.
    priority: int = 5


@dataclass(frozen=True, kw_only=True)
class Organisation:
    """A customer of a product."""

    id: OrganisationId
    product: ProductId
    #: Models that the organisation may use.
    permitted_models: tuple[ModelId, ...]
    #: Plain services that the organisation may call.
    permitted_services: tuple[ServiceId, ...] = ()
    #: Versions excluded from the permitted models.
    denied_versions: tuple[VersionId, ...] = ()
    #: BLAKE2b-256 digest of its API key, in hexadecimal.
    key_digest: str
    #: Spending limit per day in micro-units of the currency; 0 for no limit.
    daily_cost_limit: int = 0
    #: Weight in fair queueing; an organisation has 1 by default.
    weight: int = 1


@dataclass(frozen=True, kw_only=True)
class Version:
    """One version of a model."""

    id: VersionId
    #: Cost of 1,000 answer tokens in micro-units of the deployment's currency.
    cost_per_1000_tokens: int
    #: Operators' estimate of the share of good answers, from 0 to 1, used until
    #: ratings replace it.
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
    #: Incremented when the roll-out is resumed; ratings of earlier attempts are
    #: ignored.
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
    """A service that runs no model."""

    id: ServiceId
    calls: tuple[ConfiguredCall, ...]
    #: Cost of a call in micro-units of the deployment's currency.
    cost_per_call: int = 0


@dataclass(frozen=True, kw_only=True)
class Endpoint:
    """A process that answers requests: a model engine or a plain service."""

    id: EndpointId
    #: Base URL with an IP address, for example ``http://127.0.0.1:9001``.
    url: str
    failure_domain: FailureDomainId
    #: Model versions that the endpoint serves; empty for a plain service.
    versions: tuple[VersionId, ...] = ()
    #: Plain services that the endpoint serves; empty for a model engine.
    services: tuple[ServiceId, ...] = ()
    #: Maximum concurrent requests when warm.
    capacity: int = 32
    #: Maximum concurrent requests while cold, summed over all entries.
    cold_capacity: int = 2
    #: Time from the first answer until the full capacity is available.
    warm_up: Milliseconds = Milliseconds(30_000)
    #: Whether the engine rejects orders with an outdated fencing number.
    is_fencing_checked: bool = True


@dataclass(frozen=True, kw_only=True)
class Outage:
    """A failure domain that operators have taken out of service."""

    failure_domain: FailureDomainId
    #: Free text for other operators.
    reason: str = ""


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """The complete declaration of one deployment."""

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
        """Return a copy with its outages replaced by ``outages``."""
        return replace(self, outages=outages)

    def with_rollouts(self, rollouts: tuple[Rollout, ...]) -> "Configuration":
        """Return a copy with its roll-outs replaced by ``rollouts``."""
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
