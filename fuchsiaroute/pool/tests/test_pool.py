"""The choice of endpoints: leaving, cold, suspect, loaded, out."""

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.deployment import Endpoint, EngineProfile, Service
from fuchsiaroute.ids import (
    EndpointId,
    FailureDomainId,
    InstanceId,
    ServiceId,
    VersionId,
)
from fuchsiaroute.lifecycle import Outcome
from fuchsiaroute.pool import Demand, EndpointPool, Load, NoChoice, Reservation

SERVICE = ServiceId("s")
DEMAND = Demand(service=SERVICE)
ENGINE = EngineProfile(slots=8, kv_tokens=1_000, models=())


def endpoint(name: str, **changes: object) -> Endpoint:
    made = Endpoint(
        id=EndpointId(name),
        service=SERVICE,
        host="10.0.0.1",
        port=80,
        failure_domain=FailureDomainId("z1"),
        version=VersionId("v1"),
        slots=8,
        is_draining=False,
        cold_for=Milliseconds(0),
        born=Milliseconds(1),
    )
    return replace(made, **changes)  # type: ignore[arg-type]


def service(*, cold_rate: float = 0.0, is_engine: bool = False) -> Service:
    return Service(
        id=SERVICE,
        max_connections=100,
        cold_period=Milliseconds(3_000),
        cold_rate=cold_rate,
        engine=ENGINE if is_engine else None,
    )


def new_pool(
    clock: ManualClock, *endpoints: Endpoint, declared: Service | None = None
) -> EndpointPool:
    pool = EndpointPool(instance=InstanceId("me"), clock=clock, random=Random(1))
    pool.update_services({SERVICE: declared or service()})
    for item in endpoints:
        pool.announce(item)
    return pool


def chosen(pool: EndpointPool, demand: Demand = DEMAND) -> str | NoChoice:
    found = pool.choose(demand)
    if isinstance(found, NoChoice):
        return found
    found.finish(Outcome.ANSWERED)
    return found.endpoint.id


@pytest.mark.parametrize(
    ("changes", "is_used"),
    [
        ({}, True),
        ({"is_draining": True}, False),
        ({"failure_domain": FailureDomainId("out")}, False),
        ({"service": ServiceId("other")}, False),
        ({"version": VersionId("v2")}, False),
    ],
)
def test_which_endpoints_are_used(changes: dict, is_used: bool) -> None:
    pool = new_pool(ManualClock(), endpoint("a", **changes))
    pool.update_evacuated([FailureDomainId("out")])
    demand = replace(DEMAND, versions=frozenset({VersionId("v1")}))
    assert chosen(pool, demand) == ("a" if is_used else NoChoice.NONE)


def test_draining_endpoint_that_is_announced_ready_again_is_used() -> None:
    pool = new_pool(ManualClock(), endpoint("a", is_draining=True))
    assert chosen(pool) is NoChoice.NONE
    pool.announce(endpoint("a", born=Milliseconds(2)))
    assert chosen(pool) == "a"


def test_withdrawn_endpoint_is_not_used_and_its_place_can_be_given_back() -> None:
    pool = new_pool(ManualClock(), endpoint("a"))
    place = pool.choose(DEMAND)
    assert isinstance(place, Reservation)
    pool.withdraw(EndpointId("a"))
    place.finish(Outcome.ANSWERED)
    assert chosen(pool) is NoChoice.NONE


def test_place_chosen_before_an_endpoint_leaves_is_no_longer_usable() -> None:
    pool = new_pool(ManualClock(), endpoint("a"))
    place = pool.choose(DEMAND)
    assert isinstance(place, Reservation)
    pool.announce(endpoint("a", is_draining=True))
    assert not place.is_usable


def test_failing_endpoint_gets_single_trials_until_it_answers() -> None:
    clock = ManualClock()
    pool = new_pool(clock, endpoint("a"), endpoint("b"))
    for _ in range(2):
        place = pool.choose(replace(DEMAND, excluded=frozenset({EndpointId("b")})))
        assert isinstance(place, Reservation)
        place.finish(Outcome.FAILED_AFTER_SENT)
    assert {chosen(pool) for _ in range(20)} == {"b"}
    clock.tick(Milliseconds(600))
    trial = pool.choose(DEMAND)
    assert isinstance(trial, Reservation)
    assert trial.endpoint.id == "a"
    assert chosen(pool) == "b"
    trial.finish(Outcome.ANSWERED)
    clock.tick(Milliseconds(15_000))
    assert "a" in {chosen(pool) for _ in range(20)}


def test_trials_are_left_to_requests_that_can_be_repeated() -> None:
    clock = ManualClock()
    pool = new_pool(clock, endpoint("a"), endpoint("b"))
    only_a = replace(DEMAND, excluded=frozenset({EndpointId("b")}))
    for _ in range(2):
        place = pool.choose(only_a)
        assert isinstance(place, Reservation)
        place.finish(Outcome.SILENT)
    clock.tick(Milliseconds(600))
    unrepeatable = replace(DEMAND, is_repeatable=False)
    assert {chosen(pool, unrepeatable) for _ in range(10)} == {"b"}


def test_load_of_other_instances_counts() -> None:
    pool = new_pool(ManualClock(), endpoint("a"), endpoint("b"))
    pool.update_peer_loads({InstanceId("peer"): {EndpointId("a"): Load(6, 0.0)}})
    assert {chosen(pool) for _ in range(20)} == {"b"}


def test_full_endpoints_get_no_more() -> None:
    pool = new_pool(
        ManualClock(), endpoint("a", slots=2), declared=service(is_engine=True)
    )
    places = [pool.choose(DEMAND) for _ in range(2)]
    assert pool.choose(DEMAND) is NoChoice.FULL
    assert isinstance(places[0], Reservation)
    places[0].finish(Outcome.ANSWERED)
    assert isinstance(pool.choose(DEMAND), Reservation)


def test_shared_prompts_stay_together_until_their_endpoint_is_loaded() -> None:
    pool = new_pool(
        ManualClock(),
        *(endpoint(name, slots=64) for name in "abcde"),
        declared=service(is_engine=True),
    )
    demand = replace(DEMAND, affinity="part", work=100.0, uncached_factor=2.0)
    assert len({chosen(pool, demand) for _ in range(20)}) == 1
    held = Counter()
    for _ in range(60):
        place = pool.choose(demand)
        assert isinstance(place, Reservation)
        held[place.endpoint.id] += 1
    assert max(held.values()) <= 60 / 5 + 2


def test_prompts_that_share_little_go_where_the_wait_is_shortest() -> None:
    """Pattern: one subject gets much of the traffic, and its shared part is short."""
    pool = new_pool(
        ManualClock(),
        *(endpoint(name, slots=64) for name in "abcde"),
        declared=service(is_engine=True),
    )
    demand = replace(DEMAND, affinity="hot", work=100.0, uncached_factor=1.1)
    places = [pool.choose(demand) for _ in range(10)]
    loads = Counter(place.endpoint.id for place in places)  # type: ignore[union-attr]
    assert set(loads.values()) == {2}


def test_long_prompts_do_not_queue_behind_each_other() -> None:
    """Pattern: a burst of long prompts, each of which delays all behind it."""
    pool = new_pool(
        ManualClock(),
        *(endpoint(name, slots=64) for name in "abcde"),
        declared=service(is_engine=True),
    )
    long = replace(DEMAND, affinity="long", work=900.0, uncached_factor=1.5)
    places = [pool.choose(long) for _ in range(5)]
    assert len({place.endpoint.id for place in places}) == 5  # type: ignore[union-attr]
    first = places[0]
    assert isinstance(first, Reservation)
    first.answer_started()
    short = pool.choose(replace(DEMAND, affinity="short", work=50.0))
    assert isinstance(short, Reservation)
    assert short.endpoint.id == first.endpoint.id


@pytest.mark.parametrize("instances", [1, 6, 8, 85, 390])
def test_cold_endpoint_gets_its_rate_from_all_instances_together(
    instances: int,
) -> None:
    """Pattern: an endpoint returns cold while every instance has requests waiting."""
    clock = ManualClock()
    names = [InstanceId(f"i{number}") for number in range(instances)]
    declared = service(cold_rate=16.0)
    pools = []
    for name in names:
        pool = EndpointPool(instance=name, clock=clock, random=Random(1))
        pool.update_services({SERVICE: declared})
        pool.update_instances(names)
        pool.announce(endpoint("a", slots=100, cold_for=Milliseconds(4_000)))
        pools.append(pool)
    arrivals: list[int] = []
    for _ in range(300):
        for pool in pools:
            if isinstance(pool.choose(DEMAND), Reservation):
                arrivals.append(clock.now())
        clock.tick(Milliseconds(10))
    assert arrivals
    most = max(
        sum(1 for later in arrivals if first <= later < first + 1_000)
        for first in set(arrivals)
    )
    # The bound of the deployments: the rate times 1.5, and 5 more.
    assert most <= 16.0 * 1.5 + 5


def test_endpoints_of_a_domain_that_returns_are_cold() -> None:
    clock = ManualClock()
    pool = new_pool(clock, endpoint("a"), declared=service(cold_rate=1.0))
    pool.update_evacuated([FailureDomainId("z1")])
    assert chosen(pool) is NoChoice.NONE
    pool.update_evacuated([])
    assert chosen(pool) == "a"
    assert pool.choose(DEMAND) is NoChoice.FULL
    clock.tick(Milliseconds(3_100))
    assert chosen(pool) == "a"
    assert chosen(pool) == "a"


def test_engines_get_no_more_work_than_fresh_requests_can_wait_for() -> None:
    """Pattern: more prompts than the engines read, for some seconds."""
    pool = new_pool(
        ManualClock(),
        *(endpoint(name, slots=64) for name in "abc"),
        declared=service(is_engine=True),
    )
    demand = replace(DEMAND, affinity="part", work=300.0, max_backlog=700.0)
    places = []
    while isinstance(place := pool.choose(demand), Reservation):
        places.append(place)
    assert place is NoChoice.FULL
    assert len(places) == 9
    places[0].answer_started()
    assert isinstance(pool.choose(demand), Reservation)


@pytest.mark.parametrize(
    ("outcome", "nobody_listens", "is_used_after_one"),
    [
        (Outcome.FAILED_BEFORE_SENT, True, False),
        # No connection in time: the cause may be this instance's own link.
        (Outcome.FAILED_BEFORE_SENT, False, True),
        (Outcome.FAILED_AFTER_SENT, False, True),
        (Outcome.SILENT, False, True),
        (Outcome.TRUNCATED, False, True),
    ],
)
def test_endpoint_where_nobody_listens_is_suspect_at_once(
    outcome: Outcome, nobody_listens: bool, is_used_after_one: bool
) -> None:
    """Pattern: half of the endpoints crash and are still announced."""
    pool = new_pool(ManualClock(), endpoint("gone"))
    found = pool.choose(DEMAND)
    assert isinstance(found, Reservation)
    if nobody_listens:
        found.record_connection_refused()
    found.finish(outcome)
    assert pool.members(SERVICE)[0].is_usable is is_used_after_one
    assert not pool.members(SERVICE)[0].is_connection_refused


def test_backlog_counts_only_endpoints_of_the_versions_asked_for() -> None:
    """Pattern: overload while the endpoints of a version on trial are idle."""
    pool = new_pool(
        ManualClock(),
        endpoint("old"),
        endpoint("new", version=VersionId("v2")),
        declared=service(is_engine=True),
    )
    old = frozenset({VersionId("v1")})
    held = pool.choose(replace(DEMAND, versions=old, work=300.0))
    assert isinstance(held, Reservation)
    assert pool.min_backlog(SERVICE) == 0.0
    assert pool.min_backlog(SERVICE, old) == 300.0
