"""Claims of one and of several entries, fault by fault."""

import asyncio
import random

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
    """Claim books of several entries over one store, on one clock."""

    def __init__(self):
        self.clock = ManualClock()
        self.store = MemoryTableStore(clock=self.clock)
        self.tasks = []

    def book(self, instance, *, incarnation=1):
        rng = random.Random(f"{instance}/{incarnation}")
        client = StoreClient(self.store, clock=self.clock, rng=rng)
        book = ClaimTable(
            store=client.view(StoreFunction.CLAIMS),
            clock=self.clock,
            instance=instance,
            incarnation=incarnation,
            rng=rng,
        )
        self.tasks.append(asyncio.create_task(book.run()))
        return book

    async def settle(self, *calls, duration=3_000):
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


async def test_of_two_entries_one_gets_the_claim(deployment):
    first, second = deployment.book("entry-1"), deployment.book("entry-2")
    results = await deployment.settle(
        first.claim(request("a")), second.claim(request("a"))
    )
    held = [result for result in results if isinstance(result, Success)]
    refused = [result for result in results if isinstance(result, Failure)]
    assert len(held) == 1
    assert refused[0].failure().verdict is Verdict.MAY_HAVE_RUN


async def test_at_one_entry_the_second_caller_of_an_id_is_refused(deployment):
    book = deployment.book("entry-1")
    first, second = await deployment.settle(
        book.claim(request("a")), book.claim(request("a"))
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
async def test_a_claim_is_held_only_if_the_store_says_so(deployment, faults, is_held):
    book = deployment.book("entry-1")
    deployment.store.injector.queued_faults.extend(faults)
    (result,) = await deployment.settle(book.claim(request("a")))
    assert isinstance(result, Success) is is_held
    if not is_held:
        assert result.failure().verdict is Verdict.MAY_HAVE_RUN
        (again,) = await deployment.settle(book.claim(request("a")))
        assert isinstance(again.unwrap(), Claim)


async def test_a_late_claim_leaves_the_id_to_its_writer(deployment):
    first, second = deployment.book("entry-1"), deployment.book("entry-2")
    deployment.store.injector.queued_faults.extend([StoreFault.LATE, StoreFault.DOWN])
    (lost,) = await deployment.settle(first.claim(request("a")))
    assert lost.failure().verdict is Verdict.MAY_HAVE_RUN
    deployment.store.apply_late_writes()
    (other,) = await deployment.settle(second.claim(request("a")))
    assert other.failure().verdict is Verdict.MAY_HAVE_RUN
    (own,) = await deployment.settle(first.claim(request("a")))
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
async def test_a_repeated_id_gets_the_recorded_outcome(
    deployment, outcome, expected, repeated_at
):
    books = {name: deployment.book(name) for name in ("entry-1", "entry-2")}
    (claimed,) = await deployment.settle(books["entry-1"].claim(request("a")))
    books["entry-1"].record(claimed.unwrap(), outcome)
    await deployment.clock.advance(1_000)
    (again,) = await deployment.settle(books[repeated_at].claim(request("a")))
    answer = again.failure().verdict if isinstance(again, Failure) else again
    assert answer == expected


async def test_a_dead_holder_leaves_an_id_that_nobody_runs(deployment):
    first = deployment.book("entry-1")
    await deployment.settle(first.claim(request("a")))
    restarted = deployment.book("entry-1", incarnation=2)
    (again,) = await deployment.settle(restarted.claim(request("a")))
    assert again.failure().verdict is Verdict.MAY_HAVE_RUN


async def test_a_paused_holder_may_not_dispatch_after_the_deadline(deployment):
    book = deployment.book("entry-1")
    (claimed,) = await deployment.settle(book.claim(request("a")))
    claim = claimed.unwrap()
    assert claim.may_dispatch(DEADLINE)
    assert not claim.may_dispatch(DEADLINE + 1)
    book.record(claim, Outcome(verdict=Verdict.NOT_RUN))
    assert not claim.may_dispatch(DEADLINE)


@pytest.mark.parametrize(
    ("elapsed", "book_name", "is_held"),
    [
        (0, "entry-1", True),
        (119_000, "entry-1", True),
        (121_000, "entry-1", False),
        (0, "entry-2", False),
        (0, "entry-1 restarted", False),
    ],
)
async def test_an_issued_id_serves_its_own_incarnation_without_the_store(
    deployment, elapsed, book_name, is_held
):
    books = {
        "entry-1": deployment.book("entry-1"),
        "entry-2": deployment.book("entry-2"),
        "entry-1 restarted": deployment.book("entry-1", incarnation=2),
    }
    issued = books["entry-1"].issue("county-01")
    await deployment.clock.advance(elapsed)
    deployment.store.fault = StoreFault.DOWN
    (result,) = await deployment.settle(books[book_name].claim(request(issued)))
    assert isinstance(result, Success) is is_held
    if not is_held:
        assert result.failure().verdict is Verdict.MAY_HAVE_RUN
    (again,) = await deployment.settle(books[book_name].claim(request(issued)))
    assert again.failure().verdict is Verdict.MAY_HAVE_RUN


async def test_the_outcome_of_an_issued_id_is_known_elsewhere_later(deployment):
    first, second = deployment.book("entry-1"), deployment.book("entry-2")
    issued = first.issue("county-01")
    (claimed,) = await deployment.settle(first.claim(request(issued)))
    deployment.store.fault = StoreFault.DOWN
    first.record(claimed.unwrap(), Outcome(verdict=Verdict.RUN, answer=ANSWER))
    await deployment.clock.advance(60_000)
    assert first.pending_outcomes == 1
    deployment.store.fault = StoreFault.NONE
    await deployment.clock.advance(30_000)
    (again,) = await deployment.settle(second.claim(request(issued)))
    assert again == Success(Replay(answer=ANSWER))


@pytest.mark.parametrize(
    ("fault", "is_claimed_before", "verdict"),
    [
        (StoreFault.NONE, False, Verdict.NOT_RUN),
        (StoreFault.NONE, True, Verdict.MAY_HAVE_RUN),
        (StoreFault.DOWN, False, Verdict.MAY_HAVE_RUN),
    ],
)
async def test_a_refusal_says_not_run_only_of_an_id_that_it_closed(
    deployment, fault, is_claimed_before, verdict
):
    first, second = deployment.book("entry-1"), deployment.book("entry-2")
    if is_claimed_before:
        await deployment.settle(second.claim(request("a")))
    deployment.store.fault = fault
    (refusal,) = await deployment.settle(first.confirm_refusal(request("a"), SHED))
    assert refusal.verdict is verdict
    deployment.store.fault = StoreFault.NONE
    await deployment.clock.advance(30_000)
    (later,) = await deployment.settle(second.claim(request("a")))
    if verdict is Verdict.NOT_RUN:
        assert later.failure().verdict is Verdict.NOT_RUN


async def test_idempotent_requests_are_refused_without_the_store(deployment):
    book = deployment.book("entry-1")
    refusal = await book.confirm_refusal(request("a", is_idempotent=True), SHED)
    assert refusal == SHED
    assert deployment.store.writes == 0


async def test_claims_of_many_callers_share_writes(deployment):
    book = deployment.book("entry-1")
    calls = [book.claim(request(f"r{number}")) for number in range(200)]
    results = await deployment.settle(*calls)
    assert all(isinstance(result, Success) for result in results)
    assert deployment.store.writes <= 5


@pytest.mark.parametrize(
    ("fault", "is_drained"), [(StoreFault.NONE, True), (StoreFault.DOWN, False)]
)
async def test_a_graceful_stop_drains_the_outcomes(deployment, fault, is_drained):
    book = deployment.book("entry-1")
    (claimed,) = await deployment.settle(book.claim(request("a")))
    deployment.store.fault = fault
    book.record(claimed.unwrap(), Outcome(verdict=Verdict.RUN))
    (drained,) = await deployment.settle(book.drain(2_000))
    assert drained is is_drained
    assert (book.pending_outcomes == 0) is is_drained


async def test_a_slow_store_keeps_no_caller_waiting_but_the_one_that_probes(
    deployment,
):
    book = deployment.book("entry-1")
    deployment.store.fault = StoreFault.SLOW
    for number in range(2):
        await deployment.settle(book.claim(request(f"a{number}")), duration=4_000)
    probe = asyncio.ensure_future(book.claim(request("probe")))
    await deployment.clock.advance(200)
    assert not probe.done()
    (behind,) = await deployment.settle(book.claim(request("behind")), duration=0)
    assert behind.failure().verdict is Verdict.MAY_HAVE_RUN
    await deployment.clock.advance(1_000)
    assert probe.result().failure().verdict is Verdict.MAY_HAVE_RUN
