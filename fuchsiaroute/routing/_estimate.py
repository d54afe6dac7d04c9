"""Estimates of quality as the choice of a version sees them."""

from dataclasses import dataclass
from typing import Protocol

from fuchsiaroute.configuration import Version
from fuchsiaroute.ids import RequestClass


@dataclass(frozen=True, kw_only=True)
class Estimate:
    """Estimated share of good answers of a version for a class, from 0 to 1."""

    mean: float
    #: Lower end of the confidence interval.
    lower: float
    #: Share of the estimate's weight that comes from ratings, from 0 to 1; the rest
    #: is the operators' declaration.
    rated_share: float = 0.0


class QualityEstimates(Protocol):
    """Source of quality estimates."""

    @property
    def generation(self) -> int:
        """Return a number that changes whenever an estimate may have changed."""

    def estimate(self, version: Version, request_class: RequestClass) -> Estimate:
        """Return the present estimate for ``version`` on ``request_class``."""


class PriorEstimates:
    """Estimates from the operators' declarations alone."""

    @property
    def generation(self) -> int:
        """Return 0: declarations change with the configuration only."""
        return 0

    def estimate(self, version: Version, request_class: RequestClass) -> Estimate:
        """Return the declared quality, the same for every class."""
        return Estimate(mean=version.prior_quality, lower=version.prior_quality)
