"""Selection by stale load reports, corrected for the requests since the report."""

from collections.abc import Sequence
from random import Random

from fuchsiaroute.balancing._loaded import LoadedEndpoint
from fuchsiaroute.clock import Milliseconds

#: Bisection rounds; 20 give the utilisation to a millionth of the search range.
BISECTION_ROUNDS = 20


def select_by_stale_load(
    candidates: Sequence[LoadedEndpoint],
    *,
    mean_service_time: Milliseconds,
    random: Random,
) -> LoadedEndpoint:
    """
    Return an endpoint drawn at random so that all entries together level the load.

    If each entry selected the least loaded endpoint of a stale report, that endpoint
    would get the requests of all entries until the next report. The number of requests
    that all entries have sent since the report is therefore assumed to equal the number
    that have ended, and their distribution to be the one that levels utilisation. An
    endpoint is drawn with a probability proportional to its part of these requests.
    """
    remaining = [
        candidate.load * (1 - _ended_share(candidate, mean_service_time))
        for candidate in candidates
    ]
    arrived = max(1.0, sum(item.load for item in candidates) - sum(remaining))
    utilisation = _level_utilisation(candidates, remaining, arrived)
    weights = [
        max(0.0, utilisation * candidate.capacity - rest)
        for candidate, rest in zip(candidates, remaining, strict=True)
    ]
    if sum(weights) <= 0:
        return random.choice(candidates)
    return random.choices(candidates, weights=weights)[0]


def _ended_share(candidate: LoadedEndpoint, mean_service_time: Milliseconds) -> float:
    return min(candidate.report_age / max(mean_service_time, 1), 1.0)


def _level_utilisation(
    candidates: Sequence[LoadedEndpoint], remaining: Sequence[float], arrived: float
) -> float:
    """Return the utilisation to which ``arrived`` more requests can be levelled."""
    capacity = sum(candidate.capacity for candidate in candidates)
    low, high = 0.0, (sum(remaining) + arrived) / capacity
    highest = max(
        rest / candidate.capacity
        for candidate, rest in zip(candidates, remaining, strict=True)
    )
    high = max(high, highest + arrived / capacity)
    for _ in range(BISECTION_ROUNDS):
        middle = (low + high) / 2
        filled = sum(
            max(0.0, middle * candidate.capacity - rest)
            for candidate, rest in zip(candidates, remaining, strict=True)
        )
        if filled < arrived:
            low = middle
        else:
            high = middle
    return high
