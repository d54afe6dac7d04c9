"""
The entries together never exceed the cold capacity of an endpoint.

Without ownership recorded in the store they would: entries have different member
lists, a paused process resumes after its slots have been reassigned, and requests of
a restarted process may still be running at the endpoint.
"""

from collections.abc import Callable
from random import Random

import pytest

from examples import timberline
from fuchsiaroute.balancing import (
    DEPARTURE_DELAY,
    PAUSE_THRESHOLD,
    ColdSlot,
    ColdSlotOwnership,
    ColdSlots,
    Departures,
    SlotOwner,
    rendezvous_order,
)
from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.ids import Incarnation, InstanceId
from fuchsiaroute.store import InstanceRecord, MemoryTableStore, StoreFault

ENDPOINT = timberline.declare().endpoints[0]
STEP = Milliseconds(1_000)


class Entry:
    """An entry with its own member list; it can be paused."""

    def __init__(
        self, harness: "OwnershipHarness", name: str, incarnation: int = 1
    ) -> None:
        self.harness = harness
        self.name = InstanceId(name)
        owner = SlotOwner(instance=self.name, incarnation=Incarnation(incarnation))
        self.slots = ColdSlots(harness.clock)
        self.departures = Departures(owner=owner, clock=harness.clock)
        self.ownership = ColdSlotOwnership(
            owner=owner,
            store=harness.store,
            slots=self.slots,
            departures=self.departures,
            clock=harness.clock,
        )
        self.members: list[InstanceId] = []
        self.is_paused = False

    async def step(self) -> None:
        if self.is_paused:
            return
        self.departures.update_instances(self.harness.listed)
        await self.ownership.step([ENDPOINT], self.members)

    def occupy_slots(self) -> bool:
        """Occupy all available slots permanently; return whether any is in use."""
        while self.slots.is_available(ENDPOINT.id):
            self.slots.acquire(ENDPOINT.id)
        return self.slots.is_used(ENDPOINT.id)


class OwnershipHarness:
    def __init__(self, seed: int, size: int) -> None:
        self.clock = ManualClock()
        self.random = Random(seed)
        self.store = MemoryTableStore()
        self.entries = [Entry(self, f"entry-{number}") for number in range(size)]
        self.listed: list[InstanceRecord] = []
        self.list_entries()

    def list_entries(self) -> None:
        self.listed = [
            InstanceRecord(
                id=entry.name,
                address="127.0.0.1:9000",
                failure_domain=ENDPOINT.failure_domain,
            )
            for entry in self.entries
        ]

    def draw_members(self) -> None:
        names = [entry.name for entry in self.entries]
        for entry in self.entries:
            sampled = self.random.sample(names, self.random.randint(1, len(names)))
            entry.members = [*sampled, entry.name]

    async def run(self, duration: int) -> None:
        for _ in range(duration // STEP):
            self.clock.tick(STEP)
            for entry in self.entries:
                await entry.step()

    def load(self) -> int:
        """Return the maximum load that all entries together put on the endpoint."""
        for entry in self.entries:
            entry.occupy_slots()
        return sum(entry.slots._used[ENDPOINT.id] for entry in self.entries)


def load_of_owners_by_own_members(harness: OwnershipHarness) -> int:
    owners = [
        entry
        for entry in harness.entries
        if entry.name
        in rendezvous_order(ENDPOINT.id, set(entry.members))[: ENDPOINT.cold_capacity]
    ]
    return len(owners)


def load_of_even_split(harness: OwnershipHarness) -> int:
    return sum(
        max(1, ENDPOINT.cold_capacity // len(set(entry.members)))
        for entry in harness.entries
    )


@pytest.mark.parametrize("size", [6, 8, 390])
@pytest.mark.parametrize(
    "alternative", [load_of_owners_by_own_members, load_of_even_split]
)
def test_sharing_by_own_members_exceeds_the_cold_capacity(
    size: int, alternative: Callable[[OwnershipHarness], int]
) -> None:
    harness = OwnershipHarness(seed=1, size=size)
    harness.draw_members()
    assert alternative(harness) > ENDPOINT.cold_capacity


@pytest.mark.parametrize("size", [6, 8, 390])
async def test_differing_member_lists_do_not_exceed_the_cold_capacity(
    size: int,
) -> None:
    harness = OwnershipHarness(seed=1, size=size)
    for _ in range(5):
        harness.draw_members()
        await harness.run(11_000)
        assert harness.load() == ENDPOINT.cold_capacity


async def _owner_in_use(harness: OwnershipHarness) -> Entry:
    harness.draw_members()
    await harness.run(11_000)
    harness.load()
    return next(entry for entry in harness.entries if entry.occupy_slots())


async def test_paused_owner_keeps_its_slot_for_any_length_of_pause() -> None:
    harness = OwnershipHarness(seed=2, size=8)
    owner = await _owner_in_use(harness)
    owner.is_paused = True
    # A lease that expires by time would pass to another entry here.
    for _ in range(10):
        harness.draw_members()
        await harness.run(DEPARTURE_DELAY // 3)
    owner.is_paused = False
    assert harness.load() <= ENDPOINT.cold_capacity


async def test_resumed_owner_uses_no_slot_before_its_ownership_is_confirmed() -> None:
    harness = OwnershipHarness(seed=2, size=8)
    harness.draw_members()
    await harness.run(11_000)
    owner = next(entry for entry in harness.entries if entry.slots.endpoints)
    owner.is_paused = True
    # The platform removes the paused process from its list although it is alive.
    harness.listed = [item for item in harness.listed if item.id != owner.name]
    await harness.run(DEPARTURE_DELAY + 22_000)
    owner.is_paused = False
    assert not owner.slots.is_available(ENDPOINT.id)
    assert harness.load() == ENDPOINT.cold_capacity
    await harness.run(22_000)
    assert harness.load() == ENDPOINT.cold_capacity


async def test_restarted_owner_waits_for_requests_of_its_earlier_incarnation() -> None:
    harness = OwnershipHarness(seed=3, size=8)
    owner = await _owner_in_use(harness)
    still_running = owner.slots._used[ENDPOINT.id]
    harness.entries.remove(owner)
    successor = Entry(harness, owner.name, incarnation=2)
    harness.entries.append(successor)
    await harness.run(DEPARTURE_DELAY - 2_000)
    assert harness.load() + still_running <= ENDPOINT.cold_capacity
    await harness.run(24_000)
    assert harness.load() == ENDPOINT.cold_capacity


async def test_list_without_the_entry_itself_transfers_no_slot() -> None:
    harness = OwnershipHarness(seed=4, size=8)
    harness.listed = []
    await _owner_in_use(harness)
    await harness.run(2 * DEPARTURE_DELAY)
    assert harness.load() == ENDPOINT.cold_capacity


@pytest.mark.parametrize("fault", [StoreFault.DOWN, StoreFault.ANSWER_LOST])
async def test_cold_capacity_is_not_exceeded_while_the_store_fails(
    fault: StoreFault,
) -> None:
    harness = OwnershipHarness(seed=5, size=8)
    harness.store.fault = fault
    harness.draw_members()
    await harness.run(30_000)
    assert harness.load() <= ENDPOINT.cold_capacity
    harness.store.fault = StoreFault.NONE
    await harness.run(22_000)
    assert harness.load() == ENDPOINT.cold_capacity


async def test_owners_keep_their_slots_while_the_store_is_down() -> None:
    harness = OwnershipHarness(seed=6, size=8)
    harness.draw_members()
    await harness.run(11_000)
    harness.store.fault = StoreFault.DOWN
    await harness.run(3_600_000)
    assert harness.load() == ENDPOINT.cold_capacity


async def test_released_slots_are_claimed_without_the_departure_delay() -> None:
    harness = OwnershipHarness(seed=7, size=8)
    harness.draw_members()
    await harness.run(11_000)
    owner = next(entry for entry in harness.entries if entry.slots.endpoints)
    await owner.ownership.release()
    harness.entries.remove(owner)
    harness.draw_members()
    for entry in harness.entries:
        entry.members = [item for item in entry.members if item != owner.name]
    await harness.run(33_000)
    assert harness.load() == ENDPOINT.cold_capacity


def test_unsettled_request_occupies_its_slot_for_the_maximum_request_duration() -> None:
    harness = OwnershipHarness(seed=8, size=1)
    slots = harness.entries[0].slots
    slots.confirm([ColdSlot(endpoint=ENDPOINT.id, number=0)])
    slots.acquire(ENDPOINT.id)
    slots.release(ENDPOINT.id, is_settled=False)
    assert not slots.is_available(ENDPOINT.id)
    for _ in range(121):
        harness.clock.tick(STEP)
        slots.tick()
    assert slots.is_available(ENDPOINT.id)
    harness.clock.tick(Milliseconds(PAUSE_THRESHOLD + 1))
    assert not slots.is_available(ENDPOINT.id)
