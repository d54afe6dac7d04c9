"""Rules on references: each id that is referred to must be declared."""

from collections.abc import Collection, Iterator

from fuchsiaroute.configuration import Configuration
from fuchsiaroute.declaration._faults import Fault


def check_references(configuration: Configuration) -> Iterator[Fault]:
    """Yield the references in ``configuration`` to undeclared ids."""
    yield from _check_organisations(configuration)
    yield from _check_endpoints(configuration)
    models = {model.id for model in configuration.models}
    domains = {domain.id for domain in configuration.failure_domains}
    for index, rollout in enumerate(configuration.rollouts):
        yield from _check_one(
            f"rollouts[{index}].model", "model", rollout.model, models
        )
    for index, outage in enumerate(configuration.outages):
        place = f"outages[{index}].failure_domain"
        yield from _check_one(place, "failure domain", outage.failure_domain, domains)


def _check_organisations(configuration: Configuration) -> Iterator[Fault]:
    products = {product.id for product in configuration.products}
    models = {model.id for model in configuration.models}
    services = {service.id for service in configuration.services}
    versions = _version_ids(configuration)
    for index, organisation in enumerate(configuration.organisations):
        place = f"organisations[{index}]"
        yield from _check_one(
            f"{place}.product", "product", organisation.product, products
        )
        yield from _check_all(
            f"{place}.permitted_models", "model", organisation.permitted_models, models
        )
        yield from _check_all(
            f"{place}.permitted_services",
            "service",
            organisation.permitted_services,
            services,
        )
        yield from _check_all(
            f"{place}.denied_versions",
            "version",
            organisation.denied_versions,
            versions,
        )


def _check_endpoints(configuration: Configuration) -> Iterator[Fault]:
    domains = {domain.id for domain in configuration.failure_domains}
    services = {service.id for service in configuration.services}
    versions = _version_ids(configuration)
    for index, endpoint in enumerate(configuration.endpoints):
        place = f"endpoints[{index}]"
        yield from _check_one(
            f"{place}.failure_domain",
            "failure domain",
            endpoint.failure_domain,
            domains,
        )
        yield from _check_all(
            f"{place}.versions", "version", endpoint.versions, versions
        )
        yield from _check_all(
            f"{place}.services", "service", endpoint.services, services
        )


def _version_ids(configuration: Configuration) -> frozenset[str]:
    return frozenset(
        version.id for model in configuration.models for version in model.versions
    )


def _check_all(
    place: str, kind: str, ids: Collection[str], known: Collection[str]
) -> Iterator[Fault]:
    for index, item in enumerate(ids):
        yield from _check_one(f"{place}[{index}]", kind, item, known)


def _check_one(
    place: str, kind: str, item: str, known: Collection[str]
) -> Iterator[Fault]:
    if item not in known:
        yield Fault(place=place, message=f"unknown {kind} {item!r}")
