"""The version that each recent session is bound to."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from heapq import nsmallest

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.ids import VersionId

#: Added to the longest pause of a session; gossip of other instances arrives within
#: this time.
GOSSIP_DELAY = Milliseconds(600)
#: Above this number, the sessions recorded first are removed.
MAX_SESSIONS = 20_000


@dataclass
class SessionBinding:
    """The version that last served a session, and the instant at which it did."""

    version: VersionId
    served_at: Milliseconds
    #: Whether this instance served it.
    is_own: bool = True
    #: Number of messages in which peers were told of it.
    reports: int = 0


class SessionVersions:
    """
    Versions of sessions that this and other instances served, by the session's hash.

    A session without a request for longer than ``pause`` is no longer bound.
    """

    def __init__(self, *, clock: Clock, pause: Milliseconds) -> None:
        self._clock = clock
        self._lifetime = Milliseconds(pause + GOSSIP_DELAY)
        self._bindings: dict[int, SessionBinding] = {}

    def version(self, session: int) -> VersionId | None:
        """Return the version that a session is bound to; None if it is not bound."""
        binding = self._bindings.get(session)
        if binding is None or self._is_expired(binding):
            return None
        return binding.version

    def record_served(
        self,
        session: int,
        version: VersionId,
        *,
        age: Milliseconds = Milliseconds(0),
        is_own: bool = True,
    ) -> None:
        """Record that a session was served ``age`` milliseconds ago, here or not."""
        served_at = Milliseconds(self._clock.now() - age)
        binding = self._bindings.get(session)
        if binding is not None and binding.served_at >= served_at:
            return
        self._bindings.pop(session, None)
        self._bindings[session] = SessionBinding(version, served_at, is_own)
        self._trim()

    def recent(self) -> Iterator[tuple[int, SessionBinding]]:
        """Return the bound sessions, the latest recorded first."""
        for session in reversed(self._bindings):
            binding = self._bindings[session]
            if not self._is_expired(binding):
                yield session, binding

    def take_reports(
        self, is_wanted: Callable[[int], bool], *, limit: int
    ) -> list[tuple[int, SessionBinding]]:
        """
        Return up to ``limit`` bound sessions to tell peers of.

        Those that this instance served come before those that it was told of, as peers
        have no other source; the least reported ones come first, so that none is left
        out by others for long.
        """
        found = nsmallest(
            limit,
            (item for item in self.recent() if is_wanted(item[0])),
            key=lambda item: (not item[1].is_own, item[1].reports, -item[1].served_at),
        )
        for _, binding in found:
            binding.reports += 1
        return found

    def _is_expired(self, binding: SessionBinding) -> bool:
        return self._clock.now() - binding.served_at > self._lifetime

    def _trim(self) -> None:
        while self._bindings:
            oldest = next(iter(self._bindings))
            is_surplus = len(self._bindings) > MAX_SESSIONS
            if not is_surplus and not self._is_expired(self._bindings[oldest]):
                return
            del self._bindings[oldest]
