"""Summaries of what other instances have running and waiting."""

from random import Random

import pytest

from fuchsiaroute.contention import FleetDemand, Flow, FlowDemand
from fuchsiaroute.ids import InstanceId, OrganisationId, ServiceId

MODELS = ServiceId("models")
A, B = OrganisationId("a"), OrganisationId("b")


def row(
    organisation: OrganisationId = A,
    *,
    priority: int = 0,
    running: int = 0,
    waiting: int = 0,
) -> FlowDemand:
    return FlowDemand(Flow(MODELS, priority, organisation), running, waiting)


def name(number: int) -> InstanceId:
    return InstanceId(f"n{number}")


@pytest.mark.parametrize("instances", [8, 70, 300, 1_000])
def test_sums_follow_the_latest_summaries(instances: int) -> None:
    """Guards against sums that drift as summaries replace one another."""
    random = Random(instances)
    fleet = FleetDemand()
    latest: dict[InstanceId, FlowDemand] = {}
    for _ in range(3 * instances):
        instance = name(random.randrange(instances))
        latest[instance] = row(
            random.choice([A, B]),
            priority=random.randrange(3),
            running=random.randrange(9),
            waiting=random.randrange(4),
        )
        fleet.update(instance, [latest[instance]])
    service = fleet.service(MODELS)
    assert service.running.total() == sum(item.running for item in latest.values())
    assert service.waiting.total() == sum(item.waiting for item in latest.values())
    alive = list(latest)[: instances // 4]
    fleet.keep(alive, services=[MODELS])
    assert service.running.total() == sum(latest[item].running for item in alive)
    fleet.keep([], services=[])
    assert (service.running, service.waiting) == ({}, {})


@pytest.mark.parametrize(
    "bad",
    [
        row(priority=-1, waiting=1),
        row(priority=10, waiting=1),
        row(running=-1, waiting=1),
        row(waiting=-5),
        row(waiting=10**18),
        row(running=10**18),
    ],
)
def test_figures_that_cannot_be_true_are_left_out(bad: FlowDemand) -> None:
    """Guards against a faulty sender that stops the work of all instances."""
    fleet = FleetDemand()
    assert fleet.update(name(1), [bad, row(B, waiting=2)]) == 1
    assert fleet.service(MODELS).waiting == {(0, B): 2}
    assert fleet.service(MODELS).running == {}


def test_instance_that_started_again_has_no_former_requests() -> None:
    fleet = FleetDemand()
    fleet.update(name(1), [row(running=5, waiting=2)])
    fleet.update(name(1), [])
    assert fleet.waiting == 0
    assert fleet.service(MODELS).running == {}


def test_total_stands_in_for_the_summaries() -> None:
    """Guards against demand that counts twice, or is lost as the total goes."""
    fleet = FleetDemand()
    fleet.update(name(1), [row(running=1, waiting=1)])
    fleet.use_total([row(B, running=7, waiting=3)])
    assert fleet.service(MODELS).running == {B: 7}
    fleet.update(name(1), [row(running=2, waiting=2)])
    assert fleet.waiting == 3
    fleet.use_total([row(B, waiting=1), row(waiting=-1)])
    assert fleet.service(MODELS).waiting == {(0, B): 1}
    fleet.use_total(None)
    assert fleet.service(MODELS).running == {A: 2}
    assert fleet.waiting == 2
