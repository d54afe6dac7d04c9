"""Quality estimates from a quality table and the declared quality."""

import math

from fuchsiaroute.configuration import Version
from fuchsiaroute.ids import RequestClass
from fuchsiaroute.quality._cell import Cell
from fuchsiaroute.quality._table import QualityTable
from fuchsiaroute.routing import Estimate

#: Weight of the declared quality, in ratings.
PRIOR_WEIGHT_RATINGS = 300.0
#: Weight of the declared quality once a change of quality was detected, in ratings.
CHANGED_PRIOR_WEIGHT_RATINGS = 5.0
#: Distance of the lower bound from the mean in standard deviations: one-sided 90%.
LOWER_BOUND_DEVIATIONS = 1.28


class TableEstimates:
    """Estimates from the latest table; implements ``routing.QualityEstimates``."""

    def __init__(self, table: QualityTable | None = None) -> None:
        self._table = table or QualityTable()
        self._generation = 0

    @property
    def table(self) -> QualityTable:
        """Return the table in use."""
        return self._table

    @property
    def generation(self) -> int:
        """Return a number that increases with each new table."""
        return self._generation

    def update(self, table: QualityTable) -> None:
        """Replace the table in use by ``table``."""
        if table is not self._table:
            self._table = table
            self._generation += 1

    def estimate(self, version: Version, request_class: RequestClass) -> Estimate:
        """Return the estimate for ``version`` on ``request_class``."""
        cell = self._table.cell(version.id, request_class)
        return _estimate(cell, version.prior_quality)


def _estimate(cell: Cell, prior: float) -> Estimate:
    weight = CHANGED_PRIOR_WEIGHT_RATINGS if cell.is_changed else PRIOR_WEIGHT_RATINGS
    ratings = weight + cell.long_ratings
    mean = (weight * prior + cell.long_good) / ratings
    deviation = math.sqrt(mean * (1.0 - mean) / ratings)
    lower = max(0.0, mean - LOWER_BOUND_DEVIATIONS * deviation)
    return Estimate(mean=mean, lower=lower, rated_share=cell.long_ratings / ratings)
