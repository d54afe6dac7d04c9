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


class QualityEstimates(Protocol):
    """Source of quality estimates."""

    def estimate(self, version: Version, request_class: RequestClass) -> Estimate:
        """Return the present estimate for ``version`` on ``request_class``."""


class PriorEstimates:
    """Estimates from the operators' declarations alone."""

    def estimate(self, version: Version, request_class: RequestClass) -> Estimate:
        """Return the declared quality, the same for every class."""
        return Estimate(mean=version.prior_quality, lower=version.prior_quality)
