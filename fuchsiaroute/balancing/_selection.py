"""Selection of one warm endpoint by prefix affinity and power of a few choices."""

from collections.abc import Sequence
from random import Random

from fuchsiaroute.balancing._interpretation import interpret
from fuchsiaroute.balancing._loaded import LoadedEndpoint
from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.hashing import rendezvous_order

#: Largest load, as a multiple of the mean, at which affinity still decides.
AFFINITY_LOAD_FACTOR = 1.25
#: Endpoints that hold the cached prefix of one prompt.
AFFINITY_REPLICAS = 2
#: Largest utilisation at which affinity still decides.
AFFINITY_UTILISATION = 0.8
#: Endpoints compared for each request.
CHOICES = 3


def select(
    candidates: Sequence[LoadedEndpoint],
    *,
    prefix_hash: int,
    mean_service: Milliseconds,
    random: Random,
) -> LoadedEndpoint:
    """Return the endpoint for a request; ``candidates`` must not be empty."""
    if prefix_hash:
        preferred = _by_affinity(candidates, prefix_hash)
        if preferred is not None:
            return preferred
    if any(candidate.report_age for candidate in candidates):
        return interpret(candidates, mean_service=mean_service, random=random)
    return least_of(candidates, random)


def least_of(
    candidates: Sequence[LoadedEndpoint], random: Random, choices: int = CHOICES
) -> LoadedEndpoint:
    """Return the least utilised of ``choices`` candidates drawn at random."""
    if len(candidates) > choices:
        drawn = random.sample(candidates, choices)
    else:
        drawn = random.sample(candidates, len(candidates))
    return min(drawn, key=lambda candidate: candidate.utilisation)


def _by_affinity(
    candidates: Sequence[LoadedEndpoint], prefix_hash: int
) -> LoadedEndpoint | None:
    mean = sum(candidate.utilisation for candidate in candidates) / len(candidates)
    bound = min(max(mean, 1 / 32) * AFFINITY_LOAD_FACTOR, AFFINITY_UTILISATION)
    by_id = {candidate.record.endpoint.id: candidate for candidate in candidates}
    for name in rendezvous_order(str(prefix_hash), by_id)[:AFFINITY_REPLICAS]:
        if by_id[name].utilisation <= bound:
            return by_id[name]
    return None
