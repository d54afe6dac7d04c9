"""Choice of the first model of a cascade, by the time that its answers take."""

from dataclasses import dataclass

from fuchsiaroute.deployment import Route
from fuchsiaroute.ids import ModelId

#: Assumed share of weak answers of a smallest model before any has been observed.
INITIAL_WEAK_RATE = 0.5
#: Weight of the newest answer in the moving average of the share of weak answers.
WEAK_RATE_EWMA_WEIGHT = 0.05
#: Share of weak answers below which the smallest model is always asked first: the
#: others would take several times its work and cost.
MIN_WEAK_RATE_TO_SKIP = 0.2
#: Relative backlog of the endpoints above which the smallest model is always asked
#: first. The largest one would take time from the requests that wait.
MAX_RELATIVE_BACKLOG_TO_SKIP = 0.15
#: Share of the time left within which answers are expected to start in time; expected
#: times are often exceeded.
USABLE_SHARE = 0.9


@dataclass(frozen=True, kw_only=True)
class CascadeTimes:
    """Expected milliseconds until each model starts to answer; None if unknown."""

    smallest: float | None
    largest: float | None
    #: Milliseconds until the latency target.
    left: float
    #: Smallest backlog of an endpoint divided by the latency target.
    relative_backlog: float


class ModelChoice:
    """
    Chooses between the smallest and the largest model of a route for a first attempt.

    The smallest model costs least, and the largest one is asked after a weak answer.
    If a second answer would start too late, only the largest model can give an answer
    that is both good and in time, so it is asked at once where weak answers are common.
    """

    def __init__(self) -> None:
        self._weak_rates: dict[str, float] = {}

    def weak_rate(self, route: Route) -> float:
        """Return the recent share of weak answers of the route's smallest model."""
        return self._weak_rates.get(route.name, INITIAL_WEAK_RATE)

    def record_smallest(self, route: Route, *, is_weak: bool) -> None:
        """Count an answer of the route's smallest model."""
        rate = self.weak_rate(route)
        self._weak_rates[route.name] = rate + WEAK_RATE_EWMA_WEIGHT * (is_weak - rate)

    def first(self, route: Route, times: CascadeTimes) -> ModelId | None:
        """Return the model to ask first; None if the caller has named the model."""
        models = route.models
        if not models:
            return None
        return models[-1] if self._is_smallest_skipped(route, times) else models[0]

    def _is_smallest_skipped(self, route: Route, times: CascadeTimes) -> bool:
        if times.smallest is None or times.largest is None:
            return False
        usable = times.left * USABLE_SHARE
        return (
            len(route.models) > 1
            and times.relative_backlog <= MAX_RELATIVE_BACKLOG_TO_SKIP
            and self.weak_rate(route) >= MIN_WEAK_RATE_TO_SKIP
            and times.smallest + times.largest > usable
            and times.largest <= usable
        )
