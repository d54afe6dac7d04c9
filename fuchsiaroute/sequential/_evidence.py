"""Rating counts of the target and the base of a roll-out."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Evidence:
    """
    All ratings and bad ratings of target and base, for one class in one stage.

    These counts are a sufficient statistic for the sequential test.
    """

    target_ratings: int = 0
    target_bad: int = 0
    base_ratings: int = 0
    base_bad: int = 0
