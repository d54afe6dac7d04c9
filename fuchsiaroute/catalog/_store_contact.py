"""Whether the store answers for a table, here and to peers."""

from collections.abc import Callable
from enum import Enum

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.platform import Table
from fuchsiaroute.store import StorePosition

#: Time without an answer of the store to any peer after which it counts as having been
#: away for all. At least one instance's watches are shorter than this.
MAX_PEER_ANSWER_GAP = Milliseconds(3_500)


class FeedState(Enum):
    """Whether the store answers for the table."""

    STARTING = "starting"
    FOLLOWING = "following"
    LOST = "lost"


class StoreContact:
    """
    The latest answers of the store, and since when it is lost.

    ``peers_answer_age()`` is the time since the store's latest answer to any other
    instance, for the log.
    """

    def __init__(
        self,
        table: Table,
        *,
        clock: Clock,
        log: LineLog,
        peers_answer_age: Callable[[], Milliseconds | None],
    ) -> None:
        self._table = table
        self._clock = clock
        self._log = log
        self._peers_answer_age = peers_answer_age
        self._state = FeedState.STARTING
        self._answered_at: Milliseconds | None = None
        self._lost_at: Milliseconds | None = None
        #: First and latest answer of the store to a peer since the store was lost here.
        self._peers_answered_since: Milliseconds | None = None
        self._peers_answered_at = Milliseconds(0)

    @property
    def is_lost(self) -> bool:
        """Return whether the latest call failed."""
        return self._state is FeedState.LOST

    def lost_for(self) -> Milliseconds:
        """Return the time since the store was lost; 0 while it answers."""
        if self._lost_at is None:
            return Milliseconds(0)
        return Milliseconds(self._clock.now() - self._lost_at)

    def answer_age(self) -> Milliseconds | None:
        """Return the time since the store's latest answer; None while it is lost."""
        if self._answered_at is None or self._state is not FeedState.FOLLOWING:
            return None
        return Milliseconds(self._clock.now() - self._answered_at)

    def record_peer_answer(self, instant: Milliseconds) -> None:
        """Record the time of the store's latest answer to any peer."""
        if self._lost_at is None or instant <= self._lost_at:
            return
        gap = instant - self._peers_answered_at
        if self._peers_answered_since is None or gap > MAX_PEER_ANSWER_GAP:
            self._peers_answered_since = instant
        self._peers_answered_at = max(self._peers_answered_at, instant)

    def record_part(self) -> None:
        """Record that part of a response has arrived."""
        if self._state is FeedState.FOLLOWING:
            # Peers that rely on this instance must not read the same rows meanwhile.
            self._answered_at = self._clock.now()

    def record_failure(self, reason: str) -> None:
        """Record a failed call."""
        if self._state is FeedState.LOST:
            return
        self._state = FeedState.LOST
        self._lost_at = self._clock.now()
        self._peers_answered_since = None
        age = None
        if self._answered_at is not None:
            age = self._clock.now() - self._answered_at
        self._log.write(
            "store:lost",
            table=self._table.value,
            reason=reason,
            last_heard_ms=age,
            peers_heard_ms=self._peers_answer_age(),
        )

    def record_answer(self, revision: StorePosition | None) -> Milliseconds | None:
        """
        Record an answer; ``revision`` is the position that was held before.

        If the store was lost, the instant is returned since which it is known to answer
        any instance again.
        """
        now = self._clock.now()
        self._answered_at = now
        since: Milliseconds | None = None
        if self._state is FeedState.LOST:
            self._log.write(
                "store:regained",
                table=self._table.value,
                away_ms=self.lost_for(),
                peers_heard_ms=self._peers_answer_age(),
                revision=revision,
            )
            since = self._peers_answered_since
            if since is None or now - self._peers_answered_at > MAX_PEER_ANSWER_GAP:
                since = now
        self._lost_at = None
        self._state = FeedState.FOLLOWING
        return since
