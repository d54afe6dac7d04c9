"""Linear fits to measured points."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, kw_only=True)
class Fit:
    """A least-squares line."""

    slope: float
    intercept: float
    #: Share of the variance that the line explains, from 0 to 1.
    r_squared: float

    def at(self, size: float) -> float:
        """Return the line's value at ``size``."""
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Return the least-squares line through ``values`` over ``sizes``."""
    slope, intercept = np.polyfit(sizes, values, 1)
    predicted = np.polyval((slope, intercept), sizes)
    residual = float(np.sum((np.asarray(values) - predicted) ** 2))
    total = float(np.sum((np.asarray(values) - np.mean(values)) ** 2))
    r_squared = 1.0 if total == 0 else 1 - residual / total
    return Fit(slope=float(slope), intercept=float(intercept), r_squared=r_squared)
