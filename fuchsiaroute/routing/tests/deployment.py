"""A small configuration and builders of its variants, shared by tests."""

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.configuration import (
    Configuration,
    Endpoint,
    FailureDomain,
    Model,
    Organisation,
    Product,
    RequestClassSpec,
    Rollout,
    RolloutState,
    Service,
    Version,
)
from fuchsiaroute.ids import (
    EndpointId,
    FailureDomainId,
    ModelId,
    OrganisationId,
    ProductId,
    RegionId,
    RequestClass,
    RequestId,
    Revision,
    RolloutId,
    ServiceId,
    VersionId,
)
from fuchsiaroute.request import Request
from fuchsiaroute.routing import ConfigurationView

PRODUCT = ProductId("portal")
QUESTION = RequestClass("question")
REVIEW = RequestClass("review")
SMALL, LARGE, SECRET = ModelId("small"), ModelId("large"), ModelId("secret")
S1, S2, S3 = VersionId("small-1"), VersionId("small-2"), VersionId("small-3")
L1, X1 = VersionId("large-1"), VersionId("secret-1")
APP = ServiceId("app")
FIRM = OrganisationId("firm")
OTHER = OrganisationId("other")
ROLLOUT = RolloutId("small-1-to-2")


def make_version(name: VersionId, cost: int, quality: float) -> Version:
    return Version(id=name, cost_per_1000_tokens=cost, prior_quality=quality)


def make_rollout(
    state: RolloutState = RolloutState.RUNNING,
    stages: tuple[float, ...] = (0.5, 1.0),
    stage: int = 0,
) -> Rollout:
    return Rollout(
        id=ROLLOUT,
        model=SMALL,
        base=S1,
        target=S2,
        stages=stages,
        stage=stage,
        state=state,
    )


def make_configuration(*, rollouts: tuple[Rollout, ...] = ()) -> Configuration:
    models = (
        Model(
            id=SMALL,
            versions=(
                make_version(S1, 200, 0.90),
                make_version(S2, 200, 0.91),
                make_version(S3, 200, 0.92),
            ),
        ),
        Model(id=LARGE, versions=(make_version(L1, 5_000, 0.97),)),
        Model(id=SECRET, versions=(make_version(X1, 100, 0.99),)),
    )
    domain = FailureDomainId("a")
    return Configuration(
        deployment="test",
        failure_domains=(FailureDomain(id=domain, region=RegionId("r")),),
        products=(
            Product(
                id=PRODUCT,
                classes=(
                    RequestClassSpec(id=QUESTION, quality_target=0.85),
                    RequestClassSpec(id=REVIEW, quality_target=0.95),
                ),
            ),
        ),
        organisations=(
            Organisation(
                id=FIRM,
                product=PRODUCT,
                permitted_models=(SMALL, LARGE),
                permitted_services=(APP,),
                denied_versions=(S3,),
                key_digest="f",
            ),
            Organisation(
                id=OTHER, product=PRODUCT, permitted_models=(SECRET,), key_digest="o"
            ),
        ),
        models=models,
        services=(Service(id=APP, calls=(), cost_per_call=5),),
        endpoints=(
            Endpoint(
                id=EndpointId("e1"),
                url="http://127.0.0.1:9001",
                failure_domain=domain,
                versions=(S1, S2, S3, L1, X1),
            ),
        ),
        rollouts=rollouts,
    )


def make_view(configuration: Configuration | None = None) -> ConfigurationView:
    return ConfigurationView(configuration or make_configuration(), Revision(7))


def make_request(name: str = "r1", **changes: object) -> Request:
    values: dict[str, object] = {
        "id": RequestId(name),
        "organisation": FIRM,
        "product": PRODUCT,
        "request_class": QUESTION,
        "deadline": Milliseconds(2_000_000),
    }
    return Request(**{**values, **changes})  # type: ignore[arg-type]
