"""Deterministic subsets of endpoints and orders of preference."""

import bisect
from collections.abc import Iterable, Sequence

from fuchsiaroute.configuration import Endpoint
from fuchsiaroute.hashing import rendezvous_hash, rendezvous_order

#: Endpoints of one target that an entry uses; more would spread too few requests
#: over too many connections.
SUBSET_SIZE = 20
#: Places of each name on a hash ring.
RING_PLACES = 32


class HashRing:
    """Names on a ring of hashes, each in several places; cheap for many keys."""

    def __init__(self, names: Iterable[str]) -> None:
        self._places = sorted(
            (rendezvous_hash(str(place), name), name)
            for name in set(names)
            for place in range(RING_PLACES)
        )

    def owner(self, key: str) -> str:
        """Return the name that follows ``key`` on the ring."""
        position = bisect.bisect_left(self._places, (rendezvous_hash("", key), ""))
        return self._places[position % len(self._places)][1]


def subset(
    key: str, endpoints: Sequence[Endpoint], size: int = SUBSET_SIZE
) -> list[Endpoint]:
    """
    Return the endpoints that the entry named ``key`` uses, at most ``size``.

    Failure domains take turns, so that losing one costs each entry a like share.
    The choice changes little when endpoints come or go.
    """
    if len(endpoints) <= size:
        return list(endpoints)
    by_domain: dict[str, list[Endpoint]] = {}
    for endpoint in sorted(endpoints, key=lambda item: -rendezvous_hash(key, item.id)):
        by_domain.setdefault(endpoint.failure_domain, []).append(endpoint)
    domains = rendezvous_order(key, by_domain)
    chosen: list[Endpoint] = []
    while len(chosen) < size:
        for domain in domains:
            if by_domain[domain] and len(chosen) < size:
                chosen.append(by_domain[domain].pop(0))
    return chosen
