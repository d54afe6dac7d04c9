"""Which entries an entry sends heartbeats to."""

import itertools
from collections.abc import Iterable, Iterator

import xxhash

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import InstanceId

#: Up to this many entries, each one sends heartbeats to every other one.
MESH_LIMIT = 12
#: Above it, each entry has one successor in each of this many random rings.
RING_COUNT = 3
MESH_INTERVAL = Milliseconds(1_000)
RING_INTERVAL = Milliseconds(2_000)


def heartbeat_interval(entry_count: int) -> Milliseconds:
    """Return the time between two heartbeats to one target."""
    return MESH_INTERVAL if entry_count <= MESH_LIMIT else RING_INTERVAL


class Topology:
    """
    The graph of heartbeats over a set of entries, the same at every entry.

    In a ring, an entry's target is its nearest successor that it can reach, so
    every entry that lives is the target of another one, however many are gone.
    """

    def __init__(self, members: Iterable[InstanceId]) -> None:
        self._members = frozenset(members)
        count = 1 if self.is_mesh else RING_COUNT
        self._rings = [_ring(self._members, number) for number in range(count)]
        self._places = [
            {member: place for place, member in enumerate(ring)} for ring in self._rings
        ]

    @property
    def is_mesh(self) -> bool:
        """Return whether every entry sends heartbeats to every other one."""
        return len(self._members) <= MESH_LIMIT

    def targets(
        self, observer: InstanceId, unreachable: frozenset[InstanceId]
    ) -> frozenset[InstanceId]:
        """Return the reachable targets of ``observer``, given those it cannot reach."""
        if self.is_mesh:
            return self._members - unreachable - {observer}
        nearest = (found[:1] for found in self._successors(observer, unreachable))
        return frozenset(itertools.chain.from_iterable(nearest))

    def probed(
        self, observer: InstanceId, unreachable: frozenset[InstanceId]
    ) -> frozenset[InstanceId]:
        """
        Return the members to send heartbeats to: the targets and some more.

        The more successors in a ring are unreachable, the more of the next ones
        are tried at once, so that a cut region is passed in few steps.
        """
        if self.is_mesh:
            return self._members - unreachable - {observer}
        return frozenset(
            itertools.chain.from_iterable(self._successors(observer, unreachable))
        )

    def _successors(
        self, observer: InstanceId, unreachable: frozenset[InstanceId]
    ) -> Iterator[list[InstanceId]]:
        for ring, places in zip(self._rings, self._places, strict=True):
            if observer in places:
                yield _successors(ring, places[observer], unreachable)


def _ring(members: frozenset[InstanceId], number: int) -> list[InstanceId]:
    def place(member: InstanceId) -> int:
        return xxhash.xxh3_64_intdigest(member.encode(), seed=number)

    return sorted(members, key=lambda member: (place(member), member))


def _successors(
    ring: list[InstanceId], place: int, unreachable: frozenset[InstanceId]
) -> list[InstanceId]:
    """Return the reachable successors: one, and one more for each that is passed."""
    found: list[InstanceId] = []
    wanted = 1
    for step in range(1, len(ring)):
        candidate = ring[(place + step) % len(ring)]
        if candidate in unreachable:
            wanted += not found
        else:
            found.append(candidate)
        if len(found) >= wanted:
            break
    return found
