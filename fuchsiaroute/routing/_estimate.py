"""Quality estimates, the input of the version choice."""

from dataclasses import dataclass
from typing import Protocol

from fuchsiaroute.configuration import Version
from fuchsiaroute.ids import RequestClass


@dataclass(frozen=True, kw_only=True)
class Estimate:
    """Estimated share of good answers of a version on a request class, 0 to 1."""

    mean: float
    #: Lower end of the confidence interval.
    lower: float
    #: Weight of the ratings in the estimate, 0 to 1; the rest is the weight of the
    #: quality that the operators declared.
    rated_share: float = 0.0


class QualityEstimates(Protocol):
    """Source of quality estimates."""

    @property
    def generation(self) -> int:
        """Return a number that changes when any estimate may have changed."""

    def estimate(self, version: Version, request_class: RequestClass) -> Estimate:
        """Return the current estimate for ``version`` on ``request_class``."""


class PriorEstimates:
    """Estimates from the quality that the operators declared, without ratings."""

    @property
    def generation(self) -> int:
        """Return 0: declared quality changes with the configuration only."""
        return 0

    def estimate(self, version: Version, request_class: RequestClass) -> Estimate:
        """Return the declared quality, the same for every class."""
        return Estimate(mean=version.prior_quality, lower=version.prior_quality)
