"""What endpoints' responses may hold of an instance, from its machine's memory."""

from fuchsiaroute.clock import Clock
from fuchsiaroute.http1 import MemoryBudget
from fuchsiaroute.platform import NodeSettings

#: Share of the memory limit for responses that have not been sent on. Further copies
#: exist while parts are put together, and clients may hold a fifth.
RESPONSE_MEMORY_SHARE = 0.15
_BYTES_PER_MB = 1_000_000


class ResponseLimits:
    """The budget of the responses of all endpoints."""

    def __init__(self, settings: NodeSettings, *, clock: Clock) -> None:
        self.budget = MemoryBudget(limit=_memory(settings), clock=clock)

    def apply(self, settings: NodeSettings) -> None:
        """Follow changed settings."""
        self.budget.limit = _memory(settings)


def _memory(settings: NodeSettings) -> int:
    return round(settings.memory_mb * _BYTES_PER_MB * RESPONSE_MEMORY_SHARE)
