"""Other entries that say how many requests they have at each endpoint."""

from collections.abc import Iterable

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.ids import InstanceId

#: Most entries that tell each other their requests in flight; beyond it the
#: messages would exceed the network budget of a node.
MAX_PEER_GROUP_SIZE = 12
#: Age at which a peer's word says nothing about the present.
PEER_LOAD_LIFETIME = Milliseconds(1_500)


class PeerGroup:
    """Whether the present loads of all other entries are known."""

    def __init__(self, *, entry: InstanceId, clock: Clock) -> None:
        self._entry = entry
        self._clock = clock
        self._heard_at: dict[InstanceId, Milliseconds] = {}
        self._peers: frozenset[InstanceId] = frozenset()

    @property
    def size(self) -> int:
        """Return the number of entries, this one included."""
        return len(self._peers) + 1

    def update(self, members: Iterable[InstanceId]) -> frozenset[InstanceId]:
        """Take over the living entries and return those other than this one."""
        self._peers = frozenset(members) - {self._entry}
        self._heard_at = {
            peer: at for peer, at in self._heard_at.items() if peer in self._peers
        }
        return self._peers

    def heard(self, peer: InstanceId) -> bool:
        """Note a peer's message; return whether the peer is in the group."""
        if peer not in self._peers:
            return False
        self._heard_at[peer] = self._clock.now()
        return True

    def is_known(self) -> bool:
        """Return whether every peer has been heard lately."""
        if not self._peers or len(self._heard_at) < len(self._peers):
            return False
        oldest = min(self._heard_at.values())
        return self._clock.now() - oldest < PEER_LOAD_LIFETIME
