"""Which client's connection is closed when the memory for clients is used up."""

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.http1 import MemoryBudget

LIMIT = 1_000


class Holder:
    """A connection that holds bytes since a point in time until it is evicted."""

    def __init__(
        self, budget: MemoryBudget, *, since: int = 0, may_be_evicted: bool = True
    ) -> None:
        self.held = 0
        self.held_since = Milliseconds(since)
        self.may_be_evicted = may_be_evicted
        self.is_evicted = False
        self._budget = budget

    def evict(self) -> None:
        self.is_evicted = True
        self.may_be_evicted = False
        self._budget.remove(self)


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(start=Milliseconds(10_000))


@pytest.fixture
def budget(clock: ManualClock) -> MemoryBudget:
    return MemoryBudget(limit=LIMIT, clock=clock)


@pytest.mark.parametrize(
    ("sizes", "since", "evicted"),
    [
        # The one that holds most, of those that hold it for as long.
        ((500, 300, 201), (0, 0, 0), 0),
        # The one that holds it for longest, of those that hold as much.
        ((400, 400, 201), (9_000, 2_000, 2_000), 1),
        # Much for a short time weighs less than a little less for long.
        ((500, 400, 101), (9_900, 100, 100), 1),
    ],
)
def test_costliest_connection_makes_room(
    budget: MemoryBudget,
    sizes: tuple[int, ...],
    since: tuple[int, ...],
    evicted: int,
) -> None:
    holders = [Holder(budget, since=item) for item in since]
    results = [
        budget.resize(*item) for item in zip(holders[:-1], sizes[:-1], strict=True)
    ]
    assert results == [True] * len(results)
    assert budget.resize(holders[-1], sizes[-1])
    assert [item.is_evicted for item in holders].index(True) == evicted
    assert budget.used <= LIMIT


def test_connection_that_is_itself_the_costliest_is_told(budget: MemoryBudget) -> None:
    small, large = Holder(budget), Holder(budget)
    assert budget.resize(small, 100)
    assert not budget.resize(large, 950)
    assert not small.is_evicted


def test_requests_in_progress_are_kept(budget: MemoryBudget) -> None:
    """Guards against memory that is won by ending a request that may have run."""
    running = Holder(budget, may_be_evicted=False)
    assert budget.resize(running, 900)
    assert not budget.resize(Holder(budget, may_be_evicted=False), 200)
    assert not running.is_evicted


def test_all_memory_is_returned(budget: MemoryBudget) -> None:
    holder = Holder(budget)
    budget.resize(holder, 700)
    budget.resize(holder, 300)
    assert budget.used == 300
    budget.remove(holder)
    budget.remove(holder)
    assert budget.used == 0
