"""Deterministic endpoint subsets and a consistent hash ring."""

import bisect
from collections.abc import Iterable, Sequence

from fuchsiaroute.configuration import Endpoint
from fuchsiaroute.hashing import rendezvous_hash, rendezvous_order

#: Number of endpoints of one target that an entry uses; more would spread too few
#: requests over too many connections.
SUBSET_SIZE = 20
#: Virtual nodes of each name on a hash ring.
VIRTUAL_NODES = 32


class HashRing:
    """Consistent hash ring; for many keys a lookup is cheaper than rendezvous hash."""

    def __init__(self, names: Iterable[str]) -> None:
        self._nodes = sorted(
            (rendezvous_hash(str(number), name), name)
            for name in set(names)
            for number in range(VIRTUAL_NODES)
        )

    def owner(self, key: str) -> str:
        """Return the name whose virtual node follows the hash of ``key``."""
        position = bisect.bisect_left(self._nodes, (rendezvous_hash("", key), ""))
        return self._nodes[position % len(self._nodes)][1]


def subset(
    key: str, endpoints: Sequence[Endpoint], size: int = SUBSET_SIZE
) -> list[Endpoint]:
    """
    Return the endpoints that the entry named ``key`` uses, at most ``size``.

    The subset takes endpoints from the failure domains in turn, so that the loss of a
    domain removes about the same share of every entry's subset. Rendezvous hashing
    keeps most of the subset when endpoints are added or removed.
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
