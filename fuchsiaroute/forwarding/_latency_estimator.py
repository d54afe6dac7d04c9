"""Expected times to first byte by route, model and prompt size."""

from collections.abc import Callable
from dataclasses import dataclass

from fuchsiaroute.clock import Milliseconds

#: Weight of the newest observation.
EWMA_WEIGHT = 0.08
#: Observations required before an estimate is returned.
MIN_OBSERVATIONS = 5
#: Fixed part of a time to first byte, in prompt tokens that take as long to process;
#: makes the times of short and long prompts comparable.
FIXED_TOKENS = 2_000


@dataclass(slots=True)
class _Estimate:
    value: float
    deviation: float
    count: int = 1

    def add(self, observation: float) -> None:
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
            self._estimates[(route, model)] = _Estimate(observation, observation / 2)
        else:
            estimate.add(observation)

    def mean(self, route: str, model: str, tokens: int) -> float | None:
        """Return the expected milliseconds; None with too few observations."""
        return self._expected(route, model, tokens, lambda item: item.value)

    def upper(
        self, route: str, model: str, tokens: int, *, deviations: float
    ) -> float | None:
        """Return the expected milliseconds plus a number of mean deviations."""
        return self._expected(
            route, model, tokens, lambda item: item.value + deviations * item.deviation
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
