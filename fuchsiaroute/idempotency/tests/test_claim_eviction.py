"""The bound on claims that an entry remembers."""

import random

import pytest

from fuchsiaroute.clock import ManualClock
from fuchsiaroute.idempotency import Claim, ClaimTable, Outcome, _claim_table
from fuchsiaroute.idempotency.tests.test_claim_table import request
from fuchsiaroute.store import MemoryTableStore, StoreClient, StoreFunction
from fuchsiaroute.verdict import Verdict

ENDED = Outcome(verdict=Verdict.RUN)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def book(clock, monkeypatch):
    monkeypatch.setattr(_claim_table, "MAX_REMEMBERED", 3)
    rng = random.Random(1)
    client = StoreClient(MemoryTableStore(clock=clock), clock=clock, rng=rng)
    return ClaimTable(
        store=client.view(StoreFunction.CLAIMS),
        clock=clock,
        instance="entry-1",
        incarnation=1,
        rng=rng,
    )


@pytest.mark.parametrize(
    ("is_ended", "elapsed", "has_room"),
    [(True, 121_000, True), (True, 1_000, False), (False, 121_000, False)],
)
async def test_only_ended_claims_of_expired_ids_make_room(
    book, clock, is_ended, elapsed, has_room
):
    for _ in range(3):
        claim = (await book.claim(request(book.issue("county-01")))).unwrap()
        if is_ended:
            book.record(claim, ENDED)
    clock.tick(elapsed)
    result = await book.claim(request(book.issue("county-01")))
    assert isinstance(result.value_or(None), Claim) is has_room
    if not has_room:
        assert result.failure().verdict is Verdict.MAY_HAVE_RUN
