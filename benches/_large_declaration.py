"""Generated declarations of any size."""

from dataclasses import replace

from examples import timberline
from fuchsiaroute.configuration import (
    Configuration,
    Endpoint,
    FailureDomain,
    Model,
    Organisation,
    Version,
)
from fuchsiaroute.declaration import key_digest
from fuchsiaroute.ids import (
    EndpointId,
    FailureDomainId,
    ModelId,
    OrganisationId,
    RegionId,
    VersionId,
)

REGIONS = 3
FAILURE_DOMAINS = 8
VERSIONS_PER_ENDPOINT = 3
FIRST_PORT = 10_000


def declare_large(
    *, endpoints: int, versions: int, organisations: int
) -> Configuration:
    """Return a deployment with 3 regions, 8 failure domains and the given counts."""
    base = timberline.declare()
    domains = tuple(
        FailureDomain(
            id=FailureDomainId(f"domain-{number}"),
            region=RegionId(f"region-{number % REGIONS}"),
        )
        for number in range(FAILURE_DOMAINS)
    )
    models = tuple(_model(number, versions) for number in range(versions))
    return replace(
        base,
        failure_domains=domains,
        models=models,
        organisations=tuple(
            _organisation(base.organisations[0], number, models)
            for number in range(organisations)
        ),
        endpoints=tuple(
            _endpoint(number, domains, versions) for number in range(endpoints)
        ),
    )


def _model(number: int, versions: int) -> Model:
    rank = number / max(1, versions - 1)
    version = Version(
        id=VersionId(f"model-{number}-v1"),
        cost_per_1000_tokens=200 + round(4_800 * rank),
        prior_quality=0.85 + 0.13 * rank,
    )
    return Model(id=ModelId(f"model-{number}"), versions=(version,))


def _organisation(
    base: Organisation, number: int, models: tuple[Model, ...]
) -> Organisation:
    name = f"organisation-{number}"
    return replace(
        base,
        id=OrganisationId(name),
        permitted_models=tuple(model.id for model in models),
        key_digest=key_digest(timberline.example_key(name)),
    )


def _endpoint(
    number: int, domains: tuple[FailureDomain, ...], versions: int
) -> Endpoint:
    served = tuple(
        VersionId(f"model-{(number * VERSIONS_PER_ENDPOINT + offset) % versions}-v1")
        for offset in range(min(versions, VERSIONS_PER_ENDPOINT))
    )
    return Endpoint(
        id=EndpointId(f"worker-{number}"),
        url=f"http://127.0.0.1:{FIRST_PORT + number}",
        failure_domain=domains[number % len(domains)].id,
        versions=served,
    )
