"""Declaration of Timberline Permit Works: firewood permits for state forests."""

import sys

from fuchsiaroute.configuration import Configuration
from fuchsiaroute.declaration import (
    Deployment,
    call,
    encode,
    key_digest,
    request_class,
    version,
)
from fuchsiaroute.ids import FailureDomainId, ModelId, ProductId, ServiceId, VersionId

DEPLOYMENT = "timberline"
PRODUCT = ProductId("permit-desk")
REGION = "lakes"
FAILURE_DOMAINS = tuple(FailureDomainId(f"lakes-{zone}") for zone in "abc")
SMALL, MEDIUM, LARGE = ModelId("sapling"), ModelId("timber"), ModelId("old-growth")
VERSIONS = (VersionId("sapling-1"), VersionId("timber-4"), VersionId("old-growth-2"))
PERMIT_APP = ServiceId("permit-app")
ORGANISATION_COUNT = 10
LARGE_ORGANISATION_COUNT = 3
WORKER_COUNT = 5
SERVICE_COUNT = 3
FIRST_WORKER_PORT = 9101
FIRST_SERVICE_PORT = 9151


def example_key(organisation: str) -> str:
    """Return an organisation's API key for local use; real keys are read from files."""
    return f"example-key-{organisation}"


def _declare_product(deployment: Deployment) -> None:
    deployment.product(
        PRODUCT,
        priority=7,
        classes=(
            request_class("stand-lookup", quality_target=0.85, expected_tokens=60),
            request_class("permit-draft", quality_target=0.90, expected_tokens=300),
            request_class("cutting-report", quality_target=0.95, expected_tokens=500),
        ),
    )


def _declare_models(deployment: Deployment) -> None:
    small, medium, large = VERSIONS
    deployment.model(
        SMALL, versions=[version(small, cost_per_1000_tokens=200, prior_quality=0.88)]
    )
    deployment.model(
        MEDIUM,
        versions=[version(medium, cost_per_1000_tokens=1_000, prior_quality=0.93)],
    )
    deployment.model(
        LARGE, versions=[version(large, cost_per_1000_tokens=5_000, prior_quality=0.97)]
    )


def _declare_service(deployment: Deployment) -> None:
    deployment.service(
        PERMIT_APP,
        calls=(
            call("/permits/search", is_idempotent=True),
            call("/permits/issue", is_idempotent=False),
        ),
        cost_per_call=5,
    )


def _declare_organisations(deployment: Deployment) -> None:
    for number in range(ORGANISATION_COUNT):
        name = f"county-{number:02}"
        is_large = number < LARGE_ORGANISATION_COUNT
        deployment.organisation(
            name,
            product=PRODUCT,
            permitted_models=(SMALL, MEDIUM, LARGE) if is_large else (SMALL, LARGE),
            permitted_services=(PERMIT_APP,),
            key_digest=key_digest(example_key(name)),
            weight=3 if is_large else 1,
        )


def _declare_endpoints(deployment: Deployment) -> None:
    for number in range(WORKER_COUNT):
        deployment.engine(
            f"model-pool-{number}",
            url=f"http://127.0.0.1:{FIRST_WORKER_PORT + number}",
            failure_domain=FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
            versions=VERSIONS,
            is_fencing_checked=True,
        )
    for number in range(SERVICE_COUNT):
        deployment.service_endpoint(
            f"permit-app-{number}",
            url=f"http://127.0.0.1:{FIRST_SERVICE_PORT + number}",
            failure_domain=FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
            services=(PERMIT_APP,),
        )


def declare() -> Configuration:
    """Return the configuration of the deployment."""
    deployment = Deployment(DEPLOYMENT)
    for name in FAILURE_DOMAINS:
        deployment.failure_domain(name, region=REGION)
    _declare_product(deployment)
    _declare_models(deployment)
    _declare_service(deployment)
    _declare_organisations(deployment)
    _declare_endpoints(deployment)
    return deployment.build()


if __name__ == "__main__":
    sys.stdout.buffer.write(encode(declare()))
