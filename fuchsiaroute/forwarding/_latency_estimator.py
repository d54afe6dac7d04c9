"""Expected times to first byte by route, model and prompt size."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

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


#: Route name of the estimates of a model over all routes.
ALL_ROUTES = ""
#: Estimates that an instance sends to its peers.
MAX_SHARED_ESTIMATES = 24


class SharedEstimate(NamedTuple):
    """An estimate that an instance has learned, in milliseconds per token."""

    route: str
    model: str
    mean: float
    deviation: float
    peak: float


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
    """
    Exponentially weighted means and mean deviations of the time per token.

    Until enough times have been observed for a route and a model, those of the model on
    other routes count. Estimates of peers stand in for own ones that are missing: in a
    large fleet an instance sees too few requests to learn them soon.
    """

    def __init__(self) -> None:
        self._estimates: dict[tuple[str, str], _Estimate] = {}
        #: Estimates that were adopted and to which no own observation was added.
        self._adopted: set[tuple[str, str]] = set()

    def add(self, route: str, model: str, tokens: int, duration: Milliseconds) -> None:
        """Add the time to first byte of a request with a prompt of ``tokens``."""
        observation = duration / (FIXED_TOKENS + tokens)
        self._add((route, model), observation)
        if model:
            self._add((ALL_ROUTES, model), observation)

    def learned(self) -> list[SharedEstimate]:
        """Return the estimates that rest on own observations, for the peers."""
        return [
            SharedEstimate(*key, item.value, item.deviation, item.peak)
            for key, item in self._estimates.items()
            if item.count >= MIN_OBSERVATIONS and key not in self._adopted
        ][:MAX_SHARED_ESTIMATES]

    def adopt(self, estimates: Iterable[SharedEstimate]) -> None:
        """Use a peer's estimates where own observations are too few."""
        for item in estimates:
            key = (item.route, item.model)
            known = self._estimates.get(key)
            if known is None or known.count < MIN_OBSERVATIONS:
                self._estimates[key] = _Estimate(
                    item.mean, item.deviation, item.peak, MIN_OBSERVATIONS
                )
                self._adopted.add(key)

    def _add(self, key: tuple[str, str], observation: float) -> None:
        self._adopted.discard(key)
        estimate = self._estimates.get(key)
        if estimate is None:
            self._estimates[key] = _Estimate(observation, observation / 2, observation)
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
        for key in ((route, model), (ALL_ROUTES, model)):
            estimate = self._estimates.get(key)
            if estimate is not None and estimate.count >= MIN_OBSERVATIONS:
                return statistic(estimate) * (FIXED_TOKENS + tokens)
        return None
