"""Random histories of a store that is restored, read by feeds that relay changes."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from returns.result import Failure, Result, Success

from fuchsiaroute.catalog import TableFeed
from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.platform import HistoryGone, Row, Rows, Table
from fuchsiaroute.store import (
    StoreError,
    StoreErrorKind,
    StorePosition,
    era_of,
    store_position,
    version_of,
)

FEEDS = 3
KEYS = ("a", "b", "c")
_LOST = Failure(StoreError(kind=StoreErrorKind.UNKNOWN, message="lost"))


class Store:
    """Rows of one table with all states that the table has ever had."""

    def __init__(self) -> None:
        self.era = 1
        self.version = 0
        self.rows: dict[str, tuple[bytes | None, int]] = {}
        self.copies: list[tuple[int, dict[str, tuple[bytes | None, int]]]] = []
        #: Values by key, for each position that the store has had.
        self.states: dict[int, dict[str, bytes]] = {}
        self.lost_answers = 0
        self.is_down = False
        self._record()

    @property
    def position(self) -> StorePosition:
        return store_position(self.era, self.version)

    def values(self) -> dict[str, bytes]:
        return {key: value for key, (value, _) in self.rows.items() if value}

    def put(self, key: str, value: bytes | None) -> None:
        self.version += 1
        self.rows[key] = (value, self.version)
        self._record()

    def copy(self) -> None:
        self.copies.append((self.version, dict(self.rows)))

    def restore(self, index: int) -> None:
        self.version, rows = self.copies[index % len(self.copies)]
        self.rows = dict(rows)
        self.era += 1
        self._record()

    async def read_table(
        self, table: Table, **options: Any
    ) -> Result[Rows, StoreError]:
        if self._is_lost():
            return _LOST
        return Success(Rows(rows=self._rows(after=-1), revision=self.position))

    async def watch(
        self, table: Table, *, after: StorePosition, **options: Any
    ) -> Result[Rows | HistoryGone, StoreError]:
        if self._is_lost():
            return _LOST
        is_known = version_of(after) <= self.version
        if era_of(after) != self.era or not is_known:
            return Success(HistoryGone())
        rows = self._rows(after=version_of(after))
        return Success(Rows(rows=rows, revision=self.position))

    def _rows(self, *, after: int) -> tuple[Row, ...]:
        return tuple(
            Row(key=key, value=value, revision=store_position(self.era, version))
            for key, (value, version) in self.rows.items()
            if version > after and (value is not None or after >= 0)
        )

    def _is_lost(self) -> bool:
        if self.lost_answers:
            self.lost_answers -= 1
            return True
        return self.is_down

    def _record(self) -> None:
        self.states[self.position] = self.values()


class Instance:
    """A feed with the values that it has delivered."""

    def __init__(self, number: int, store: Store, clock: ManualClock) -> None:
        self.values: dict[str, bytes] = {}
        #: Updates that this instance has sent to its peers.
        self.sent: list[tuple[Rows, StorePosition | None]] = []
        self.is_relayed = False
        self.feed = TableFeed(
            Table.ORDERS,
            store=store,  # type: ignore[arg-type]
            clock=clock,
            log=LineLog(clock=clock, instance=f"i{number}", write=len),
            random=Random(number),
            on_rows=self._on_rows,
            on_recovered=lambda since: None,
            wait=lambda: Milliseconds(0),
            min_interval=Milliseconds(100),
            max_retry_delay=lambda: Milliseconds(300),
            is_relayed=lambda: self.is_relayed,
            on_change=lambda rows, after: self.sent.append((rows, after)),
        )

    def _on_rows(self, rows: Rows, is_whole: bool) -> None:
        if is_whole:
            self.values = {}
        for row in rows.rows:
            self.values.pop(row.key, None)
            if row.value:
                self.values[row.key] = row.value


class FeedHistories(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        self.store = Store()
        self.store.copy()
        self.instances = [
            Instance(number, self.store, self.clock) for number in range(FEEDS)
        ]
        self.tasks = [self.loop.create_task(item.feed.run()) for item in self.instances]
        self.count = 0
        self._pass(2_000)
        for item in self.instances[1:]:
            item.is_relayed = True

    def teardown(self) -> None:
        """Without faults, every instance reaches the store's present state."""
        self.store.lost_answers = 0
        self.store.is_down = False
        for item in self.instances:
            item.is_relayed = False
        self._pass(3_000)
        values = [item.values for item in self.instances]
        for task in self.tasks:
            task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(*self.tasks, return_exceptions=True)
        )
        self.loop.close()
        assert values == [self.store.values()] * FEEDS

    def _pass(self, duration: int) -> None:
        for _ in range(duration // 50):
            for item in self.instances:
                item.feed.check_hint()
            self.loop.run_until_complete(self.clock.advance(Milliseconds(50)))

    @rule(key=st.sampled_from(KEYS), is_removed=st.booleans())
    def write(self, key: str, is_removed: bool) -> None:
        self.count += 1
        self.store.put(key, None if is_removed else b"%d" % self.count)
        self._pass(150)

    @rule()
    def copy(self) -> None:
        self.store.copy()

    @rule(index=st.integers(0, 9))
    def restore(self, index: int) -> None:
        self.store.restore(index)

    @rule(count=st.integers(1, 3))
    def lose_answers(self, count: int) -> None:
        self.store.lost_answers = count

    @rule(is_down=st.booleans())
    def reach(self, is_down: bool) -> None:
        self.store.is_down = is_down

    @rule(number=st.integers(0, FEEDS - 1), is_relayed=st.booleans())
    def rely(self, number: int, is_relayed: bool) -> None:
        self.instances[number].is_relayed = is_relayed

    @rule(sender=st.integers(0, FEEDS - 1), receiver=st.integers(0, FEEDS - 1))
    def hint(self, sender: int, receiver: int) -> None:
        position = self.instances[sender].feed.newest_revision
        self.instances[receiver].feed.hint(position)

    @rule(sender=st.integers(0, FEEDS - 1), age=st.integers(0, 3))
    def relay(self, sender: int, age: int) -> None:
        """Deliver an update, which may be old, to all other instances."""
        sent = self.instances[sender].sent
        if not sent:
            return
        rows, after = sent[-1 - age % len(sent)]
        for item in self.instances:
            if item is not self.instances[sender]:
                item.feed.apply_relayed(rows, after=after)

    @rule(duration=st.sampled_from([50, 300, 1_000]))
    def wait(self, duration: int) -> None:
        self._pass(duration)

    @invariant()
    def every_state_is_one_that_the_store_has_had(self) -> None:
        for item in self.instances:
            if item.feed.revision is not None:
                assert item.values == self.store.states[item.feed.revision]


FeedHistories.TestCase.settings = settings(
    derandomize=True, max_examples=40, stateful_step_count=30, deadline=None
)
TestFeedHistories = FeedHistories.TestCase


@pytest.mark.parametrize("seed", range(30))
def test_long_histories(seed: int) -> None:
    """Every step is as likely as the others, unlike in the generated histories."""
    random = Random(seed)
    history = FeedHistories()
    steps: list[Callable[[], None]] = [
        lambda: history.write(random.choice(KEYS), random.random() < 0.3),
        lambda: history.write(random.choice(KEYS), False),
        history.copy,
        lambda: history.restore(random.randrange(10)),
        lambda: history.lose_answers(random.randint(1, 3)),
        lambda: history.reach(random.random() < 0.2),
        lambda: history.rely(random.randrange(FEEDS), random.random() < 0.7),
        lambda: history.hint(random.randrange(FEEDS), random.randrange(FEEDS)),
        lambda: history.relay(random.randrange(FEEDS), random.randrange(4)),
        lambda: history.relay(0, 0),
        lambda: history.wait(random.choice((50, 300))),
    ]
    for _ in range(60):
        random.choice(steps)()
        history.every_state_is_one_that_the_store_has_had()
    history.teardown()
