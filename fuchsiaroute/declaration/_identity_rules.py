"""Rules on ids: their syntax and their uniqueness."""

import re
from collections.abc import Iterable, Iterator

from fuchsiaroute.configuration import Configuration
from fuchsiaroute.declaration._faults import Fault
from fuchsiaroute.request import AnyModel

_IDENTIFIER = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}", re.ASCII)

#: A value and its place.
PlacedValue = tuple[str, str]


def check_identities(configuration: Configuration) -> Iterator[Fault]:
    """Yield the malformed ids and the duplicate values in ``configuration``."""
    if _IDENTIFIER.fullmatch(configuration.deployment) is None:
        yield _malformed("deployment", configuration.deployment)
    for group in _identifier_groups(configuration):
        yield from _check_syntax(group)
        yield from _check_unique(group)
    yield from _check_unique(_key_digests(configuration))
    yield from _check_unique(_urls(configuration))
    yield from _check_unique(_outages(configuration))
    for group in _call_paths(configuration):
        yield from _check_unique(group)


def _identifier_groups(configuration: Configuration) -> Iterator[list[PlacedValue]]:
    for name in ("failure_domains", "products", "organisations", "endpoints"):
        yield _ids(name, getattr(configuration, name))
    yield _ids("rollouts", configuration.rollouts)
    yield _request_targets(configuration)
    for index, product in enumerate(configuration.products):
        yield _ids(f"products[{index}].classes", product.classes)


def _ids(place: str, items: Iterable[object]) -> list[PlacedValue]:
    return [
        (str(getattr(item, "id")), f"{place}[{index}].id")  # noqa: B009
        for index, item in enumerate(items)
    ]


def _request_targets(configuration: Configuration) -> list[PlacedValue]:
    """Return the names that a request can specify, which share one namespace."""
    names = [(AnyModel.TOKEN.value, "the reserved name for any model")]
    names.extend(_ids("models", configuration.models))
    for index, model in enumerate(configuration.models):
        names.extend(_ids(f"models[{index}].versions", model.versions))
    names.extend(_ids("services", configuration.services))
    return names


def _key_digests(configuration: Configuration) -> list[PlacedValue]:
    return [
        (organisation.key_digest, f"organisations[{index}].key_digest")
        for index, organisation in enumerate(configuration.organisations)
    ]


def _urls(configuration: Configuration) -> list[PlacedValue]:
    return [
        (endpoint.url, f"endpoints[{index}].url")
        for index, endpoint in enumerate(configuration.endpoints)
    ]


def _outages(configuration: Configuration) -> list[PlacedValue]:
    return [
        (outage.failure_domain, f"outages[{index}].failure_domain")
        for index, outage in enumerate(configuration.outages)
    ]


def _call_paths(configuration: Configuration) -> Iterator[list[PlacedValue]]:
    for index, service in enumerate(configuration.services):
        yield [
            (call.path, f"services[{index}].calls[{number}].path")
            for number, call in enumerate(service.calls)
        ]


def _check_syntax(values: list[PlacedValue]) -> Iterator[Fault]:
    for value, place in values:
        if _IDENTIFIER.fullmatch(value) is None:
            yield _malformed(place, value)


def _malformed(place: str, value: str) -> Fault:
    message = f"{value!r} is not a name of 1 to 128 letters, digits, '.', '_', '-'"
    return Fault(place=place, message=message)


def _check_unique(values: list[PlacedValue]) -> Iterator[Fault]:
    first_places: dict[str, str] = {}
    for value, place in values:
        first = first_places.setdefault(value, place)
        if first != place:
            yield Fault(place=place, message=f"{value!r} is taken by {first}")
