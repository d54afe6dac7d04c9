"""Which version each session has been served by lately."""

from collections.abc import Iterator
from dataclasses import dataclass

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.ids import VersionId

#: Time beyond the longest pause of a session for which it is still remembered; news
#: of other instances is that late at most.
MEMORY_SLACK = Milliseconds(600)
#: Sessions remembered; the oldest are forgotten above it.
MOST_SESSIONS = 20_000


@dataclass
class SessionBinding:
    """The version of a session, and when it was last served."""

    version: VersionId
    seen_at: Milliseconds


class SessionVersions:
    """
    Sessions by the hash of their key, from this instance and from others.

    A session that pauses for longer than ``pause`` may change its version.
    """

    def __init__(self, *, clock: Clock, pause: Milliseconds) -> None:
        self._clock = clock
        self._lifetime = Milliseconds(pause + MEMORY_SLACK)
        self._bindings: dict[int, SessionBinding] = {}

    def version(self, session: int) -> VersionId | None:
        """Return the version that a session is bound to."""
        binding = self._bindings.get(session)
        if binding is None or self._is_over(binding):
            return None
        return binding.version

    def record_served(
        self, session: int, version: VersionId, *, age: Milliseconds = Milliseconds(0)
    ) -> None:
        """Note that a session was served ``age`` milliseconds ago."""
        seen_at = Milliseconds(self._clock.now() - age)
        binding = self._bindings.pop(session, None)
        if binding is not None and binding.seen_at >= seen_at:
            self._bindings[session] = binding
            return
        self._bindings[session] = SessionBinding(version, seen_at)
        self._trim()

    def recent(self) -> Iterator[tuple[int, SessionBinding]]:
        """Return the sessions that are not over, the latest served first."""
        for session in reversed(self._bindings):
            binding = self._bindings[session]
            if not self._is_over(binding):
                yield session, binding

    def _is_over(self, binding: SessionBinding) -> bool:
        return self._clock.now() - binding.seen_at > self._lifetime

    def _trim(self) -> None:
        while self._bindings:
            oldest = next(iter(self._bindings))
            is_surplus = len(self._bindings) > MOST_SESSIONS
            if not is_surplus and not self._is_over(self._bindings[oldest]):
                return
            del self._bindings[oldest]
