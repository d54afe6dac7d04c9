"""Declaration of Hanbit Workers' Handbook Cooperative: a shared handbook portal."""

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

DEPLOYMENT = "hanbit"
PRODUCT = ProductId("handbook-portal")
SEOUL = RegionId("seoul")
FAILURE_DOMAINS = tuple(FailureDomainId(f"seoul-{zone}") for zone in "abc")
SMALL, MEDIUM, LARGE = ModelId("jebi"), ModelId("kkachi"), ModelId("duru")
PORTAL_APP = ServiceId("portal-app")
ORGANISATION_COUNT = 10
LARGE_ORGANISATION_COUNT = 3
WORKER_COUNT = 5
SERVICE_COUNT = 3
FIRST_WORKER_PORT = 9201
FIRST_SERVICE_PORT = 9251


def _version(name: str, *, cost: int, quality: float) -> Version:
    return Version(id=VersionId(name), cost_per_1000_tokens=cost, prior_quality=quality)


MODELS = (
    Model(id=SMALL, versions=(_version("jebi-3", cost=200, quality=0.88),)),
    Model(id=MEDIUM, versions=(_version("kkachi-2", cost=1_000, quality=0.93),)),
    Model(id=LARGE, versions=(_version("duru-5", cost=5_000, quality=0.97),)),
)


def example_key(organisation: str) -> str:
    """Return the example API key of an organisation; real keys come from files."""
    return f"example-key-{organisation}"


def key_digest(key: str) -> str:
    """Return the digest of an API key as a configuration holds it."""
    return hashlib.blake2b(key.encode(), digest_size=32).hexdigest()


def _organisation(number: int) -> Organisation:
    name = f"firm-{number:02}"
    is_large = number < LARGE_ORGANISATION_COUNT
    return Organisation(
        id=OrganisationId(name),
        product=PRODUCT,
        permitted_models=(SMALL, MEDIUM, LARGE) if is_large else (SMALL, LARGE),
        permitted_services=(PORTAL_APP,),
        key_digest=key_digest(example_key(name)),
        weight=3 if is_large else 1,
    )


def _worker(number: int) -> Endpoint:
    return Endpoint(
        id=EndpointId(f"assistant-models-{number}"),
        url=f"http://127.0.0.1:{FIRST_WORKER_PORT + number}",
        failure_domain=FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
        versions=tuple(version.id for model in MODELS for version in model.versions),
    )


def _service_worker(number: int) -> Endpoint:
    return Endpoint(
        id=EndpointId(f"portal-app-{number}"),
        url=f"http://127.0.0.1:{FIRST_SERVICE_PORT + number}",
        failure_domain=FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
        services=(PORTAL_APP,),
    )


def declare() -> Configuration:
    """Return the configuration of the deployment."""
    return Configuration(
        deployment=DEPLOYMENT,
        failure_domains=tuple(
            FailureDomain(id=name, region=SEOUL) for name in FAILURE_DOMAINS
        ),
        products=(
            Product(
                id=PRODUCT,
                priority=5,
                classes=(
                    RequestClassSpec(
                        id=RequestClass("overtime-question"),
                        quality_target=0.85,
                        expected_tokens=60,
                    ),
                    RequestClassSpec(
                        id=RequestClass("leave-letter"),
                        quality_target=0.90,
                        expected_tokens=300,
                    ),
                    RequestClassSpec(
                        id=RequestClass("chapter-review"),
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
                id=PORTAL_APP,
                calls=(
                    ConfiguredCall(path="/pages/read", is_idempotent=True),
                    ConfiguredCall(path="/signatures/add", is_idempotent=False),
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
