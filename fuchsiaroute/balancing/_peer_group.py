"""Other entries that send their requests in flight at each endpoint."""

from collections.abc import Iterable

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.ids import InstanceId

#: Maximum number of entries that exchange their requests in flight; with more entries
#: the messages would exceed the network budget of a node.
MAX_PEER_GROUP_SIZE = 12
#: Age from which the loads that a peer sent are ignored.
PEER_LOAD_LIFETIME = Milliseconds(1_500)


class PeerGroup:
    """The other live entries and when each of them last sent its loads."""

    def __init__(self, *, entry: InstanceId, clock: Clock) -> None:
        self._entry = entry
        self._clock = clock
        self._received_at: dict[InstanceId, Milliseconds] = {}
        self._peers: frozenset[InstanceId] = frozenset()

    @property
    def size(self) -> int:
        """Return the number of entries, this one included."""
        return len(self._peers) + 1

    def update(self, members: Iterable[InstanceId]) -> frozenset[InstanceId]:
        """Replace the live entries and return those other than this one."""
        self._peers = frozenset(members) - {self._entry}
        self._received_at = {
            peer: at for peer, at in self._received_at.items() if peer in self._peers
        }
        return self._peers

    def record_message(self, peer: InstanceId) -> bool:
        """Record that a peer sent its loads; return whether it is in the group."""
        if peer not in self._peers:
            return False
        self._received_at[peer] = self._clock.now()
        return True

    def are_loads_complete(self) -> bool:
        """Return whether the latest loads of every peer are recent enough to use."""
        if not self._peers or len(self._received_at) < len(self._peers):
            return False
        oldest = min(self._received_at.values())
        return self._clock.now() - oldest < PEER_LOAD_LIFETIME
