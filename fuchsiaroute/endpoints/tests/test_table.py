import itertools
from dataclasses import replace

import pytest

from examples import timberline
from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.configuration import Outage
from fuchsiaroute.endpoints import (
    FAILURES_UNTIL_SUSPECT,
    EndpointState,
    EndpointTable,
    Outcome,
    Warmth,
    WarmthFact,
)
from fuchsiaroute.ids import EndpointId, Incarnation
from fuchsiaroute.store import InstanceRecord, InstanceState

CONFIGURATION = timberline.declare()
FIRST = EndpointId("model-pool-0")
WARM_UP = CONFIGURATION.endpoints[0].warm_up


def warm_fact(incarnation: int = 7, cold_period: int = 0) -> WarmthFact:
    warmth = Warmth(
        incarnation=Incarnation(incarnation), cold_period=cold_period, is_warm=True
    )
    return WarmthFact(endpoint=FIRST, warmth=warmth)


def table_with(*facts: WarmthFact) -> tuple[EndpointTable, ManualClock]:
    clock = ManualClock()
    table = EndpointTable(clock)
    table.update_configuration(CONFIGURATION)
    for fact in facts:
        table.merge_warmth(fact)
    return table, clock


def test_warm_up_counts_from_the_first_answer() -> None:
    table, clock = table_with()
    table.record_incarnation(FIRST, Incarnation(7))
    clock.tick(WARM_UP)
    table.advance()
    assert table[FIRST].state is EndpointState.COLD
    table.record_outcome(FIRST, Outcome.ANSWERED, table[FIRST].warmth)
    clock.tick(Milliseconds(WARM_UP - 1))
    table.advance()
    assert table[FIRST].state is EndpointState.WARMING
    clock.tick(Milliseconds(1))
    table.advance()
    assert table[FIRST].state is EndpointState.WARM
    assert table.facts() == (warm_fact(),)


def test_greater_incarnation_makes_the_endpoint_cold() -> None:
    table, _ = table_with(warm_fact(7))
    assert table[FIRST].state is EndpointState.WARM
    table.record_incarnation(FIRST, Incarnation(6))
    assert table[FIRST].state is EndpointState.WARM
    table.record_incarnation(FIRST, Incarnation(8))
    assert table[FIRST].state is EndpointState.COLD
    table.merge_warmth(warm_fact(7, cold_period=3))
    assert table[FIRST].state is EndpointState.COLD


@pytest.mark.parametrize(
    ("dispatched_under", "expected"),
    [(0, EndpointState.WARM), (1, EndpointState.COLD)],
    ids=["delayed refusal of an earlier cold period", "refusal of this cold period"],
)
def test_cold_refusal_counts_only_for_its_own_cold_period(
    dispatched_under: int, expected: EndpointState
) -> None:
    table, _ = table_with(warm_fact(7, cold_period=1))
    warmth = warm_fact(7, cold_period=dispatched_under).warmth
    table.record_outcome(FIRST, Outcome.REFUSED_COLD, warmth)
    assert table[FIRST].state is expected


def test_facts_merge_to_the_same_state_in_every_order() -> None:
    facts = [warm_fact(7), warm_fact(7, 1), warm_fact(8)]
    cold = WarmthFact(endpoint=FIRST, warmth=warm_fact(8).warmth.found_cold())
    results = set()
    for order in itertools.permutations([*facts, cold]):
        table, _ = table_with(*order)
        results.add((table[FIRST].warmth, table[FIRST].state))
    assert results == {(cold.warmth, EndpointState.COLD)}


def test_endpoints_are_cold_after_an_outage_at_all_entries() -> None:
    outage = CONFIGURATION.with_outages(
        (Outage(failure_domain=CONFIGURATION.endpoints[0].failure_domain),)
    )
    early, _ = table_with(warm_fact())
    late, _ = table_with(warm_fact())
    for table in (early, late):
        table.update_configuration(outage)
        assert table[FIRST].state is EndpointState.OUT
    early.update_configuration(CONFIGURATION)
    assert early[FIRST].state is EndpointState.COLD
    # The endpoint is warm at the early entry before the late one sees the outage end.
    late.merge_warmth(
        WarmthFact(endpoint=FIRST, warmth=early[FIRST].warmth.warmed_up())
    )
    assert late[FIRST].state is EndpointState.OUT
    late.update_configuration(CONFIGURATION)
    assert late[FIRST].state is EndpointState.WARM


@pytest.mark.parametrize(
    ("fact", "expected"),
    [(warm_fact(7), EndpointState.COLD), (warm_fact(9), EndpointState.WARM)],
    ids=["no newer fact", "warm in a new incarnation"],
)
def test_endpoint_is_leaving_until_it_is_listed_as_live(
    fact: WarmthFact, expected: EndpointState
) -> None:
    table, _ = table_with(warm_fact())
    listed = InstanceRecord(
        id=FIRST,
        address="127.0.0.1:9101",
        failure_domain=CONFIGURATION.endpoints[0].failure_domain,
        state=InstanceState.LEAVING,
    )
    table.update_instances([listed])
    table.update_instances([])
    table.merge_warmth(fact)
    assert table[FIRST].state is EndpointState.LEAVING
    table.update_instances([replace(listed, state=InstanceState.LIVE)])
    assert table[FIRST].state is expected


def test_domain_is_suspect_before_all_its_endpoints_have_failed() -> None:
    table, _ = table_with()
    domain = [
        endpoint
        for endpoint in CONFIGURATION.endpoints
        if endpoint.failure_domain == CONFIGURATION.endpoints[0].failure_domain
    ]
    assert len(domain) == 3
    for endpoint in domain[:2]:
        for _ in range(FAILURES_UNTIL_SUSPECT):
            warmth = table[endpoint.id].warmth
            table.record_outcome(endpoint.id, Outcome.SILENT, warmth)
    assert table[domain[2].id].state is EndpointState.SUSPECT
    suspects = [item for item in table if item.state is EndpointState.SUSPECT]
    assert len(suspects) == 3


def test_interval_between_trials_of_a_suspect_endpoint_grows() -> None:
    table, clock = table_with(warm_fact())
    for _ in range(FAILURES_UNTIL_SUSPECT):
        table.record_outcome(FIRST, Outcome.SILENT, table[FIRST].warmth)
    record = table[FIRST]
    trials = 0
    for _ in range(60):
        clock.tick(Milliseconds(1_000))
        if table.is_trial_due(record):
            table.record_trial(record)
            trials += 1
    assert trials == 5
    table.record_outcome(FIRST, Outcome.ANSWERED, record.warmth)
    assert record.state is EndpointState.WARM
