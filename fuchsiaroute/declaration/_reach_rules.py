"""
Rules on entries that can never match, and limits that contradict each other.

They are no part of validation: such a configuration works, and may be meant.
"""

from collections.abc import Iterator

from fuchsiaroute.configuration import (
    Configuration,
    Organisation,
    Product,
    Version,
    VersionState,
)
from fuchsiaroute.declaration._faults import Fault, Severity

_TOKENS_PER_PRICE = 1_000


def find_ineffective(configuration: Configuration) -> tuple[Fault, ...]:
    """Return warnings about entries of ``configuration`` that have no effect."""
    return (
        *_check_unused(configuration),
        *_check_denials(configuration),
        *_check_targets(configuration),
    )


def _check_unused(configuration: Configuration) -> Iterator[Fault]:
    organisations = configuration.organisations
    models = {name for item in organisations for name in item.permitted_models}
    services = {name for item in organisations for name in item.permitted_services}
    products = {item.product for item in organisations}
    for index, model in enumerate(configuration.models):
        if model.id not in models:
            yield _warning(f"models[{index}]", "no organisation may use it")
    for index, service in enumerate(configuration.services):
        if service.id not in services:
            yield _warning(f"services[{index}]", "no organisation may call it")
    for index, product in enumerate(configuration.products):
        if product.id not in products:
            yield _warning(f"products[{index}]", "no organisation belongs to it")


def _check_denials(configuration: Configuration) -> Iterator[Fault]:
    for index, organisation in enumerate(configuration.organisations):
        permitted = {
            version.id
            for model in configuration.models
            if model.id in organisation.permitted_models
            for version in model.versions
        }
        for number, name in enumerate(organisation.denied_versions):
            if name not in permitted:
                place = f"organisations[{index}].denied_versions[{number}]"
                yield _warning(place, "its model is not permitted anyway")


def _check_targets(configuration: Configuration) -> Iterator[Fault]:
    """Yield the targets and cost limits that no version permitted can meet."""
    products = {product.id: product for product in configuration.products}
    for index, organisation in enumerate(configuration.organisations):
        versions = _usable_versions(configuration, organisation)
        product = products.get(organisation.product)
        if product is None or not versions:
            # The rules on references and permissions report that.
            continue
        yield from _check_product(index, organisation, product, versions)


def _check_product(
    index: int,
    organisation: Organisation,
    product: Product,
    versions: list[Version],
) -> Iterator[Fault]:
    best = max(version.prior_quality for version in versions)
    cheapest = min(version.cost_per_1000_tokens for version in versions)
    limit = organisation.daily_cost_limit
    for spec in product.classes:
        if spec.quality_target > best:
            yield _warning(
                f"organisations[{index}].permitted_models",
                f"the best version has an estimated quality of {best:g}, and class"
                f" {spec.id} of {product.id} asks for {spec.quality_target:g}",
            )
        cost = cheapest * spec.expected_tokens / _TOKENS_PER_PRICE
        if 0 < limit < cost:
            yield _warning(
                f"organisations[{index}].daily_cost_limit",
                f"one answer of class {spec.id} costs {cost:g} at least",
            )


def _usable_versions(
    configuration: Configuration, organisation: Organisation
) -> list[Version]:
    return [
        version
        for model in configuration.models
        if model.id in organisation.permitted_models
        for version in model.versions
        if version.id not in organisation.denied_versions
        and version.state is not VersionState.WITHDRAWN
    ]


def _warning(place: str, message: str) -> Fault:
    return Fault(place=place, message=message, severity=Severity.WARNING)
