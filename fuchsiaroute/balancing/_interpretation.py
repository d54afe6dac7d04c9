"""Choice by late reports that accounts for what happened since they were taken."""

from collections.abc import Sequence
from random import Random

from fuchsiaroute.balancing._loaded import LoadedEndpoint
from fuchsiaroute.clock import Milliseconds

#: Rounds of bisection; the level is then exact to a millionth of the largest.
LEVEL_ROUNDS = 20


def interpret(
    candidates: Sequence[LoadedEndpoint],
    *,
    mean_service: Milliseconds,
    random: Random,
) -> LoadedEndpoint:
    """
    Return an endpoint drawn so that all entries together level the load.

    The least loaded endpoint of a late report would get the requests of every entry
    until the next report. Instead the requests that all entries have sent since the
    report are taken to be as many as have ended, and to have gone where they level
    the load. Each endpoint is drawn in proportion to its part of them.
    """
    left = [
        candidate.load * (1 - _ended_share(candidate, mean_service))
        for candidate in candidates
    ]
    arrived = max(1.0, sum(item.load for item in candidates) - sum(left))
    level = _level(candidates, left, arrived)
    rooms = [
        max(0.0, level * candidate.capacity - rest)
        for candidate, rest in zip(candidates, left, strict=True)
    ]
    if sum(rooms) <= 0:
        return random.choice(candidates)
    return random.choices(candidates, weights=rooms)[0]


def _ended_share(candidate: LoadedEndpoint, mean_service: Milliseconds) -> float:
    return min(candidate.report_age / max(mean_service, 1), 1.0)


def _level(
    candidates: Sequence[LoadedEndpoint], left: Sequence[float], arrived: float
) -> float:
    """Return the utilisation at which ``arrived`` requests fill up ``left``."""
    capacity = sum(candidate.capacity for candidate in candidates)
    low, high = 0.0, (sum(left) + arrived) / capacity
    highest = max(
        rest / candidate.capacity
        for candidate, rest in zip(candidates, left, strict=True)
    )
    high = max(high, highest + arrived / capacity)
    for _ in range(LEVEL_ROUNDS):
        middle = (low + high) / 2
        filled = sum(
            max(0.0, middle * candidate.capacity - rest)
            for candidate, rest in zip(candidates, left, strict=True)
        )
        if filled < arrived:
            low = middle
        else:
            high = middle
    return high
