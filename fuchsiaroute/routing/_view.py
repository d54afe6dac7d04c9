"""Lookup indexes over a configuration."""

from collections import defaultdict

from fuchsiaroute.configuration import (
    Configuration,
    Endpoint,
    Model,
    Organisation,
    Product,
    RequestClassSpec,
    Rollout,
    Service,
    Version,
)
from fuchsiaroute.ids import (
    EndpointId,
    ModelId,
    OrganisationId,
    ProductId,
    RequestClass,
    Revision,
    RolloutId,
    ServiceId,
    VersionId,
)


class ConfigurationView:
    """
    A configuration with its revision and lookup indexes.

    Views are immutable; each revision gets its own. Lookups take constant time and
    return None, or an empty tuple, for an unknown key.
    """

    def __init__(self, configuration: Configuration, revision: Revision) -> None:
        self._configuration = configuration
        self._revision = revision
        self._organisations = {item.id: item for item in configuration.organisations}
        self._by_key_digest = {
            item.key_digest: item for item in configuration.organisations
        }
        self._products = {item.id: item for item in configuration.products}
        self._classes = {
            (product.id, spec.id): spec
            for product in configuration.products
            for spec in product.classes
        }
        self._models = {item.id: item for item in configuration.models}
        self._versions = {
            version.id: version
            for model in configuration.models
            for version in model.versions
        }
        self._model_by_version = {
            version.id: model
            for model in configuration.models
            for version in model.versions
        }
        self._services = {item.id: item for item in configuration.services}
        self._index_rollouts()
        self._index_endpoints()

    @property
    def configuration(self) -> Configuration:
        """Return the configuration that the view indexes."""
        return self._configuration

    @property
    def revision(self) -> Revision:
        """Return the revision of the configuration."""
        return self._revision

    def organisation(self, organisation: OrganisationId) -> Organisation | None:
        """Return an organisation."""
        return self._organisations.get(organisation)

    def organisation_by_key_digest(self, digest: str) -> Organisation | None:
        """Return the organisation whose API key has ``digest``."""
        return self._by_key_digest.get(digest)

    def product(self, product: ProductId) -> Product | None:
        """Return a product."""
        return self._products.get(product)

    def request_class(
        self, product: ProductId, request_class: RequestClass
    ) -> RequestClassSpec | None:
        """Return a request class of a product."""
        return self._classes.get((product, request_class))

    def model(self, model: ModelId) -> Model | None:
        """Return a model."""
        return self._models.get(model)

    def version(self, version: VersionId) -> Version | None:
        """Return a version of any model."""
        return self._versions.get(version)

    def model_of(self, version: VersionId) -> Model | None:
        """Return the model that a version belongs to."""
        return self._model_by_version.get(version)

    def service(self, service: ServiceId) -> Service | None:
        """Return a plain service, which runs no model."""
        return self._services.get(service)

    def endpoint(self, endpoint: EndpointId) -> Endpoint | None:
        """Return an endpoint."""
        return self._endpoints.get(endpoint)

    def endpoints_of(self, version: VersionId) -> tuple[Endpoint, ...]:
        """Return the endpoints that serve a version, in declared order."""
        return self._by_version.get(version, ())

    def endpoints_of_service(self, service: ServiceId) -> tuple[Endpoint, ...]:
        """Return the endpoints of a plain service, in declared order."""
        return self._by_service.get(service, ())

    def rollout(self, rollout: RolloutId) -> Rollout | None:
        """Return a roll-out."""
        return self._rollouts.get(rollout)

    def rollout_to(self, version: VersionId) -> Rollout | None:
        """Return the last declared roll-out whose target is ``version``."""
        return self._rollout_by_target.get(version)

    def rollouts_of(self, model: ModelId) -> tuple[Rollout, ...]:
        """Return the roll-outs of a model, in declared order."""
        return self._rollouts_by_model.get(model, ())

    def _index_rollouts(self) -> None:
        rollouts = self._configuration.rollouts
        by_model: defaultdict[ModelId, list[Rollout]] = defaultdict(list)
        for rollout in rollouts:
            by_model[rollout.model].append(rollout)
        self._rollouts = {item.id: item for item in rollouts}
        self._rollout_by_target = {item.target: item for item in rollouts}
        self._rollouts_by_model = {
            model: tuple(items) for model, items in by_model.items()
        }

    def _index_endpoints(self) -> None:
        by_version: defaultdict[VersionId, list[Endpoint]] = defaultdict(list)
        by_service: defaultdict[ServiceId, list[Endpoint]] = defaultdict(list)
        for endpoint in self._configuration.endpoints:
            for version in endpoint.versions:
                by_version[version].append(endpoint)
            for service in endpoint.services:
                by_service[service].append(endpoint)
        self._endpoints = {item.id: item for item in self._configuration.endpoints}
        self._by_version = {key: tuple(items) for key, items in by_version.items()}
        self._by_service = {key: tuple(items) for key, items in by_service.items()}
