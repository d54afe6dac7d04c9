"""Expected durations of streams by route, model and length."""

from dataclasses import dataclass

from fuchsiaroute.clock import Milliseconds

#: Weight of the newest stream.
EWMA_WEIGHT = 0.1
#: Streams required before an estimate is returned.
MIN_OBSERVATIONS = 5
#: Mean deviations above the mean that count as expected: callers state the length, and
#: are often wrong by half.
DEVIATIONS = 1.0
#: Length in tokens below which streams count as equally long: they consist of one or
#: two events.
MIN_TOKENS = 16


@dataclass(slots=True)
class _Estimate:
    mean: float
    deviation: float = 0.0
    count: int = 1

    def add(self, observation: float) -> None:
        error = observation - self.mean
        self.mean += EWMA_WEIGHT * error
        self.deviation += EWMA_WEIGHT * (abs(error) - self.deviation)
        self.count += 1


class StreamDurations:
    """
    Exponentially weighted time per token, from the first event of a stream to its end.

    The tokens are those that the caller expects, so that the estimate corrects for
    callers that are wrong on average.
    """

    def __init__(self) -> None:
        self._estimates: dict[tuple[str, str], _Estimate] = {}

    def add(self, route: str, model: str, tokens: int, duration: Milliseconds) -> None:
        """Add the duration of a whole stream."""
        observation = duration / max(tokens, MIN_TOKENS)
        estimate = self._estimates.get((route, model))
        if estimate is None:
            self._estimates[route, model] = _Estimate(observation)
        else:
            estimate.add(observation)

    def add_unfinished(
        self, route: str, model: str, tokens: int, duration: Milliseconds
    ) -> None:
        """
        Add the duration of a stream that was cut at its deadline, a lower bound.

        Without them, the statistics would hold only the streams that were fast enough.
        """
        expected = self.expected(route, model, tokens)
        if expected is None or duration > expected:
            self.add(route, model, tokens, duration)

    def expected(self, route: str, model: str, tokens: int) -> float | None:
        """Return the expected milliseconds; None with too few observations."""
        estimate = self._estimates.get((route, model))
        if estimate is None or estimate.count < MIN_OBSERVATIONS:
            return None
        per_token = estimate.mean + DEVIATIONS * estimate.deviation
        return per_token * max(tokens, MIN_TOKENS)
