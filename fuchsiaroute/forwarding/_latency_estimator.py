"""Expected times until the first byte of a response, by kind, model and size."""

from collections.abc import Callable
from dataclasses import dataclass

from fuchsiaroute.clock import Milliseconds

#: Weight of the newest request.
SMOOTHING = 0.08
#: Observations before a mean says anything.
LEAST_OBSERVATIONS = 5
#: Tokens whose reading takes about as long as the rest of the time to the first byte;
#: makes the times of short and long prompts comparable.
FIXED_TOKENS = 2_000


@dataclass(slots=True)
class _Mean:
    value: float
    deviation: float
    count: int = 1

    def add(self, observation: float) -> None:
        error = observation - self.value
        self.value += SMOOTHING * error
        self.deviation += SMOOTHING * (abs(error) - self.deviation)
        self.count += 1


class LatencyEstimator:
    """Exponentially weighted means and mean deviations of time per size."""

    def __init__(self) -> None:
        self._means: dict[tuple[str, str], _Mean] = {}

    def add(self, kind: str, model: str, tokens: int, duration: Milliseconds) -> None:
        """Take over the time of a request with a prompt of ``tokens``."""
        observation = duration / (FIXED_TOKENS + tokens)
        known = self._means.get((kind, model))
        if known is None:
            self._means[(kind, model)] = _Mean(observation, observation / 2)
        else:
            known.add(observation)

    def mean(self, kind: str, model: str, tokens: int) -> float | None:
        """Return the expected milliseconds; None while too little is known."""
        return self._expected(kind, model, tokens, lambda mean: mean.value)

    def upper(
        self, kind: str, model: str, tokens: int, *, deviations: float
    ) -> float | None:
        """Return the expected milliseconds plus a number of mean deviations."""
        return self._expected(
            kind, model, tokens, lambda mean: mean.value + deviations * mean.deviation
        )

    def _expected(
        self, kind: str, model: str, tokens: int, of: Callable[[_Mean], float]
    ) -> float | None:
        known = self._means.get((kind, model))
        if known is None or known.count < LEAST_OBSERVATIONS:
            return None
        return of(known) * (FIXED_TOKENS + tokens)
