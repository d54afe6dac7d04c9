"""Reads a table of the store and watches it for changes."""

import asyncio
from collections.abc import Callable, Sequence
from enum import Enum
from random import Random
from typing import Any, TypeVar

from returns.result import Failure, Result

from fuchsiaroute.catalog._held_rows import HeldRows
from fuchsiaroute.catalog._reported_changes import HINT_TIMEOUT, ReportedChanges
from fuchsiaroute.catalog._store_contact import StoreContact
from fuchsiaroute.catalog._watch_check import WatchCheck
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.platform import HistoryGone, PlatformStore, Rows, Table
from fuchsiaroute.rowpatch import PatchError, RowPatch
from fuchsiaroute.store import (
    StoreError,
    StorePosition,
    era_of,
    store_position,
    version_of,
)

#: Delay after a failed call; each further failure multiplies it by
#: ``RETRY_DELAY_FACTOR``, up to ``max_retry_delay``.
MIN_RETRY_DELAY = Milliseconds(150)
RETRY_DELAY_FACTOR = 1.5
#: Time after the first read for which a new process makes no further call. Gossip that
#: it receives in this time shows whether other instances relay the table's changes. It
#: is shorter than the shortest time within which a change has to take effect.
INITIAL_IDLE_TIME = Milliseconds(1_500)
#: Interval at which an idle feed checks whether others still relay the changes.
IDLE_CHECK_INTERVAL = Milliseconds(100)
#: Time within which a response begins to arrive in a call that does not wait for a
#: change; doubles after each failure. An unresponsive kept-alive connection is closed
#: in time for a second call within 2 s of the change, the shortest time within which a
#: change has to take effect. A call that was lost in an outage must not delay the
#: notice of its end for long.
MIN_CALL_TIMEOUT = Milliseconds(700)
MAX_CALL_TIMEOUT = Milliseconds(1_000)
#: Timeout of a watch, in addition to the time for which the store may hold it open.
WATCH_TIMEOUT = Milliseconds(2_000)
CALL_TIMEOUT_FACTOR = 2
MILLISECONDS_PER_SECOND = 1_000
_T = TypeVar("_T")


class RowSource(Enum):
    """Where rows that were applied come from."""

    STORE = "store"
    #: An update that peers forward to each other.
    RELAY = "relay"
    #: A peer's reply to a request of this instance.
    PEER_REPLY = "peer-reply"


class _Step(Enum):
    """What follows a call."""

    #: A call after the minimum interval.
    CONTINUE = "continue"
    #: A call at once.
    READ_AGAIN = "read-again"
    #: A call after the retry delay.
    RETRY = "retry"


class TableFeed:
    """
    Reads a table once and then watches it for changes.

    ``on_rows(rows, is_whole)`` receives the whole table or its changes. A peer's hint
    of a newer revision ends a watch that does not deliver it. While ``is_relayed()``,
    other instances watch the table and relay its changes, and this one calls the store
    only after a hint. ``on_change(rows, after)`` receives the changes that this
    instance has read from the store, to relay them.

    A store that is restored from a copy begins a new era. ``on_restored()`` is called
    then, and ``on_change`` receives the whole table with ``after`` None.

    ``peers_answer_age()`` is the time since the store's latest answer to any other
    instance, for the log: it tells an outage of the store from a store that turns this
    instance away. ``on_recovered(since)`` receives the instant since which the store is
    known to answer any instance again.

    ``wait()`` is the time for which the store may hold a watch open without changes;
    ``min_interval`` is the minimum time between the starts of two calls. ``turn()`` is
    the number of instances that call before this one once the store answers nobody.
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
        on_recovered: Callable[[Milliseconds], None],
        wait: Callable[[], Milliseconds],
        min_interval: Milliseconds,
        max_retry_delay: Callable[[], Milliseconds],
        is_relayed: Callable[[], bool] = lambda: False,
        on_change: Callable[[Rows, StorePosition | None], None] = (
            lambda rows, after: None
        ),
        on_restored: Callable[[], None] = lambda: None,
        peers_answer_age: Callable[[], Milliseconds | None] = lambda: None,
        turn: Callable[[], int] = lambda: 0,
    ) -> None:
        self._table = table
        self._store = store
        self._clock = clock
        self._log = log
        self._random = random
        self._on_rows = on_rows
        self._on_recovered = on_recovered
        self._min_interval = min_interval
        self._max_retry_delay = max_retry_delay
        self._idle_until: Milliseconds | None = None
        self._is_relayed = is_relayed
        self._on_change = on_change
        self._on_restored = on_restored
        #: Era of the latest rows that were applied; None before the first.
        self._era: int | None = None
        self._contact = StoreContact(
            table, clock=clock, log=log, peers_answer_age=peers_answer_age
        )
        self._peers_answer_age = peers_answer_age
        self._watch_check = WatchCheck(
            clock=clock, wait=wait, answer_age=self._any_answer_age, turn=turn
        )
        self._restart_requested = asyncio.Event()
        self._reported = ReportedChanges(clock=clock)
        #: Whether a patch did not fit what is held. Peers may all have missed a value
        #: that this instance has read, so that none of their patches begins with it.
        self._needs_plain_rows = False
        self._retry_requested = asyncio.Event()
        #: Whether the response to the present call has begun to arrive. Such a call is
        #: not ended for another one, which would have to transfer the rows again.
        self._is_arriving = False
        self._held = HeldRows()
        self._retry_delay = float(MIN_RETRY_DELAY)
        self._call_timeout = MIN_CALL_TIMEOUT
        #: Revision up to which all changes have been relayed. Answers without changes
        #: leave it as it is, so that each relayed update continues the one before.
        self._relayed_until: StorePosition | None = None
        #: Whether changes alone do not complete what is held.
        self._must_read_whole = True
        #: ``revision`` when the store had no history after it.
        self._gone_revision: StorePosition | None = None
        #: Position of the store up to which the table has been read; None before.
        self.revision: StorePosition | None = None
        #: Position of the newest change that has been read.
        self.changed_revision = StorePosition(0)

    @property
    def is_loaded(self) -> bool:
        """Return whether the table has been read."""
        return self.revision is not None

    @property
    def newest_revision(self) -> StorePosition:
        """Return the highest revision of a change, read or received as a hint."""
        return max(self._reported.newest, self.changed_revision)

    @property
    def needs_plain_rows(self) -> bool:
        """Return whether peers are to be asked for rows instead of patches."""
        return self._needs_plain_rows

    @property
    def is_behind(self) -> bool:
        """Return whether a change is missing that a peer has reported."""
        return self._reported.is_missing(self.revision)

    def unreachable_for(self) -> Milliseconds:
        """Return the time since the store was lost; 0 while it answers."""
        return self._contact.lost_for()

    def hint(self, revision: StorePosition) -> None:
        """Record that a peer has reported a change of the table at ``revision``."""
        if era_of(revision) == 0 and self._era:
            # A peer of a version without eras states versions only.
            revision = store_position(self._era, version_of(revision))
        self._reported.add(revision, held=self.revision)

    def check_hint(self) -> None:
        """End a watch that has not delivered a change that a peer has reported."""
        if self._reported.must_read(self.revision, is_arriving=self._is_arriving):
            self.restart_watch("a peer has reported a newer change")

    def check_watch(self) -> None:
        """End a watch whose answer may have been lost."""
        fault = None if self._is_arriving else self._watch_check.fault()
        if fault is not None:
            self.restart_watch(fault)

    def peer_answered(self, instant: Milliseconds) -> None:
        """Record the time of the store's latest answer to any peer."""
        self._contact.record_peer_answer(instant)

    def missing_after(self) -> StorePosition | None:
        """
        Return the position after which peers are to be asked for changes now.

        It is None unless the store fails to deliver a change that a peer has reported.
        """
        is_lost = self._contact.is_lost
        if not self._reported.must_ask_peers(self.revision, is_lost=is_lost):
            return None
        return self.revision or StorePosition(0)

    def changes_after(self, position: StorePosition) -> tuple[Rows, bool] | None:
        """
        Return the changes since a peer's ``position``, and whether they are the table.

        A peer that has read the table in a former era of the store needs the whole
        table, and so does one that has not read it. None is returned if there are no
        changes, or some are not held.
        """
        if self.revision is None or self.revision <= position:
            return None
        is_whole = not position or era_of(position) != era_of(self.revision)
        rows = self._held.whole() if is_whole else self._held.changed_after(position)
        if not rows:
            return None
        return Rows(rows=rows, revision=self.revision), is_whole

    def patches_after(
        self, key: str, position: StorePosition
    ) -> Sequence[RowPatch] | None:
        """Return what leads a peer at ``position`` to the present value of a row."""
        return self._held.patches_after(key, position)

    def retry_now(self) -> None:
        """Call the store at once if it is lost, as it answers other calls again."""
        if self._contact.is_lost and not self._is_arriving:
            self._retry_requested.set()

    def restart_watch(self, reason: str) -> None:
        """End the watch in progress and call the store again at once."""
        if not self._restart_requested.is_set():
            self._log.write(
                "feed:restarted",
                table=self._table.value,
                reason=reason,
                revision=self.revision,
                newest_revision=self.newest_revision,
            )
        self._restart_requested.set()

    def answer_age(self) -> Milliseconds | None:
        """Return the time since the store's latest answer; None while it is lost."""
        return self._contact.answer_age()

    def behind_for(self) -> Milliseconds:
        """Return for how long a change is missing that a peer has reported."""
        return self._reported.missing_for()

    def apply_relayed(
        self,
        rows: Rows,
        *,
        after: StorePosition | None,
        patches: Sequence[RowPatch] = (),
        source: RowSource = RowSource.RELAY,
    ) -> bool:
        """
        Apply changes that another instance has read; return whether any is new.

        ``after`` is None for a whole table, which a restored store has sent. Some
        changes may be ``patches`` of rows that are held.
        """
        if after is None:
            return self._apply_relayed_table(rows, source)
        if self.revision is None or after > self.revision:
            # Earlier changes are missing. A hint leads to a read from the store.
            return False
        if rows.revision <= self.revision:
            return False
        if era_of(rows.revision) != era_of(after):
            return False
        try:
            patched = self._held.patched(patches)
        except PatchError as error:
            # Like lost changes, these are asked for again or read from the store.
            self._needs_plain_rows = True
            self._log.write(
                "feed:patch-failed",
                table=self._table.value,
                revision=self.revision,
                reason=str(error),
            )
            return False
        rows = Rows(rows=rows.rows + patched, revision=rows.revision)
        self._apply(rows, is_whole=False, source=source, patches=patches)
        return True

    def _apply_relayed_table(self, rows: Rows, source: RowSource) -> bool:
        if self._era is not None and era_of(rows.revision) <= self._era:
            return False
        # The store is read all the same once it answers.
        self._apply(rows, is_whole=True, source=source)
        return True

    async def run(self) -> None:
        """Keep the table up to date until cancelled."""
        while True:
            if self._may_idle():
                await self._sleep(IDLE_CHECK_INTERVAL)
                continue
            started_at = self._clock.now()
            step = await self._step()
            if step is _Step.RETRY:
                await self._wait_to_retry()
                continue
            self._retry_delay = float(MIN_RETRY_DELAY)
            self._call_timeout = MIN_CALL_TIMEOUT
            if step is _Step.CONTINUE:
                # Changes in quick succession are read together.
                took = self._clock.now() - started_at
                await self._sleep(max(self._min_interval - took, 0))

    async def _wait_to_retry(self) -> None:
        spread = 0.5 + self._random.random()
        delay = asyncio.ensure_future(self._sleep(round(self._retry_delay * spread)))
        await self._first_of(delay, self._retry_requested)
        max_delay = float(self._max_retry_delay())
        self._retry_delay = min(self._retry_delay * RETRY_DELAY_FACTOR, max_delay)
        self._call_timeout = Milliseconds(
            min(self._call_timeout * CALL_TIMEOUT_FACTOR, MAX_CALL_TIMEOUT)
        )

    async def _step(self) -> _Step:
        is_whole = self._must_read_whole
        self._retry_requested.clear()
        answer = await (self._read_whole() if is_whole else self._watch())
        if answer is None:
            return _Step.READ_AGAIN if self._contact.is_lost else _Step.CONTINUE
        if isinstance(answer, Failure):
            self._contact.record_failure(answer.failure().message)
            return _Step.RETRY
        found = answer.unwrap()
        recovered_since = self._contact.record_answer(self.revision)
        if recovered_since is not None:
            self._on_recovered(recovered_since)
        if isinstance(found, HistoryGone):
            self._log.write("feed:history-gone", table=self._table.value)
            self._must_read_whole = True
            self._gone_revision = self.revision
            self._relayed_until = None
            return _Step.READ_AGAIN
        after = self._relayed_until
        era = self._era
        self._must_read_whole = False
        self._apply(found, is_whole=is_whole, source=RowSource.STORE)
        if is_whole and era is not None and era != self._era:
            self._on_change(found, None)
        elif after is not None and found.rows:
            self._on_change(found, after)
        return _Step.CONTINUE

    def _may_idle(self) -> bool:
        is_due = self.is_behind and not self._reported.is_awaited
        is_needed = self._must_read_whole or self._restart_requested.is_set() or is_due
        return not is_needed and (self._is_initial_idle_time() or self._is_relayed())

    def _is_initial_idle_time(self) -> bool:
        now = self._clock.now()
        if self._idle_until is None:
            self._idle_until = Milliseconds(now + INITIAL_IDLE_TIME)
        return now < self._idle_until

    def _apply(
        self,
        rows: Rows,
        *,
        is_whole: bool,
        source: RowSource,
        patches: Sequence[RowPatch] = (),
    ) -> None:
        is_older = self.revision is not None and rows.revision < self.revision
        if is_older and not (is_whole and self.revision == self._gone_revision):
            # Relayed changes are newer than this answer. Without such changes, the
            # store itself has gone back.
            return
        era = era_of(rows.revision)
        if self._era is not None and era < self._era:
            # Peers have relayed changes of a later era meanwhile.
            return
        is_restored = self._era is not None and era > self._era
        if is_restored:
            self._log.write(
                "store:restored", table=self._table.value, era=era, former=self._era
            )
            self._on_restored()
        self._era = era
        if rows.rows or is_whole:
            self._relayed_until = rows.revision
            newest = max((row.revision for row in rows.rows), default=StorePosition(0))
            if is_restored:
                # The hint tells peers of the new era, even if no row has changed.
                newest = rows.revision
            self.changed_revision = max(self.changed_revision, newest)
            self._held.apply(rows, is_whole=is_whole, patches=patches)
            self._on_rows(rows, is_whole)
        self.revision = rows.revision
        self._needs_plain_rows = False
        if self.is_behind:
            return
        if self.behind_for() >= HINT_TIMEOUT:
            self._log.write(
                "feed:caught-up",
                table=self._table.value,
                revision=self.revision,
                behind_ms=self.behind_for(),
                source=source.value,
            )
        self._reported.end()

    async def _read_whole(self) -> Result[Rows | HistoryGone, StoreError] | None:
        """Return the whole table; None if a request for a new call ended the read."""
        self._restart_requested.clear()
        read = asyncio.ensure_future(
            self._store.read_table(self._table, on_part=self._record_part)
        )
        answer = await self._first_of(read, self._retry_requested)
        return None if answer is None else answer.map(_as_watch_answer)

    async def _watch(self) -> Result[Rows | HistoryGone, StoreError] | None:
        """Return the answer of a call; None if a request for a new one ended it."""
        assert self.revision is not None
        is_urgent = self._restart_requested.is_set() or self.is_behind
        self._restart_requested.clear()
        if self._contact.is_lost or is_urgent:
            # After an outage or a hint the answer must not wait for a change. Further
            # hints do not restart the call: with an answer slower than the hints, no
            # call would ever finish.
            read = asyncio.ensure_future(
                self._store.watch(
                    self._table,
                    after=self.revision,
                    wait=Milliseconds(0),
                    within=self._call_timeout,
                    on_part=self._record_part,
                )
            )
            return await self._first_of(read, self._retry_requested)
        watch = asyncio.ensure_future(
            self._store.watch(
                self._table,
                after=self.revision,
                wait=self._watch_check.begin(),
                within=WATCH_TIMEOUT,
                on_part=self._record_part,
            )
        )
        try:
            return await self._first_of(watch, self._restart_requested)
        finally:
            self._watch_check.end()

    async def _first_of(
        self, call: "asyncio.Future[_T]", event: asyncio.Event
    ) -> _T | None:
        """Return the result of ``call``; None if ``event`` came first and ended it."""
        interruption = asyncio.ensure_future(event.wait())
        tasks: set[asyncio.Future[Any]] = {call, interruption}
        self._is_arriving = False
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            return call.result() if call.done() else None
        finally:
            self._is_arriving = False
            for task in tasks:
                task.cancel()

    def _any_answer_age(self) -> Milliseconds | None:
        """Return the time since the store's latest answer to any instance."""
        ages = (self._contact.answer_age(), self._peers_answer_age())
        return min((age for age in ages if age is not None), default=None)

    def _record_part(self) -> None:
        self._is_arriving = True
        self._contact.record_part()

    async def _sleep(self, duration: int) -> None:
        if duration > 0:
            await self._clock.sleep(Milliseconds(duration))


def _as_watch_answer(rows: Rows) -> Rows | HistoryGone:
    return rows
