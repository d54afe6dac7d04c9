"""Likelihood ratios of a worse target against one that is as good as its base."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from fuchsiaroute.sequential._evidence import Evidence


@dataclass(frozen=True, kw_only=True)
class Alternative:
    """Alternative hypothesis: a higher rate of bad answers for the target."""

    #: Rate of bad answers of the target divided by that of the base.
    rate_ratio: float
    #: Weight in the mixture; all weights sum to 1.
    weight: float


#: Small ratios have most of the weight, since their detection takes many ratings;
#: large ratios are detected fast even with a small weight.
ALTERNATIVES = (
    Alternative(rate_ratio=1.5, weight=0.35),
    Alternative(rate_ratio=2.0, weight=0.35),
    Alternative(rate_ratio=3.0, weight=0.20),
    Alternative(rate_ratio=6.0, weight=0.10),
)
#: Logarithms of the ratios before any rating, one for each alternative.
NO_LOG_RATIOS = (0.0,) * len(ALTERNATIVES)


def log_ratios(strata: Iterable[Evidence]) -> tuple[float, ...]:
    """Return the natural logarithm of each alternative's ratio over all ``strata``."""
    evidences = tuple(strata)
    return tuple(
        sum(_log_ratio(evidence, item.rate_ratio) for evidence in evidences)
        for item in ALTERNATIVES
    )


def log_mixture(ratios: Iterable[float]) -> float:
    """Return the natural logarithm of the weighted mean of the alternatives' ratios."""
    terms = [
        math.log(item.weight) + ratio
        for item, ratio in zip(ALTERNATIVES, ratios, strict=True)
    ]
    largest = max(terms)
    return largest + math.log(sum(math.exp(term - largest) for term in terms))


def _log_ratio(evidence: Evidence, rate_ratio: float) -> float:
    ratings = evidence.target_ratings + evidence.base_ratings
    if ratings == 0:
        return 0.0
    weighted = rate_ratio * evidence.target_ratings + evidence.base_ratings
    bad = evidence.target_bad + evidence.base_bad
    return evidence.target_bad * math.log(rate_ratio) + bad * math.log(
        ratings / weighted
    )
