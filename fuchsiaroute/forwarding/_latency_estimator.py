"""Expected times to first byte by route, model and prompt size."""

from collections.abc import Callable
from dataclasses import dataclass

from fuchsiaroute.clock import Milliseconds

#: Weight of the newest observation.
EWMA_WEIGHT = 0.08
#: Observations required before an estimate is returned.
MIN_OBSERVATIONS = 5
#: Share by which the largest recent observation decreases with each new one.
PEAK_DECAY = 0.02
#: Factor on the largest recent observation above which a time is unusual.
PEAK_MARGIN = 1.25
#: Fixed part of a time to first byte, in prompt tokens that take as long to process;
#: makes the times of short and long prompts comparable.
FIXED_TOKENS = 2_000


@dataclass(slots=True)
class _Estimate:
    value: float
    deviation: float
    #: Largest recent observation. Prompts whose shared part is not cached take several
    #: times the mean, which consists of both kinds.
    peak: float
    count: int = 1

    def add(self, observation: float) -> None:
        self.peak = max(observation, self.peak * (1.0 - PEAK_DECAY))
        error = observation - self.value
        self.value += EWMA_WEIGHT * error
        self.deviation += EWMA_WEIGHT * (abs(error) - self.deviation)
        self.count += 1


class LatencyEstimator:
    """Exponentially weighted means and mean deviations of the time per token."""

    def __init__(self) -> None:
        self._estimates: dict[tuple[str, str], _Estimate] = {}

    def add(self, route: str, model: str, tokens: int, duration: Milliseconds) -> None:
        """Add the time to first byte of a request with a prompt of ``tokens``."""
        observation = duration / (FIXED_TOKENS + tokens)
        estimate = self._estimates.get((route, model))
        if estimate is None:
            self._estimates[(route, model)] = _Estimate(
                observation, observation / 2, observation
            )
        else:
            estimate.add(observation)

    def add_unanswered(
        self, route: str, model: str, tokens: int, duration: Milliseconds
    ) -> None:
        """
        Add a time without an answer, after which the attempt was given up.

        It is a lower bound of the time to first byte. Without it, the statistics would
        only hold the answers that came before the timeout and shorten it further.
        """
        mean = self.mean(route, model, tokens)
        if mean is None or duration > mean:
            self.add(route, model, tokens, duration)

    def mean(self, route: str, model: str, tokens: int) -> float | None:
        """Return the expected milliseconds; None with too few observations."""
        return self._expected(route, model, tokens, lambda item: item.value)

    def upper(
        self, route: str, model: str, tokens: int, *, deviations: float
    ) -> float | None:
        """
        Return the milliseconds above which a time to first byte is unusual.

        This is the mean plus a number of mean deviations, or the largest recent time
        with a margin if that is higher.
        """
        return self._expected(
            route,
            model,
            tokens,
            lambda item: max(
                item.value + deviations * item.deviation, item.peak * PEAK_MARGIN
            ),
        )

    def _expected(
        self,
        route: str,
        model: str,
        tokens: int,
        statistic: Callable[[_Estimate], float],
    ) -> float | None:
        estimate = self._estimates.get((route, model))
        if estimate is None or estimate.count < MIN_OBSERVATIONS:
            return None
        return statistic(estimate) * (FIXED_TOKENS + tokens)
