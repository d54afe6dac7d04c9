"""Eviction of claims once the table has reached its limit."""

from random import Random

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
def claim_table(clock, monkeypatch):
    monkeypatch.setattr(_claim_table, "MAX_CLAIMS", 3)
    random = Random(1)
    client = StoreClient(MemoryTableStore(clock=clock), clock=clock, random=random)
    return ClaimTable(
        store=client.view(StoreFunction.CLAIMS),
        clock=clock,
        instance="entry-1",
        incarnation=1,
        random=random,
    )


@pytest.mark.parametrize(
    ("is_ended", "elapsed", "is_evicted"),
    [(True, 121_000, True), (True, 1_000, False), (False, 121_000, False)],
)
async def test_only_ended_claims_of_expired_ids_are_evicted(
    claim_table, clock, is_ended, elapsed, is_evicted
):
    for _ in range(3):
        claim = (
            await claim_table.claim(request(claim_table.issue("county-01")))
        ).unwrap()
        if is_ended:
            claim_table.record(claim, ENDED)
    clock.tick(elapsed)
    result = await claim_table.claim(request(claim_table.issue("county-01")))
    assert isinstance(result.value_or(None), Claim) is is_evicted
    if not is_evicted:
        assert result.failure().verdict is Verdict.MAY_HAVE_RUN
