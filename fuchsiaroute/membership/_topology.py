"""The graph along which entries send heartbeats."""

import itertools
from collections.abc import Iterable, Iterator

import xxhash

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import InstanceId

#: Up to this many entries, each entry sends heartbeats to all others.
MAX_MESH_SIZE = 12
#: In a larger deployment, each entry sends heartbeats to its successor in each of this
#: many random rings.
RING_COUNT = 3
MESH_INTERVAL = Milliseconds(1_000)
RING_INTERVAL = Milliseconds(2_000)


def heartbeat_interval(entry_count: int) -> Milliseconds:
    """Return the time between two heartbeats to the same target."""
    return MESH_INTERVAL if entry_count <= MAX_MESH_SIZE else RING_INTERVAL


class Topology:
    """
    The graph of heartbeats over a set of entries; every entry computes the same one.

    In a ring, the target of an entry is its nearest successor that it can reach.
    Every living entry is therefore the target of another one, however many are dead.
    """

    def __init__(self, members: Iterable[InstanceId]) -> None:
        self._members = frozenset(members)
        count = 1 if self.is_mesh else RING_COUNT
        self._rings = [_ring(self._members, number) for number in range(count)]
        self._positions = [
            {member: position for position, member in enumerate(ring)}
            for ring in self._rings
        ]

    @property
    def is_mesh(self) -> bool:
        """Return whether every entry sends heartbeats to all others."""
        return len(self._members) <= MAX_MESH_SIZE

    def targets(
        self, observer: InstanceId, unreachable: frozenset[InstanceId]
    ) -> frozenset[InstanceId]:
        """
        Return the nearest successor of ``observer`` in each ring.

        Members in ``unreachable`` are skipped. In a mesh, all other members are
        targets.
        """
        if self.is_mesh:
            return self._members - unreachable - {observer}
        nearest = (found[:1] for found in self._successors(observer, unreachable))
        return frozenset(itertools.chain.from_iterable(nearest))

    def probed(
        self, observer: InstanceId, unreachable: frozenset[InstanceId]
    ) -> frozenset[InstanceId]:
        """
        Return the members to send heartbeats to: the targets and further successors.

        For each unreachable successor in a ring, one more of the next successors is
        probed. An observer whose successors are all cut off thus finds a reachable one
        in few steps.
        """
        if self.is_mesh:
            return self._members - unreachable - {observer}
        return frozenset(
            itertools.chain.from_iterable(self._successors(observer, unreachable))
        )

    def _successors(
        self, observer: InstanceId, unreachable: frozenset[InstanceId]
    ) -> Iterator[list[InstanceId]]:
        for ring, positions in zip(self._rings, self._positions, strict=True):
            if observer in positions:
                yield _successors(ring, positions[observer], unreachable)


def _ring(members: frozenset[InstanceId], number: int) -> list[InstanceId]:
    def hash_of(member: InstanceId) -> int:
        return xxhash.xxh3_64_intdigest(member.encode(), seed=number)

    return sorted(members, key=lambda member: (hash_of(member), member))


def _successors(
    ring: list[InstanceId], position: int, unreachable: frozenset[InstanceId]
) -> list[InstanceId]:
    """Return one reachable successor, and one more for each that is skipped."""
    found: list[InstanceId] = []
    count = 1
    for step in range(1, len(ring)):
        candidate = ring[(position + step) % len(ring)]
        if candidate in unreachable:
            count += not found
        else:
            found.append(candidate)
        if len(found) >= count:
            break
    return found
