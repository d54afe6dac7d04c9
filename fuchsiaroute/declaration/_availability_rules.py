"""Rules on availability: what callers may use and whether an endpoint serves it."""

from collections.abc import Iterator

from fuchsiaroute.configuration import Configuration, Organisation, VersionState
from fuchsiaroute.declaration._faults import Fault, Severity
from fuchsiaroute.ids import VersionId


def check_availability(configuration: Configuration) -> Iterator[Fault]:
    """Yield the faults in ``configuration`` that leave callers without service."""
    yield from _check_permissions(configuration)
    yield from _check_endpoint_coverage(configuration)
    yield from _check_outages(configuration)


def _check_permissions(configuration: Configuration) -> Iterator[Fault]:
    states = {
        version.id: version.state
        for model in configuration.models
        for version in model.versions
    }
    for index, organisation in enumerate(configuration.organisations):
        place = f"organisations[{index}].permitted_models"
        permitted = _permitted_versions(configuration, organisation)
        if not permitted:
            if not organisation.permitted_services:
                yield Fault(place=place, message="permits no version and no service")
        elif all(states[name] is VersionState.WITHDRAWN for name in permitted):
            yield Fault(
                place=place,
                message="every permitted version is withdrawn",
                severity=Severity.WARNING,
            )


def _permitted_versions(
    configuration: Configuration, organisation: Organisation
) -> list[VersionId]:
    return [
        version.id
        for model in configuration.models
        if model.id in organisation.permitted_models
        for version in model.versions
        if version.id not in organisation.denied_versions
    ]


def _check_endpoint_coverage(configuration: Configuration) -> Iterator[Fault]:
    versions = {
        name for endpoint in configuration.endpoints for name in endpoint.versions
    }
    services = {
        name for endpoint in configuration.endpoints for name in endpoint.services
    }
    for index, model in enumerate(configuration.models):
        for number, version in enumerate(model.versions):
            is_used = version.state is not VersionState.WITHDRAWN
            if is_used and version.id not in versions:
                yield _without_endpoint(f"models[{index}].versions[{number}]")
    for index, service in enumerate(configuration.services):
        if service.id not in services:
            yield _without_endpoint(f"services[{index}]")


def _without_endpoint(place: str) -> Fault:
    return Fault(
        place=place, message="no endpoint serves it", severity=Severity.WARNING
    )


def _check_outages(configuration: Configuration) -> Iterator[Fault]:
    taken_out = {outage.failure_domain for outage in configuration.outages}
    used = {endpoint.failure_domain for endpoint in configuration.endpoints}
    if used and used <= taken_out:
        yield Fault(
            place="outages",
            message="every failure domain with endpoints is taken out",
            severity=Severity.WARNING,
        )
