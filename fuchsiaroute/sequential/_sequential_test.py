"""
Sequential test for a bad version.

Under the null hypothesis both versions have the same rate of bad answers. The
probability that a bad rating belongs to the target then equals the target's share of
all ratings of the class in that stage. Each alternative multiplies the target's rate
by a factor. Under the null hypothesis, the mixture of the likelihood ratios is a
non-negative martingale with mean 1, so the probability that it ever reaches
``1 / alpha`` is at most ``alpha`` (Ville's inequality), however often the test is
evaluated. The test conditions on the bad ratings, so a change over time that affects
both versions alike raises no alarm within a stage.
"""

import math
from dataclasses import dataclass

from fuchsiaroute.sequential._likelihood import log_mixture
from fuchsiaroute.sequential._trial import Trial

#: Probability that a roll-out of a version as good as its base is ever paused.
DEFAULT_FALSE_ALARM_RATE = 0.01


@dataclass(frozen=True, kw_only=True)
class TestOutcome:
    """Result of the test on the ratings so far."""

    #: Excludes the class from pytest's collection, which matches its name.
    __test__ = False

    #: Natural logarithm of the mixture of likelihood ratios.
    log_evidence: float
    #: Whether the evidence reaches the threshold: the target is worse than its base.
    is_bad: bool
    #: Ratings of the target in the trial; with 0 the outcome is inconclusive.
    target_ratings: int


class SequentialTest:
    """The test with a bound on the false-alarm rate over the whole trial."""

    def __init__(self, *, false_alarm_rate: float = DEFAULT_FALSE_ALARM_RATE) -> None:
        if not 0.0 < false_alarm_rate < 1.0:
            raise ValueError("the false-alarm rate must be above 0 and below 1")
        self._threshold = -math.log(false_alarm_rate)

    def evaluate(self, trial: Trial) -> TestOutcome:
        """Return the outcome for the ratings of ``trial`` so far."""
        log_evidence = log_mixture(trial.log_ratios)
        return TestOutcome(
            log_evidence=log_evidence,
            is_bad=log_evidence >= self._threshold,
            target_ratings=trial.target_ratings,
        )
