"""Limits over several entries, with the table service well, down or forgetful."""

from random import Random

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.configuration import Organisation
from fuchsiaroute.costlimit import Allowances, CostMeter, allowance_key, day_of
from fuchsiaroute.ids import OrganisationId, ProductId, RequestId
from fuchsiaroute.request import Request
from fuchsiaroute.routing import NO_LIMIT
from fuchsiaroute.store import MemoryTableStore, Put, StoreFault, Transaction

LIMIT = 100_000
ENTRIES = 8
COST = 50
DAY = 24 * 3_600_000
#: Overshoot that the operators' page states.
STATED_OVERSHOOT = 0.02


def make_organisation(limit=LIMIT):
    return Organisation(
        id=OrganisationId("firm"),
        product=ProductId("p"),
        permitted_models=(),
        key_digest="f",
        daily_cost_limit=limit,
    )


class Fleet:
    """Entries that share a store and spend for one organisation."""

    def __init__(self):
        self.clock = ManualClock(start=Milliseconds(20_000 * DAY))
        self.store = MemoryTableStore()
        self.entries = [self.make_entry() for _ in range(ENTRIES)]
        self.spent = 0
        self.count = 0

    def make_entry(self):
        return Allowances(
            store=self.store,
            meter=CostMeter(clock=self.clock),
            clock=self.clock,
            entry_count=lambda: ENTRIES,
        )

    async def spend(self, entry, organisation, *, cost=COST, true_cost=None):
        if await entry.budget(organisation, cost=cost) < cost:
            return False
        self.count += 1
        request = Request(
            id=RequestId(f"r{self.count}"),
            organisation=organisation.id,
            product=organisation.product,
            request_class="c",
            deadline=Milliseconds(self.clock.wall() + 1_000),
        )
        entry.reserve(request, cost=cost)
        paid = cost if true_cost is None else true_cost
        entry.settle(organisation.id, request.id, cost=paid)
        self.spent += paid
        return True

    async def spend_all(self, organisation, *, seed=1, requests=4_000):
        random = Random(seed)
        return [
            await self.spend(random.choice(self.entries), organisation)
            for _ in range(requests)
        ]


@pytest.fixture
def fleet():
    return Fleet()


async def test_without_a_limit_nothing_is_leased(fleet):
    budget = await fleet.entries[0].budget(make_organisation(0), cost=COST)
    assert budget == NO_LIMIT
    assert fleet.store.reads == 0


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_the_limit_holds_and_is_used_up(fleet, seed):
    await fleet.spend_all(make_organisation(), seed=seed)
    assert 0.98 * LIMIT <= fleet.spent <= LIMIT


async def test_leases_are_few(fleet):
    spent = await fleet.spend_all(make_organisation())
    assert fleet.store.writes <= sum(spent) / 5
    reads = fleet.store.reads
    await fleet.spend_all(make_organisation(), requests=500)
    # An exhausted limit is remembered for the day.
    assert fleet.store.reads <= reads + ENTRIES


@pytest.mark.parametrize("fault", [StoreFault.DOWN, StoreFault.ANSWER_LOST])
async def test_the_overshoot_of_an_outage_is_the_stated_one(fleet, fault):
    organisation = make_organisation()
    await fleet.spend_all(organisation, requests=500)
    fleet.store.fault = fault
    await fleet.spend_all(organisation, requests=4_000)
    fleet.store.fault = StoreFault.NONE
    await fleet.spend_all(organisation)
    assert fleet.spent <= LIMIT * (1 + STATED_OVERSHOOT)


async def test_replaced_entries_never_overshoot(fleet):
    random = Random(4)
    for number in range(4_000):
        if number % 200 == 0:
            fleet.entries[random.randrange(ENTRIES)] = fleet.make_entry()
        await fleet.spend(random.choice(fleet.entries), make_organisation())
    assert 0.5 * LIMIT <= fleet.spent <= LIMIT


async def test_a_stopping_entry_gives_back_what_it_holds(fleet):
    organisation = make_organisation()
    entry = fleet.entries[0]
    await fleet.spend(entry, organisation)
    await entry.release_unused()
    key = allowance_key(organisation.id, day_of(fleet.clock.wall()))
    (record,) = (await fleet.store.read((key,))).unwrap()
    assert int(record.value) == fleet.spent


async def test_an_answer_dearer_than_expected_is_made_up_for(fleet):
    organisation = make_organisation()
    random = Random(5)
    for _ in range(4_000):
        entry = random.choice(fleet.entries)
        await fleet.spend(entry, organisation, true_cost=2 * COST)
    # Each entry can be surprised by at most the request that used up its lease.
    assert fleet.spent <= LIMIT + ENTRIES * COST


async def test_what_is_in_flight_counts(fleet):
    organisation = make_organisation(limit=100)
    entry = fleet.entries[0]
    assert await entry.budget(organisation, cost=60) >= 60
    request = Request(
        id=RequestId("r"),
        organisation=organisation.id,
        product=organisation.product,
        request_class="c",
        deadline=Milliseconds(fleet.clock.wall() + 1_000),
    )
    entry.reserve(request, cost=60)
    assert await entry.budget(organisation, cost=60) < 60
    fleet.clock.tick(Milliseconds(62_000))
    assert await entry.budget(organisation, cost=60) >= 60


async def test_a_new_day_has_a_new_limit(fleet):
    organisation = make_organisation()
    await fleet.spend_all(organisation)
    assert not await fleet.spend(fleet.entries[0], organisation)
    fleet.clock.tick(Milliseconds(DAY))
    assert await fleet.spend(fleet.entries[0], organisation)


async def test_a_raised_limit_counts_at_once(fleet):
    await fleet.spend_all(make_organisation())
    raised = make_organisation(2 * LIMIT)
    assert await fleet.spend(fleet.entries[0], raised)


class RacedStore:
    """Store whose commits always lose to another entry's."""

    def __init__(self, store):
        self._store = store

    async def read(self, keys):
        return await self._store.read(keys)

    async def commit(self, transaction):
        (check,) = transaction.checks
        other = Put(key=check.key, value=b"1")
        await self._store.commit(Transaction(puts=(other,)))
        return await self._store.commit(transaction)


async def test_lost_races_for_a_lease_refuse_nothing_below_the_limit(fleet):
    entry = Allowances(
        store=RacedStore(fleet.store),
        meter=CostMeter(clock=fleet.clock),
        clock=fleet.clock,
        entry_count=lambda: ENTRIES,
    )
    assert await fleet.spend(entry, make_organisation())
