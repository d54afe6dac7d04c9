"""What clients may hold of an instance, from the limits of its machine."""

from fuchsiaroute.clock import Clock
from fuchsiaroute.http1 import MemoryBudget
from fuchsiaroute.platform import NodeSettings

#: Share of the memory limit that all clients' connections may use. Requests that are
#: forwarded are held a second time, and the program itself takes some 25 MB.
CLIENT_MEMORY_SHARE = 0.2
#: Connections for each file descriptor of this process: of callers, and to each of the
#: addresses for the directory, readiness and metrics. The rest is for endpoints, peers
#: and the store.
CALLER_CONNECTION_SHARE = 0.4
CONTROL_CONNECTION_SHARE = 0.05
_BYTES_PER_MB = 1_000_000


class ClientLimits:
    """The budget of all clients, and the connections of each listener."""

    def __init__(self, settings: NodeSettings, *, clock: Clock) -> None:
        self._max_descriptors = settings.max_descriptors
        #: Memory that all server connections may hold together.
        self.budget = MemoryBudget(limit=_memory(settings), clock=clock)

    def apply(self, settings: NodeSettings) -> None:
        """Follow changed settings."""
        self._max_descriptors = settings.max_descriptors
        self.budget.limit = _memory(settings)

    def max_caller_connections(self) -> float:
        """Return how many connections callers may have."""
        return self._max_descriptors * CALLER_CONNECTION_SHARE

    def max_control_connections(self) -> float:
        """Return how many connections each other address may have."""
        return self._max_descriptors * CONTROL_CONNECTION_SHARE


def _memory(settings: NodeSettings) -> int:
    return round(settings.memory_mb * _BYTES_PER_MB * CLIENT_MEMORY_SHARE)
