"""Changes of a table that peers have reported, and what to do while one is missing."""

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.store import StorePosition

#: Time for which a watch may still deliver a change that a peer has reported.
HINT_TIMEOUT = Milliseconds(300)
#: Time for which the store may leave a reported change undelivered before peers are
#: asked for it: enough for a watch that is ended after ``HINT_TIMEOUT`` and a read.
PEER_REQUEST_DELAY = Milliseconds(500)
#: Time between two requests to peers.
PEER_REQUEST_INTERVAL = Milliseconds(250)


class ReportedChanges:
    """
    The newest reported change, and for how long one has been missing.

    ``held`` is the position up to which the table is held; None before the first read.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._newest = StorePosition(0)
        #: Since when a reported change is awaited, and its position. Later reports do
        #: not begin the wait anew: in a series of changes it would never end.
        self._awaited_since: Milliseconds | None = None
        self._awaited = StorePosition(0)
        self._behind_since: Milliseconds | None = None
        self._peers_asked_at: Milliseconds | None = None

    @property
    def newest(self) -> StorePosition:
        """Return the position of the newest reported change; 0 before the first."""
        return self._newest

    @property
    def is_awaited(self) -> bool:
        """Return whether a watch may still deliver a change."""
        return self._awaited_since is not None

    def is_missing(self, held: StorePosition | None) -> bool:
        """Return whether a reported change is missing."""
        return self._newest > (held or 0)

    def add(self, position: StorePosition, *, held: StorePosition | None) -> None:
        """Record a change at ``position``."""
        if position <= self._newest:
            return
        self._newest = position
        if self._awaited_since is None:
            self._await_newest()
        if self.is_missing(held) and self._behind_since is None:
            self._behind_since = self._clock.now()

    def must_read(self, held: StorePosition | None, *, is_arriving: bool) -> bool:
        """
        Return whether a change is overdue, so that the table is to be read.

        While rows are arriving, no other read may take their place. The wait ends when
        this is true; the next report begins another one.
        """
        if self._awaited_since is None or not self.is_missing(held):
            self._awaited_since = None
        elif self._awaited <= (held or 0):
            self._await_newest()
        elif (
            not is_arriving and self._clock.now() - self._awaited_since >= HINT_TIMEOUT
        ):
            self._awaited_since = None
            return True
        return False

    def must_ask_peers(self, held: StorePosition | None, *, is_lost: bool) -> bool:
        """Return whether peers are to be asked now; ``is_lost`` if the store is."""
        if self._behind_since is None or not self.is_missing(held):
            return False
        now = self._clock.now()
        if not is_lost and now - self._behind_since < PEER_REQUEST_DELAY:
            return False
        asked_at = self._peers_asked_at
        if asked_at is not None and now - asked_at < PEER_REQUEST_INTERVAL:
            return False
        self._peers_asked_at = now
        return True

    def missing_for(self) -> Milliseconds:
        """Return for how long a reported change has been missing."""
        if self._behind_since is None:
            return Milliseconds(0)
        return Milliseconds(self._clock.now() - self._behind_since)

    def end(self) -> None:
        """Record that no reported change is missing any more."""
        self._behind_since = None

    def _await_newest(self) -> None:
        self._awaited_since = self._clock.now()
        self._awaited = self._newest
