"""Declaration of Timberline Permit Works: firewood permits for state forests."""

import hashlib
import sys

from fuchsiaroute.configuration import (
    Configuration,
    ConfiguredCall,
    Endpoint,
    FailureDomain,
    Model,
    Organisation,
    Product,
    RequestClassSpec,
    Service,
    Version,
)
from fuchsiaroute.declaration import encode
from fuchsiaroute.ids import (
    EndpointId,
    FailureDomainId,
    ModelId,
    OrganisationId,
    ProductId,
    RegionId,
    RequestClass,
    ServiceId,
    VersionId,
)

DEPLOYMENT = "timberline"
PRODUCT = ProductId("permit-desk")
LAKES = RegionId("lakes")
FAILURE_DOMAINS = tuple(FailureDomainId(f"lakes-{zone}") for zone in "abc")
SMALL, MEDIUM, LARGE = ModelId("sapling"), ModelId("timber"), ModelId("old-growth")
PERMIT_APP = ServiceId("permit-app")
ORGANISATION_COUNT = 10
LARGE_ORGANISATION_COUNT = 3
WORKER_COUNT = 5
SERVICE_COUNT = 3
FIRST_WORKER_PORT = 9101
FIRST_SERVICE_PORT = 9151


def _version(name: str, *, cost: int, quality: float) -> Version:
    return Version(id=VersionId(name), cost_per_1000_tokens=cost, prior_quality=quality)


MODELS = (
    Model(id=SMALL, versions=(_version("sapling-1", cost=200, quality=0.88),)),
    Model(id=MEDIUM, versions=(_version("timber-4", cost=1_000, quality=0.93),)),
    Model(id=LARGE, versions=(_version("old-growth-2", cost=5_000, quality=0.97),)),
)


def example_key(organisation: str) -> str:
    """Return the example API key of an organisation; real keys come from files."""
    return f"example-key-{organisation}"


def key_digest(key: str) -> str:
    """Return the digest of an API key as a configuration holds it."""
    return hashlib.blake2b(key.encode(), digest_size=32).hexdigest()


def _organisation(number: int) -> Organisation:
    name = f"county-{number:02}"
    is_large = number < LARGE_ORGANISATION_COUNT
    return Organisation(
        id=OrganisationId(name),
        product=PRODUCT,
        permitted_models=(SMALL, MEDIUM, LARGE) if is_large else (SMALL, LARGE),
        permitted_services=(PERMIT_APP,),
        key_digest=key_digest(example_key(name)),
        weight=3 if is_large else 1,
    )


def _worker(number: int) -> Endpoint:
    return Endpoint(
        id=EndpointId(f"model-pool-{number}"),
        url=f"http://127.0.0.1:{FIRST_WORKER_PORT + number}",
        failure_domain=FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
        versions=tuple(version.id for model in MODELS for version in model.versions),
    )


def _service_worker(number: int) -> Endpoint:
    return Endpoint(
        id=EndpointId(f"permit-app-{number}"),
        url=f"http://127.0.0.1:{FIRST_SERVICE_PORT + number}",
        failure_domain=FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
        services=(PERMIT_APP,),
    )


def declare() -> Configuration:
    """Return the configuration of the deployment."""
    return Configuration(
        deployment=DEPLOYMENT,
        failure_domains=tuple(
            FailureDomain(id=name, region=LAKES) for name in FAILURE_DOMAINS
        ),
        products=(
            Product(
                id=PRODUCT,
                priority=7,
                classes=(
                    RequestClassSpec(
                        id=RequestClass("stand-lookup"),
                        quality_target=0.85,
                        expected_tokens=60,
                    ),
                    RequestClassSpec(
                        id=RequestClass("permit-draft"),
                        quality_target=0.90,
                        expected_tokens=300,
                    ),
                    RequestClassSpec(
                        id=RequestClass("cutting-report"),
                        quality_target=0.95,
                        expected_tokens=500,
                    ),
                ),
            ),
        ),
        organisations=tuple(
            _organisation(number) for number in range(ORGANISATION_COUNT)
        ),
        models=MODELS,
        services=(
            Service(
                id=PERMIT_APP,
                calls=(
                    ConfiguredCall(path="/permits/search", is_idempotent=True),
                    ConfiguredCall(path="/permits/issue", is_idempotent=False),
                ),
                cost_per_call=5,
            ),
        ),
        endpoints=(
            *(_worker(number) for number in range(WORKER_COUNT)),
            *(_service_worker(number) for number in range(SERVICE_COUNT)),
        ),
    )


if __name__ == "__main__":
    sys.stdout.buffer.write(encode(declare()))
