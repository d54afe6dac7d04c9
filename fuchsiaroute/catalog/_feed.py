"""Following one table of the store."""

import asyncio
from collections.abc import Callable
from enum import Enum
from random import Random

from returns.result import Failure, Result

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.platform import HistoryGone, PlatformStore, Rows, Table
from fuchsiaroute.store import StoreError

#: Pause after a failed call; grows by half up to the longest.
FIRST_PAUSE = Milliseconds(150)
PAUSE_GROWTH = 1.5
#: Time after the first reading in which a process learns whether others follow the
#: table. It is shorter than the time within which any change has to take effect.
FIRST_REST = Milliseconds(1_500)
#: Pause between two looks at whether others still follow the table.
REST = Milliseconds(100)
#: Time for which a watch may still deliver a change that peers have told of.
HINT_PATIENCE = Milliseconds(300)
#: Time for an answer that need not wait for a change; twice as long after each failure.
#: A kept connection that has gone silent is given up in time for a second try within
#: 2 s of the change, the shortest time to take effect.
FIRST_PATIENCE = Milliseconds(700)
LONGEST_PATIENCE = Milliseconds(2_000)
PATIENCE_GROWTH = 2
_MS = 1_000


class FeedState(Enum):
    """Whether the table is being followed."""

    STARTING = "starting"
    FOLLOWING = "following"
    LOST = "lost"


class TableFeed:
    """
    Reads a table once and then waits for its changes.

    ``on_rows(rows, is_whole)`` gets the whole table or what changed. Hints of peers
    that the table has moved on end a watch that does not deliver. While
    ``is_followed()``, other instances follow the table and relay its changes, and this
    one asks the store only after a hint; ``on_change(rows, after)`` hands its own
    changes on.
    """

    def __init__(
        self,
        table: Table,
        *,
        store: PlatformStore,
        clock: Clock,
        log: LineLog,
        random: Random,
        on_rows: Callable[[Rows, bool], None],
        on_recovered: Callable[[], None],
        wait: Callable[[], Milliseconds],
        min_interval: Milliseconds,
        max_retry_delay: Callable[[], Milliseconds],
        is_relayed: Callable[[], bool] = lambda: False,
        on_change: Callable[[Rows, int], None] = lambda rows, after: None,
    ) -> None:
        self._table = table
        self._store = store
        self._clock = clock
        self._log = log
        self._random = random
        self._on_rows = on_rows
        self._on_regained = on_recovered
        self._wait = wait
        self._least_interval = min_interval
        self._longest_pause = max_retry_delay
        self._rests_until: Milliseconds | None = None
        self._is_followed = is_relayed
        self._on_change = on_change
        self._state = FeedState.STARTING
        self._poked = asyncio.Event()
        self._hinted_at: Milliseconds | None = None
        self._hint = 0
        self._pause = float(FIRST_PAUSE)
        self._patience = FIRST_PATIENCE
        self._heard_at: Milliseconds | None = None
        self._lost_at: Milliseconds | None = None
        #: Revision up to which others have been told of all changes. Answers without
        #: changes do not move it, so that a relay reaches back to the one before.
        self._relayed_until: int | None = None
        #: Revision of the store up to which the table is known; None before.
        self.revision: int | None = None
        #: Revision of the newest change that was seen in the table.
        self.changed_revision = 0

    @property
    def is_loaded(self) -> bool:
        """Return whether the table has been read."""
        return self.revision is not None

    @property
    def newest_revision(self) -> int:
        """Return the newest change of the table that is known of, read or not."""
        return max(self._hint, self.changed_revision)

    @property
    def is_behind(self) -> bool:
        """Return whether a peer has told of a change that has not been read."""
        return self._hint > (self.revision or 0)

    def unreachable_for(self) -> Milliseconds:
        """Return how long the store has not been reached; 0 while it is followed."""
        if self._lost_at is None:
            return Milliseconds(0)
        return Milliseconds(self._clock.now() - self._lost_at)

    def hint(self, revision: int) -> None:
        """Take over from a peer that the table has a change of this revision."""
        if revision > self._hint:
            self._hint = revision
            self._hinted_at = self._clock.now()

    def check_hint(self) -> None:
        """End a watch that has not delivered a change that a peer has seen."""
        if self._hinted_at is None or not self.is_behind:
            self._hinted_at = None
        elif self._clock.now() - self._hinted_at >= HINT_PATIENCE:
            self._hinted_at = None
            self.restart_watch("a peer has seen a newer change")

    def restart_watch(self, reason: str) -> None:
        """End the watch in progress and ask again at once."""
        if not self._poked.is_set():
            self._log.write("feed:restarted", table=self._table.value, reason=reason)
        self._poked.set()

    def answer_age(self) -> Milliseconds | None:
        """Return the age of the store's latest answer here; None while it is lost."""
        if self._heard_at is None or self._state is not FeedState.FOLLOWING:
            return None
        return Milliseconds(self._clock.now() - self._heard_at)

    def apply_relayed(self, rows: Rows, *, after: int) -> bool:
        """Take over changes that another instance has read; tell whether any is new."""
        if self.revision is None or after > self.revision:
            # Changes before these are missing; the hint leads to a reading.
            return False
        if rows.revision <= self.revision:
            return False
        self._take_over(rows, is_whole=False)
        return True

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            if self._may_rest():
                await self._sleep(REST)
                continue
            began = self._clock.now()
            if await self._step():
                self._pause = float(FIRST_PAUSE)
                self._patience = FIRST_PATIENCE
                # Changes that come in quick succession are read together.
                took = self._clock.now() - began
                await self._sleep(max(self._least_interval - took, 0))
            else:
                spread = 0.5 + self._random.random()
                await self._sleep(round(self._pause * spread))
                longest = float(self._longest_pause())
                self._pause = min(self._pause * PAUSE_GROWTH, longest)
                self._patience = Milliseconds(
                    min(self._patience * PATIENCE_GROWTH, LONGEST_PATIENCE)
                )

    async def _step(self) -> bool:
        is_whole = self.revision is None
        answer: Result[Rows | HistoryGone, StoreError]
        if is_whole:
            self._poked.clear()
            answer = (await self._store.read_table(self._table)).map(_either)
        else:
            watched = await self._watch()
            if watched is None:
                return True
            answer = watched
        if isinstance(answer, Failure):
            self._note_failure(answer.failure().message)
            return False
        found = answer.unwrap()
        if isinstance(found, HistoryGone):
            self._log.write("feed:history-gone", table=self._table.value)
            self.revision = None
            self._relayed_until = None
            return True
        self._note_success(found)
        after = self._relayed_until
        self._take_over(found, is_whole=is_whole)
        if after is not None and found.rows:
            self._on_change(found, after)
        return True

    def _may_rest(self) -> bool:
        is_due = self.is_behind and self._hinted_at is None
        is_needed = self.revision is None or self._poked.is_set() or is_due
        return not is_needed and (self._is_first_rest() or self._is_followed())

    def _is_first_rest(self) -> bool:
        now = self._clock.now()
        if self._rests_until is None:
            self._rests_until = Milliseconds(now + FIRST_REST)
        return now < self._rests_until

    def _take_over(self, rows: Rows, *, is_whole: bool) -> None:
        if self.revision is not None and rows.revision < self.revision:
            # Relayed changes have overtaken this answer.
            return
        if rows.rows or is_whole:
            self._relayed_until = rows.revision
            newest = max((row.revision for row in rows.rows), default=0)
            self.changed_revision = max(self.changed_revision, newest)
            self._on_rows(rows, is_whole)
        self.revision = rows.revision

    async def _watch(self) -> Result[Rows | HistoryGone, StoreError] | None:
        """Return the answer of a watch; None if it was ended by ``poke``."""
        assert self.revision is not None
        is_urgent = self._poked.is_set() or self.is_behind
        self._poked.clear()
        if self._state is FeedState.LOST or is_urgent:
            # The first answer after an outage or a hint should not have to wait, and
            # hints that come meanwhile do not make it come sooner.
            return await self._store.watch(
                self._table,
                after=self.revision,
                wait=Milliseconds(0),
                within=self._patience,
            )
        watch = asyncio.ensure_future(
            self._store.watch(
                self._table,
                after=self.revision,
                wait=self._wait(),
                within=LONGEST_PATIENCE,
            )
        )
        poked = asyncio.ensure_future(self._poked.wait())
        try:
            await asyncio.wait({watch, poked}, return_when=asyncio.FIRST_COMPLETED)
            return watch.result() if watch.done() else None
        finally:
            for task in (watch, poked):
                task.cancel()

    def _note_failure(self, reason: str) -> None:
        if self._state is not FeedState.LOST:
            self._state = FeedState.LOST
            self._lost_at = self._clock.now()
            age = None
            if self._heard_at is not None:
                age = self._clock.now() - self._heard_at
            self._log.write(
                "store:lost", table=self._table.value, reason=reason, last_heard_ms=age
            )

    def _note_success(self, rows: Rows) -> None:
        self._heard_at = self._clock.now()
        if self._state is FeedState.LOST:
            self._log.write(
                "store:regained",
                table=self._table.value,
                away_ms=self.unreachable_for(),
                revision=rows.revision,
            )
            self._on_regained()
        self._lost_at = None
        self._state = FeedState.FOLLOWING

    async def _sleep(self, duration: int) -> None:
        if duration > 0:
            await self._clock.sleep(Milliseconds(duration))


def _either(rows: Rows) -> Rows | HistoryGone:
    return rows
