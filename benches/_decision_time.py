"""Processor time of a routing decision."""

import time
from random import Random

import numpy as np

from fuchsiaroute.cascade import CascadeChooser
from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.configuration import (
    Configuration,
    FailureDomain,
    Model,
    Organisation,
    Product,
    RequestClassSpec,
    Rollout,
    Version,
)
from fuchsiaroute.ids import (
    FailureDomainId,
    ModelId,
    OrganisationId,
    ProductId,
    RegionId,
    RequestClass,
    RequestId,
    Revision,
    RolloutId,
    VersionId,
)
from fuchsiaroute.quality import QualityTable, TableEstimates
from fuchsiaroute.request import Request
from fuchsiaroute.routing import ConfigurationView, VersionRouter
from fuchsiaroute.session import PinSigner

MEASURED_DECISIONS = 20_000
WARM_UP_DECISIONS = 2_000
VERSIONS_PER_MODEL = 2
_PRODUCT = ProductId("product")
_CLASS = RequestClass("class")


def decision_microseconds(
    version_count: int, *, rollout_count: int, is_refreshed: bool = False
) -> tuple[float, float]:
    """
    Return the median and the 99th percentile of a decision in microseconds.

    Processor time is measured, which excludes other processes. With ``is_refreshed``
    the quality estimates are updated before every decision.
    """
    configuration = _configuration(version_count, rollout_count)
    view = ConfigurationView(configuration, Revision(1))
    estimates = TableEstimates()
    router = VersionRouter(
        pins=PinSigner(keys=("bench",), clock=ManualClock()),
        random=Random(1),
        estimates=estimates,
        chooser=CascadeChooser(),
    )
    durations: list[int] = []
    for number in range(WARM_UP_DECISIONS + MEASURED_DECISIONS):
        request = Request(
            id=RequestId(f"q{number}"),
            organisation=OrganisationId(f"o{number % 10}"),
            product=_PRODUCT,
            request_class=_CLASS,
            deadline=Milliseconds(0),
        )
        if is_refreshed:
            estimates.update(QualityTable(total=number))
        start = time.thread_time_ns()
        router.route(request, view, can_escalate=True)
        durations.append(time.thread_time_ns() - start)
    measured = np.array(durations[WARM_UP_DECISIONS:]) / 1_000
    return float(np.percentile(measured, 50)), float(np.percentile(measured, 99))


def _configuration(version_count: int, rollout_count: int) -> Configuration:
    """Return a configuration whose first models have running roll-outs."""
    random = Random(3)
    models: list[Model] = []
    rollouts: list[Rollout] = []
    for first in range(0, version_count, VERSIONS_PER_MODEL):
        names = range(first, min(first + VERSIONS_PER_MODEL, version_count))
        model = ModelId(f"m{first}")
        versions = tuple(
            Version(
                id=VersionId(f"v{name}"),
                cost_per_1000_tokens=100 * (first + 1),
                prior_quality=min(0.99, 0.8 + 0.19 * first / version_count)
                + 0.005 * random.random(),
            )
            for name in names
        )
        models.append(Model(id=model, versions=versions))
        if len(versions) == VERSIONS_PER_MODEL and len(rollouts) < rollout_count:
            rollouts.append(
                Rollout(
                    id=RolloutId(f"r{first}"),
                    model=model,
                    base=versions[0].id,
                    target=versions[1].id,
                    stages=(0.2, 1.0),
                )
            )
    return Configuration(
        deployment="bench",
        failure_domains=(FailureDomain(id=FailureDomainId("a"), region=RegionId("r")),),
        products=(
            Product(
                id=_PRODUCT,
                classes=(RequestClassSpec(id=_CLASS, quality_target=0.9),),
            ),
        ),
        organisations=tuple(
            Organisation(
                id=OrganisationId(f"o{number}"),
                product=_PRODUCT,
                permitted_models=tuple(model.id for model in models),
                key_digest=str(number),
            )
            for number in range(10)
        ),
        models=tuple(models),
        endpoints=(),
        rollouts=tuple(rollouts),
    )
