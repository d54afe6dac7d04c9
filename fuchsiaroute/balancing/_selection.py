"""Selection of one warm endpoint by prefix affinity or by the power of k choices."""

from collections.abc import Sequence
from random import Random

from fuchsiaroute.balancing._interpretation import select_by_stale_load
from fuchsiaroute.balancing._loaded import LoadedEndpoint
from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.hashing import rendezvous_order

#: Utilisation, as a multiple of the mean, up to which affinity overrides load.
MAX_AFFINITY_LOAD_FACTOR = 1.25
#: Number of endpoints that hold the cached prefix of one prompt.
AFFINITY_REPLICAS = 2
#: Absolute utilisation up to which affinity overrides load.
MAX_AFFINITY_UTILISATION = 0.8
#: Number of endpoints compared for each request.
SAMPLE_SIZE = 3


def select_endpoint(
    candidates: Sequence[LoadedEndpoint],
    *,
    prefix_hash: int,
    mean_service_time: Milliseconds,
    random: Random,
) -> LoadedEndpoint:
    """
    Return the endpoint for a request; ``candidates`` must not be empty.

    A ``prefix_hash`` of 0 means that the request has no prefix affinity.
    """
    if prefix_hash:
        preferred = _by_affinity(candidates, prefix_hash)
        if preferred is not None:
            return preferred
    if any(candidate.report_age for candidate in candidates):
        return select_by_stale_load(
            candidates, mean_service_time=mean_service_time, random=random
        )
    return least_utilised(candidates, random)


def least_utilised(
    candidates: Sequence[LoadedEndpoint], random: Random, sample_size: int = SAMPLE_SIZE
) -> LoadedEndpoint:
    """Return the least utilised of ``sample_size`` candidates drawn at random."""
    if len(candidates) > sample_size:
        drawn = random.sample(candidates, sample_size)
    else:
        drawn = random.sample(candidates, len(candidates))
    return min(drawn, key=lambda candidate: candidate.utilisation)


def _by_affinity(
    candidates: Sequence[LoadedEndpoint], prefix_hash: int
) -> LoadedEndpoint | None:
    mean = sum(candidate.utilisation for candidate in candidates) / len(candidates)
    bound = min(max(mean, 1 / 32) * MAX_AFFINITY_LOAD_FACTOR, MAX_AFFINITY_UTILISATION)
    by_id = {candidate.record.endpoint.id: candidate for candidate in candidates}
    for name in rendezvous_order(str(prefix_hash), by_id)[:AFFINITY_REPLICAS]:
        if by_id[name].utilisation <= bound:
            return by_id[name]
    return None
