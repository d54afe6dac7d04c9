"""Claims at one and at several entries, under faults of the store."""

import asyncio
from random import Random

import pytest
from returns.result import Failure, Success

from fuchsiaroute.clock import ManualClock
from fuchsiaroute.idempotency import Answer, Claim, ClaimTable, Outcome, Replay
from fuchsiaroute.request import Request
from fuchsiaroute.store import (
    MemoryTableStore,
    StoreClient,
    StoreFault,
    StoreFunction,
)
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

DEADLINE = 1_060_000
ANSWER = Answer(status=200, media_type="application/json", body=b'{"permit": 7}')
SHED = Refusal(reason=RefusalReason.OVERLOADED, verdict=Verdict.NOT_RUN, message="shed")


def request(name, *, is_idempotent=False):
    return Request(
        id=name,
        organisation="county-01",
        product="permit-desk",
        request_class="permit-draft",
        is_idempotent=is_idempotent,
        deadline=DEADLINE,
    )


class Deployment:
    """Claim tables of several entries that share a store and a clock."""

    def __init__(self):
        self.clock = ManualClock()
        self.store = MemoryTableStore(clock=self.clock)
        self.tasks = []

    def new_table(self, instance, *, incarnation=1):
        random = Random(f"{instance}/{incarnation}")
        client = StoreClient(self.store, clock=self.clock, random=random)
        table = ClaimTable(
            store=client.view(StoreFunction.CLAIMS),
            clock=self.clock,
            instance=instance,
            incarnation=incarnation,
            random=random,
        )
        self.tasks.append(asyncio.create_task(table.run()))
        return table

    async def finish(self, *calls, duration=3_000):
        tasks = [asyncio.create_task(call) for call in calls]
        await self.clock.advance(duration)
        return [task.result() for task in tasks]


@pytest.fixture
async def deployment():
    deployment = Deployment()
    yield deployment
    for task in deployment.tasks:
        task.cancel()
    await asyncio.gather(*deployment.tasks, return_exceptions=True)


async def test_concurrent_claims_at_two_entries_grant_only_one(deployment):
    first, second = deployment.new_table("entry-1"), deployment.new_table("entry-2")
    results = await deployment.finish(
        first.claim(request("a")), second.claim(request("a"))
    )
    held = [result for result in results if isinstance(result, Success)]
    refused = [result for result in results if isinstance(result, Failure)]
    assert len(held) == 1
    assert refused[0].failure().verdict is Verdict.MAY_HAVE_RUN


async def test_second_concurrent_claim_at_one_entry_is_refused(deployment):
    table = deployment.new_table("entry-1")
    first, second = await deployment.finish(
        table.claim(request("a")), table.claim(request("a"))
    )
    assert isinstance(first.unwrap(), Claim)
    assert second.failure().verdict is Verdict.MAY_HAVE_RUN
    assert deployment.store.writes == 1


@pytest.mark.parametrize(
    ("faults", "is_held"),
    [
        ([StoreFault.ANSWER_LOST], True),
        ([StoreFault.LATE], True),
        ([StoreFault.ANSWER_LOST, StoreFault.DOWN], False),
        ([StoreFault.DOWN], False),
        ([StoreFault.SLOW], True),
        ([StoreFault.SLOW, StoreFault.SLOW], False),
    ],
)
async def test_claim_is_held_only_if_the_store_confirms_it(deployment, faults, is_held):
    table = deployment.new_table("entry-1")
    deployment.store.injector.queued_faults.extend(faults)
    (result,) = await deployment.finish(table.claim(request("a")))
    assert isinstance(result, Success) is is_held
    if not is_held:
        assert result.failure().verdict is Verdict.MAY_HAVE_RUN
        (again,) = await deployment.finish(table.claim(request("a")))
        assert isinstance(again.unwrap(), Claim)


async def test_claim_that_takes_effect_late_belongs_to_its_writer(deployment):
    first, second = deployment.new_table("entry-1"), deployment.new_table("entry-2")
    deployment.store.injector.queued_faults.extend([StoreFault.LATE, StoreFault.DOWN])
    (lost,) = await deployment.finish(first.claim(request("a")))
    assert lost.failure().verdict is Verdict.MAY_HAVE_RUN
    deployment.store.apply_late_writes()
    (other,) = await deployment.finish(second.claim(request("a")))
    assert other.failure().verdict is Verdict.MAY_HAVE_RUN
    (own,) = await deployment.finish(first.claim(request("a")))
    assert isinstance(own.unwrap(), Claim)


@pytest.mark.parametrize(
    ("outcome", "expected"),
    [
        (
            Outcome(verdict=Verdict.RUN, answer=ANSWER),
            Success(Replay(answer=ANSWER)),
        ),
        (Outcome(verdict=Verdict.RUN), Verdict.RUN),
        (Outcome(verdict=Verdict.MAY_HAVE_RUN, message="cut"), Verdict.MAY_HAVE_RUN),
        (Outcome(verdict=Verdict.NOT_RUN, message="no endpoint"), Verdict.NOT_RUN),
        (
            Outcome(
                verdict=Verdict.RUN,
                answer=Answer(status=200, media_type="text/plain", body=b"x" * 5_000),
            ),
            Verdict.RUN,
        ),
    ],
)
@pytest.mark.parametrize("repeated_at", ["entry-1", "entry-2"])
async def test_repeated_id_gets_the_recorded_outcome(
    deployment, outcome, expected, repeated_at
):
    tables = {name: deployment.new_table(name) for name in ("entry-1", "entry-2")}
    (claimed,) = await deployment.finish(tables["entry-1"].claim(request("a")))
    tables["entry-1"].record(claimed.unwrap(), outcome)
    await deployment.clock.advance(1_000)
    (again,) = await deployment.finish(tables[repeated_at].claim(request("a")))
    answer = again.failure().verdict if isinstance(again, Failure) else again
    assert answer == expected


async def test_claim_of_a_crashed_incarnation_is_not_granted_again(deployment):
    first = deployment.new_table("entry-1")
    await deployment.finish(first.claim(request("a")))
    restarted = deployment.new_table("entry-1", incarnation=2)
    (again,) = await deployment.finish(restarted.claim(request("a")))
    assert again.failure().verdict is Verdict.MAY_HAVE_RUN


async def test_paused_holder_may_not_dispatch_after_the_deadline(deployment):
    table = deployment.new_table("entry-1")
    (claimed,) = await deployment.finish(table.claim(request("a")))
    claim = claimed.unwrap()
    assert claim.may_dispatch(DEADLINE)
    assert not claim.may_dispatch(DEADLINE + 1)
    table.record(claim, Outcome(verdict=Verdict.NOT_RUN))
    assert not claim.may_dispatch(DEADLINE)


@pytest.mark.parametrize(
    ("elapsed", "entry_name", "is_held"),
    [
        (0, "entry-1", True),
        (119_000, "entry-1", True),
        (121_000, "entry-1", False),
        (0, "entry-2", False),
        (0, "entry-1 restarted", False),
    ],
)
async def test_only_the_issuer_claims_an_issued_id_and_without_the_store(
    deployment, elapsed, entry_name, is_held
):
    tables = {
        "entry-1": deployment.new_table("entry-1"),
        "entry-2": deployment.new_table("entry-2"),
        "entry-1 restarted": deployment.new_table("entry-1", incarnation=2),
    }
    issued = tables["entry-1"].issue("county-01")
    await deployment.clock.advance(elapsed)
    deployment.store.fault = StoreFault.DOWN
    (result,) = await deployment.finish(tables[entry_name].claim(request(issued)))
    assert isinstance(result, Success) is is_held
    if not is_held:
        assert result.failure().verdict is Verdict.MAY_HAVE_RUN
    (again,) = await deployment.finish(tables[entry_name].claim(request(issued)))
    assert again.failure().verdict is Verdict.MAY_HAVE_RUN


async def test_outcome_of_an_issued_id_reaches_other_entries_after_an_outage(
    deployment,
):
    first, second = deployment.new_table("entry-1"), deployment.new_table("entry-2")
    issued = first.issue("county-01")
    (claimed,) = await deployment.finish(first.claim(request(issued)))
    deployment.store.fault = StoreFault.DOWN
    first.record(claimed.unwrap(), Outcome(verdict=Verdict.RUN, answer=ANSWER))
    await deployment.clock.advance(60_000)
    assert first.pending_outcomes == 1
    deployment.store.fault = StoreFault.NONE
    await deployment.clock.advance(30_000)
    (again,) = await deployment.finish(second.claim(request(issued)))
    assert again == Success(Replay(answer=ANSWER))


@pytest.mark.parametrize(
    ("fault", "is_claimed_before", "verdict"),
    [
        (StoreFault.NONE, False, Verdict.NOT_RUN),
        (StoreFault.NONE, True, Verdict.MAY_HAVE_RUN),
        (StoreFault.DOWN, False, Verdict.MAY_HAVE_RUN),
    ],
)
async def test_refusal_is_not_run_only_if_the_id_was_claimed_and_closed(
    deployment, fault, is_claimed_before, verdict
):
    first, second = deployment.new_table("entry-1"), deployment.new_table("entry-2")
    if is_claimed_before:
        await deployment.finish(second.claim(request("a")))
    deployment.store.fault = fault
    (refusal,) = await deployment.finish(first.confirm_refusal(request("a"), SHED))
    assert refusal.verdict is verdict
    deployment.store.fault = StoreFault.NONE
    await deployment.clock.advance(30_000)
    (later,) = await deployment.finish(second.claim(request("a")))
    if verdict is Verdict.NOT_RUN:
        assert later.failure().verdict is Verdict.NOT_RUN


async def test_idempotent_requests_are_refused_without_the_store(deployment):
    table = deployment.new_table("entry-1")
    refusal = await table.confirm_refusal(request("a", is_idempotent=True), SHED)
    assert refusal == SHED
    assert deployment.store.writes == 0


async def test_concurrent_claims_are_committed_in_few_writes(deployment):
    table = deployment.new_table("entry-1")
    calls = [table.claim(request(f"r{number}")) for number in range(200)]
    results = await deployment.finish(*calls)
    assert all(isinstance(result, Success) for result in results)
    assert deployment.store.writes <= 5


@pytest.mark.parametrize(
    ("fault", "is_drained"), [(StoreFault.NONE, True), (StoreFault.DOWN, False)]
)
async def test_drain_stores_the_pending_outcomes(deployment, fault, is_drained):
    table = deployment.new_table("entry-1")
    (claimed,) = await deployment.finish(table.claim(request("a")))
    deployment.store.fault = fault
    table.record(claimed.unwrap(), Outcome(verdict=Verdict.RUN))
    (drained,) = await deployment.finish(table.drain(2_000))
    assert drained is is_drained
    assert (table.pending_outcomes == 0) is is_drained


async def test_only_the_probe_waits_for_a_slow_store_with_an_open_circuit(
    deployment,
):
    table = deployment.new_table("entry-1")
    deployment.store.fault = StoreFault.SLOW
    for number in range(2):
        await deployment.finish(table.claim(request(f"a{number}")), duration=4_000)
    probe = asyncio.ensure_future(table.claim(request("probe")))
    await deployment.clock.advance(200)
    assert not probe.done()
    (behind,) = await deployment.finish(table.claim(request("behind")), duration=0)
    assert behind.failure().verdict is Verdict.MAY_HAVE_RUN
    await deployment.clock.advance(1_000)
    assert probe.result().failure().verdict is Verdict.MAY_HAVE_RUN
