from random import Random

import pytest

from examples import timberline
from fuchsiaroute.balancing import EndpointChooser, WarmthStore
from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.endpoints import EndpointState, Warmth, WarmthFact
from fuchsiaroute.ids import Incarnation, InstanceId
from fuchsiaroute.store import MemoryTableStore, StoreFault

CONFIGURATION = timberline.declare()
FIRST = CONFIGURATION.endpoints[0].id
WARM = Warmth(incarnation=Incarnation(7), is_warm=True)
INTERVAL = Milliseconds(5_000)


class Entry:
    def __init__(self, name: str, store: MemoryTableStore, clock: ManualClock) -> None:
        self.chooser = EndpointChooser(
            entry=InstanceId(name), clock=clock, random=Random(1)
        )
        self.chooser.update_configuration(CONFIGURATION)
        self.warmth_store = WarmthStore(store=store, chooser=self.chooser, clock=clock)

    def merge_warmth(self, warmth: Warmth) -> None:
        self.chooser.merge_warmth([WarmthFact(endpoint=FIRST, warmth=warmth)])

    @property
    def state(self) -> EndpointState:
        return self.chooser.table[FIRST].state


@pytest.mark.parametrize(
    "fault", [StoreFault.NONE, StoreFault.ANSWER_LOST, StoreFault.DOWN]
)
async def test_facts_reach_entries_that_start_later(fault: StoreFault) -> None:
    store, clock = MemoryTableStore(), ManualClock()
    early = Entry("entry-0", store, clock)
    early.merge_warmth(WARM)
    store.fault = fault
    await early.warmth_store.step()
    store.fault = StoreFault.NONE
    clock.tick(INTERVAL)
    await early.warmth_store.step()
    late = Entry("entry-1", store, clock)
    await late.warmth_store.step()
    assert late.state is EndpointState.WARM


async def test_older_fact_never_replaces_a_newer_one() -> None:
    store, clock = MemoryTableStore(), ManualClock()
    entries = [Entry(f"entry-{number}", store, clock) for number in range(2)]
    for entry in entries:
        await entry.warmth_store.step()
    entries[0].merge_warmth(WARM.found_cold())
    entries[1].merge_warmth(WARM)
    for entry in entries:
        await entry.warmth_store.step()
    clock.tick(INTERVAL)
    for entry in entries:
        await entry.warmth_store.step()
    assert [entry.state for entry in entries] == [EndpointState.COLD] * 2


async def test_entries_with_the_same_fact_write_it_once() -> None:
    store, clock = MemoryTableStore(), ManualClock()
    entries = [Entry(f"entry-{number}", store, clock) for number in range(3)]
    for entry in entries:
        entry.merge_warmth(WARM)
    for _ in range(4):
        for entry in entries:
            await entry.warmth_store.step()
        clock.tick(INTERVAL)
    assert store.writes == 1
