"""
Builder of a configuration.

The methods return typed ids, to which later declarations refer, so a type checker
reports, for example, a model id that is passed as a version id.
"""

from collections.abc import Iterable

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.configuration import (
    Configuration,
    ConfiguredCall,
    Endpoint,
    FailureDomain,
    Model,
    Organisation,
    Outage,
    Product,
    RequestClassSpec,
    Rollout,
    Service,
    Version,
)
from fuchsiaroute.declaration._exceptions import DeclarationError
from fuchsiaroute.declaration._faults import has_errors
from fuchsiaroute.declaration._validate import validate
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


def request_class(
    name: str, *, quality_target: float, expected_tokens: int
) -> RequestClassSpec:
    """Return a request class; its target is a share of good answers, 0 to 1."""
    return RequestClassSpec(
        id=RequestClass(name),
        quality_target=quality_target,
        expected_tokens=expected_tokens,
    )


def version(name: str, *, cost_per_1000_tokens: int, prior_quality: float) -> Version:
    """Return an active version; its cost is in micro-units of the currency."""
    return Version(
        id=VersionId(name),
        cost_per_1000_tokens=cost_per_1000_tokens,
        prior_quality=prior_quality,
    )


def call(path: str, *, is_idempotent: bool) -> ConfiguredCall:
    """Return a call of a plain service."""
    return ConfiguredCall(path=path, is_idempotent=is_idempotent)


class Deployment:
    """Collects the declarations of a deployment and builds its configuration."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._failure_domains: list[FailureDomain] = []
        self._products: list[Product] = []
        self._organisations: list[Organisation] = []
        self._models: list[Model] = []
        self._services: list[Service] = []
        self._endpoints: list[Endpoint] = []
        self._rollouts: list[Rollout] = []
        self._outages: list[Outage] = []

    def failure_domain(self, name: str, *, region: str) -> FailureDomainId:
        """Declare a failure domain."""
        domain = FailureDomain(id=FailureDomainId(name), region=RegionId(region))
        self._failure_domains.append(domain)
        return domain.id

    def product(
        self, name: str, *, classes: Iterable[RequestClassSpec], priority: int = 5
    ) -> ProductId:
        """Declare a product; the lowest priorities (0 to 9) are shed first."""
        product = Product(id=ProductId(name), classes=tuple(classes), priority=priority)
        self._products.append(product)
        return product.id

    def model(self, name: str, *, versions: Iterable[Version]) -> ModelId:
        """Declare a model; its first active version is the default one."""
        model = Model(id=ModelId(name), versions=tuple(versions))
        self._models.append(model)
        return model.id

    def service(
        self, name: str, *, calls: Iterable[ConfiguredCall], cost_per_call: int = 0
    ) -> ServiceId:
        """Declare a plain service; its cost is in micro-units of the currency."""
        service = Service(
            id=ServiceId(name), calls=tuple(calls), cost_per_call=cost_per_call
        )
        self._services.append(service)
        return service.id

    def organisation(
        self,
        name: str,
        *,
        product: ProductId,
        key_digest: str,
        permitted_models: Iterable[ModelId],
        permitted_services: Iterable[ServiceId] = (),
        denied_versions: Iterable[VersionId] = (),
        daily_cost_limit: int = 0,
        weight: int = 1,
    ) -> OrganisationId:
        """Declare an organisation; its cost limit is in micro-units, 0 for no limit."""
        organisation = Organisation(
            id=OrganisationId(name),
            product=product,
            key_digest=key_digest,
            permitted_models=tuple(permitted_models),
            permitted_services=tuple(permitted_services),
            denied_versions=tuple(denied_versions),
            daily_cost_limit=daily_cost_limit,
            weight=weight,
        )
        self._organisations.append(organisation)
        return organisation.id

    def engine(
        self,
        name: str,
        *,
        url: str,
        failure_domain: FailureDomainId,
        versions: Iterable[VersionId],
        is_fencing_checked: bool,
        capacity: int = 32,
        cold_capacity: int = 2,
        warm_up: Milliseconds = Milliseconds(30_000),
    ) -> EndpointId:
        """Declare a model engine; capacities count concurrent requests."""
        endpoint = Endpoint(
            id=EndpointId(name),
            url=url,
            failure_domain=failure_domain,
            versions=tuple(versions),
            is_fencing_checked=is_fencing_checked,
            capacity=capacity,
            cold_capacity=cold_capacity,
            warm_up=warm_up,
        )
        self._endpoints.append(endpoint)
        return endpoint.id

    def service_endpoint(
        self,
        name: str,
        *,
        url: str,
        failure_domain: FailureDomainId,
        services: Iterable[ServiceId],
        capacity: int = 32,
    ) -> EndpointId:
        """Declare an endpoint that serves plain services."""
        endpoint = Endpoint(
            id=EndpointId(name),
            url=url,
            failure_domain=failure_domain,
            services=tuple(services),
            capacity=capacity,
            cold_capacity=min(capacity, Endpoint.cold_capacity),
        )
        self._endpoints.append(endpoint)
        return endpoint.id

    def rollout(
        self,
        name: str,
        *,
        model: ModelId,
        base: VersionId,
        target: VersionId,
        stages: Iterable[float],
    ) -> RolloutId:
        """Declare a roll-out; stages are shares of sessions, 0 to 1, not decreasing."""
        rollout = Rollout(
            id=RolloutId(name),
            model=model,
            base=base,
            target=target,
            stages=tuple(stages),
        )
        self._rollouts.append(rollout)
        return rollout.id

    def outage(self, failure_domain: FailureDomainId, *, reason: str = "") -> None:
        """Declare that ``failure_domain`` is out of service."""
        self._outages.append(Outage(failure_domain=failure_domain, reason=reason))

    def build(self) -> Configuration:
        """
        Return the configuration.

        Raises ``DeclarationError`` if it has errors; the message lists every fault.
        """
        configuration = Configuration(
            deployment=self._name,
            failure_domains=tuple(self._failure_domains),
            products=tuple(self._products),
            organisations=tuple(self._organisations),
            models=tuple(self._models),
            services=tuple(self._services),
            endpoints=tuple(self._endpoints),
            rollouts=tuple(self._rollouts),
            outages=tuple(self._outages),
        )
        faults = validate(configuration)
        if has_errors(faults):
            raise DeclarationError("\n".join(str(fault) for fault in faults))
        return configuration
