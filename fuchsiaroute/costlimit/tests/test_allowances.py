"""Cost limits across several entries, with and without store faults."""

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
#: Overshoot that the operators' documentation states.
STATED_OVERSHOOT = 0.02


def make_organisation(limit=LIMIT):
    return Organisation(
        id=OrganisationId("firm"),
        product=ProductId("p"),
        permitted_models=(),
        key_digest="f",
        daily_cost_limit=limit,
    )


class Deployment:
    """Entries that share a store and spend the limit of one organisation."""

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

    async def spend(self, entry, organisation, *, cost=COST, actual_cost=None):
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
        paid = cost if actual_cost is None else actual_cost
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
def deployment():
    return Deployment()


async def test_organisation_without_a_limit_needs_no_lease(deployment):
    budget = await deployment.entries[0].budget(make_organisation(0), cost=COST)
    assert budget == NO_LIMIT
    assert deployment.store.reads == 0


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_limit_holds_and_is_used_up(deployment, seed):
    await deployment.spend_all(make_organisation(), seed=seed)
    assert 0.98 * LIMIT <= deployment.spent <= LIMIT


async def test_one_lease_serves_several_requests(deployment):
    spent = await deployment.spend_all(make_organisation())
    assert deployment.store.writes <= sum(spent) / 5
    reads = deployment.store.reads
    await deployment.spend_all(make_organisation(), requests=500)
    # Each entry reads an exhausted limit once a day.
    assert deployment.store.reads <= reads + ENTRIES


@pytest.mark.parametrize("fault", [StoreFault.DOWN, StoreFault.ANSWER_LOST])
async def test_overshoot_in_an_outage_is_at_most_the_stated_one(deployment, fault):
    organisation = make_organisation()
    await deployment.spend_all(organisation, requests=500)
    deployment.store.fault = fault
    await deployment.spend_all(organisation, requests=4_000)
    deployment.store.fault = StoreFault.NONE
    await deployment.spend_all(organisation)
    assert deployment.spent <= LIMIT * (1 + STATED_OVERSHOOT)


async def test_unused_leases_of_crashed_entries_do_not_raise_the_limit(deployment):
    random = Random(4)
    for number in range(4_000):
        if number % 200 == 0:
            deployment.entries[random.randrange(ENTRIES)] = deployment.make_entry()
        await deployment.spend(random.choice(deployment.entries), make_organisation())
    assert 0.5 * LIMIT <= deployment.spent <= LIMIT


async def test_stopping_entry_returns_its_unused_allowance(deployment):
    organisation = make_organisation()
    entry = deployment.entries[0]
    await deployment.spend(entry, organisation)
    await entry.release_unused()
    key = allowance_key(organisation.id, day_of(deployment.clock.wall()))
    (record,) = (await deployment.store.read((key,))).unwrap()
    assert int(record.value) == deployment.spent


async def test_answers_dearer_than_reserved_are_deducted_from_later_leases(deployment):
    organisation = make_organisation()
    random = Random(5)
    for _ in range(4_000):
        entry = random.choice(deployment.entries)
        await deployment.spend(entry, organisation, actual_cost=2 * COST)
    # At each entry, only the request that used up the lease can exceed the limit.
    assert deployment.spent <= LIMIT + ENTRIES * COST


async def test_requests_in_flight_count_until_their_reservation_expires(deployment):
    organisation = make_organisation(limit=100)
    entry = deployment.entries[0]
    assert await entry.budget(organisation, cost=60) >= 60
    request = Request(
        id=RequestId("r"),
        organisation=organisation.id,
        product=organisation.product,
        request_class="c",
        deadline=Milliseconds(deployment.clock.wall() + 1_000),
    )
    entry.reserve(request, cost=60)
    assert await entry.budget(organisation, cost=60) < 60
    deployment.clock.tick(Milliseconds(62_000))
    assert await entry.budget(organisation, cost=60) >= 60


async def test_new_day_has_a_new_limit(deployment):
    organisation = make_organisation()
    await deployment.spend_all(organisation)
    assert not await deployment.spend(deployment.entries[0], organisation)
    deployment.clock.tick(Milliseconds(DAY))
    assert await deployment.spend(deployment.entries[0], organisation)


async def test_raised_limit_takes_effect_at_once(deployment):
    await deployment.spend_all(make_organisation())
    raised = make_organisation(2 * LIMIT)
    assert await deployment.spend(deployment.entries[0], raised)


class ContendedStore:
    """Store in which another entry commits right before each commit."""

    def __init__(self, store):
        self._store = store

    async def read(self, keys):
        return await self._store.read(keys)

    async def commit(self, transaction):
        (check,) = transaction.checks
        other = Put(key=check.key, value=b"1")
        await self._store.commit(Transaction(puts=(other,)))
        return await self._store.commit(transaction)


async def test_lost_races_for_a_lease_refuse_no_request_below_the_limit(deployment):
    entry = Allowances(
        store=ContendedStore(deployment.store),
        meter=CostMeter(clock=deployment.clock),
        clock=deployment.clock,
        entry_count=lambda: ENTRIES,
    )
    assert await deployment.spend(entry, make_organisation())
