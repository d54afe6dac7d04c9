"""How many requests a brittle endpoint gets at once, learned from its rejections."""

from collections import deque

from fuchsiaroute.clock import Clock, Milliseconds

#: Time over which an endpoint counts its rejections.
REJECTION_SPAN = Milliseconds(1_000)
#: Time without rejections after which the limit rises by one.
RAISE_INTERVAL = Milliseconds(1_500)
#: Share of the tolerated rejections at which no more places are granted for a while.
CLOSING_SHARE = 0.5
#: Share of the slots that is used after several rejections at once.
KEPT_SHARE = 0.75


class Room:
    """
    The most requests in flight at an endpoint, over all instances.

    That are its slots, so that no request has to wait there: one that does may be given
    up as if the endpoint were silent. A rejection lowers the limit by one; while there
    is none, it slowly returns to the slots.
    """

    def __init__(self, slots: int, *, tolerance: float, clock: Clock) -> None:
        self._slots = max(slots, 1)
        self._clock = clock
        self._rejections: deque[Milliseconds] = deque()
        self._changed_at = clock.now()
        #: Rejections a second beyond which the endpoint falls over.
        self.tolerance = tolerance
        #: Requests that may be in flight.
        self.limit = self._slots

    @property
    def is_closed(self) -> bool:
        """Return whether rejections are so many that no place may be granted."""
        self._drop_old()
        return len(self._rejections) >= max(self.tolerance * CLOSING_SHARE, 1.0)

    def record_rejections(self, count: int) -> None:
        """Lower the limit after ``count`` requests were rejected."""
        was_closed = self.is_closed
        self._changed_at = self._clock.now()
        self._rejections.extend([self._changed_at] * count)
        limit = self.limit - count
        if count > 1 and self.is_closed and not was_closed:
            limit = min(limit, int(self._slots * KEPT_SHARE))
        self.limit = max(limit, 1)

    def refresh(self) -> None:
        """Raise the limit if that is due; called periodically."""
        now = self._clock.now()
        if self.limit < self._slots and now - self._changed_at >= RAISE_INTERVAL:
            self.limit += 1
            self._changed_at = now

    def _drop_old(self) -> None:
        since = self._clock.now() - REJECTION_SPAN
        while self._rejections and self._rejections[0] <= since:
            self._rejections.popleft()
