"""What processes of endpoints have said of themselves in their answers."""

from typing import Any

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.ids import EndpointId

#: Endpoints of which a notice is remembered.
MAX_ENDPOINTS = 10_000
_NO_PAUSE = Milliseconds(0)


class ProcessNotices:
    """
    Processes that leave and the pauses that processes have asked for.

    A notice belongs to one process, which its endpoint's id and start identify. It
    outlasts the announcement, which may be removed and written again for the same
    process.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._leaving: dict[EndpointId, int] = {}
        self._pauses: dict[EndpointId, tuple[int, Milliseconds]] = {}
        #: End of the last of the pauses.
        self._last_pause_end = _NO_PAUSE

    @property
    def has_pauses(self) -> bool:
        """Return whether a pause has not ended yet."""
        return self._clock.now() < self._last_pause_end

    def record_leaving(self, endpoint: EndpointId, started_at: int) -> bool:
        """Record that a process leaves; return whether it is new."""
        if self._leaving.get(endpoint, -1) >= started_at:
            # Known, or a late report of a former process.
            return False
        self._leaving[endpoint] = started_at
        _trim(self._leaving)
        return True

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether the announced process has said that it leaves."""
        return self._leaving.get(endpoint.id) == endpoint.started_at

    def record_pause(
        self, endpoint: EndpointId, started_at: int, duration: Milliseconds
    ) -> bool:
        """
        Record that a process wants no requests for ``duration``.

        A shorter pause does not end a longer one. Returns whether one has begun.
        """
        now = self._clock.now()
        until = Milliseconds(now + duration)
        known_start, known_until = self._pauses.get(endpoint, (started_at, _NO_PAUSE))
        if known_start == started_at and known_until >= until:
            return False
        self._pauses[endpoint] = (started_at, until)
        self._last_pause_end = max(self._last_pause_end, until)
        _trim(self._pauses)
        return known_until <= now

    def paused_until(self, endpoint: Endpoint) -> Milliseconds:
        """Return the end of the announced process's pause; 0 if it asked for none."""
        started_at, until = self._pauses.get(endpoint.id, (0, _NO_PAUSE))
        return until if started_at == endpoint.started_at else _NO_PAUSE


def _trim(entries: dict[EndpointId, Any]) -> None:
    while len(entries) > MAX_ENDPOINTS:
        del entries[next(iter(entries))]
