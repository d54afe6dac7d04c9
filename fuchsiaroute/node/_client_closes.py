"""Log lines about clients whose connections this instance closes to protect itself."""

from collections.abc import Callable

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.http1 import CloseReason
from fuchsiaroute.linelog import LineLog

#: Reasons that show clients outside the limits, or limits that are too low.
_LOGGED = frozenset({CloseReason.MEMORY, CloseReason.CONNECTIONS, CloseReason.UNREAD})
#: Minimum time between two lines with the same reason.
LINE_INTERVAL = Milliseconds(1_000)


class ClientCloses:
    """Writes at most one line per reason and interval, with the closes since then."""

    def __init__(
        self, *, clock: Clock, log: LineLog, memory: Callable[[], int]
    ) -> None:
        """Create the log; ``memory`` returns the bytes that clients hold."""
        self._clock = clock
        self._log = log
        self._memory = memory
        self._counts: dict[CloseReason, int] = {}
        self._written_at: dict[CloseReason, Milliseconds] = {}

    def record(self, address: str, reason: CloseReason) -> None:
        """Record that a connection to ``address`` is closed."""
        if reason not in _LOGGED:
            return
        count = self._counts.get(reason, 0) + 1
        self._counts[reason] = count
        now = self._clock.now()
        written_at = self._written_at.get(reason)
        if written_at is not None and now - written_at < LINE_INTERVAL:
            return
        self._written_at[reason] = now
        self._counts[reason] = 0
        self._log.write(
            "client:closed",
            reason=reason.value,
            address=address,
            connections=count,
            client_memory=self._memory(),
        )
