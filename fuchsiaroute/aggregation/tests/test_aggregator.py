"""
Demand and outcomes of all instances, in fleets larger than a round of the gossip.

Guards against instances that decide by figures which are seconds old, and against
figures that are counted twice or kept after their instance has gone.
"""

from random import Random

import pytest

from fuchsiaroute.aggregation import MAX_AGE, Aggregator, Figures, Peer, total
from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.contention import Flow, FlowDemand
from fuchsiaroute.ids import (
    EndpointId,
    FailureDomainId,
    InstanceId,
    OrganisationId,
    ServiceId,
)
from fuchsiaroute.pool import Outcomes

ENGINES = tuple(EndpointId(f"e-{number}") for number in range(5))
FLOW = Flow(ServiceId("models"), 0, OrganisationId("org"))


def figures(random: Random) -> Figures:
    outcomes = {
        name: Outcomes(float(random.randrange(1, 9)), float(random.randrange(50)))
        for name in random.sample(ENGINES, 3)
    }
    waiting = FlowDemand(FLOW, random.randrange(4), random.randrange(4))
    return Figures(outcomes=outcomes, flows={FLOW: waiting})


class Fleet:
    """Instances in three failure domains whose messages arrive at once, or are lost."""

    def __init__(self, count: int, *, loss: float = 0.0) -> None:
        self.clock = ManualClock()
        self.random = Random(count)
        self.loss = loss
        self.peers = [
            Peer(InstanceId(f"n{number}"), FailureDomainId(f"z{number % 3}"))
            for number in range(count)
        ]
        self.own = {peer.instance: figures(self.random) for peer in self.peers}
        self.aggregators = {
            peer.instance: Aggregator(
                instance=peer.instance,
                failure_domain=peer.failure_domain,
                clock=self.clock,
            )
            for peer in self.peers
        }
        self.see(self.peers)

    def see(self, alive: list[Peer]) -> None:
        self.peers = alive
        for peer in alive:
            others = [item for item in alive if item is not peer]
            self.aggregators[peer.instance].update_peers(others)

    def round(self) -> None:
        for peer in self.peers:
            aggregator = self.aggregators[peer.instance]
            own = self.own[peer.instance]
            aggregator.report(own)
            if aggregator.is_collector:
                self._send_sums(peer, aggregator)
            elif self._arrives():
                collector = self.aggregators[aggregator.collector]
                collector.apply_report(peer.instance, own)

    def others(self, instance: InstanceId) -> Figures:
        return total(
            self.own[peer.instance] for peer in self.peers if peer.instance != instance
        )

    def _send_sums(self, peer: Peer, aggregator: Aggregator) -> None:
        fleet_sum = aggregator.fleet_sum(aggregator.domain_sum())
        for name in aggregator.other_collectors():
            if self._arrives():
                self.aggregators[name].apply_domain(
                    peer.failure_domain, aggregator.domain_sum()
                )
        for name in aggregator.members():
            if self._arrives():
                self.aggregators[name].apply_total(peer.instance, fleet_sum)

    def _arrives(self) -> bool:
        return self.random.random() >= self.loss


@pytest.mark.parametrize("count", [2, 8, 70, 300, 1_000])
def test_each_instance_knows_the_sum_of_all_others(count: int) -> None:
    fleet = Fleet(count)
    for _ in range(3):
        fleet.round()
    for peer in fleet.peers[:20]:
        expected = fleet.others(peer.instance)
        found = fleet.aggregators[peer.instance].others()
        assert found is not None
        assert {
            name: item for name, item in found.outcomes.items() if item.failed
        } == expected.outcomes
        assert found.flows[FLOW] == expected.flows[FLOW]


def test_lost_messages_are_made_up_for() -> None:
    fleet = Fleet(70, loss=0.3)
    for _ in range(5):
        fleet.round()
    known = [item.others() for item in fleet.aggregators.values()]
    assert sum(item is None for item in known) <= 2


def test_collector_that_has_died_is_replaced() -> None:
    """Guards against instances that rely on sums of a collector that is gone."""
    fleet = Fleet(12)
    for _ in range(3):
        fleet.round()
    peer = next(
        item
        for item in fleet.peers
        if not fleet.aggregators[item.instance].is_collector
    )
    aggregator = fleet.aggregators[peer.instance]
    dead = aggregator.collector
    fleet.clock.tick(MAX_AGE)
    # The loads in the gossip count until the collector is found dead.
    assert aggregator.others() is None
    fleet.see([item for item in fleet.peers if item.instance != dead])
    for _ in range(3):
        fleet.round()
    assert aggregator.collector != dead
    assert aggregator.others() is not None


def test_figures_that_are_not_renewed_count_no_more() -> None:
    """Guards against the load of a frozen instance, or a cut domain, that stays."""
    fleet = Fleet(6)
    for _ in range(3):
        fleet.round()
    name, collector = next(
        item for item in fleet.aggregators.items() if item[1].is_collector
    )
    own = fleet.own[name]
    fleet.clock.tick(Milliseconds(MAX_AGE + 1))
    assert collector.others() is None
    assert collector.fleet_sum(collector.domain_sum()) == own


def test_sum_of_another_collector_is_ignored() -> None:
    """Guards against a part of the loads that is taken for all of them."""
    fleet = Fleet(6)
    fleet.round()
    aggregator = next(
        item for item in fleet.aggregators.values() if not item.is_collector
    )
    known = aggregator.others()
    stranger = Figures(outcomes={ENGINES[0]: Outcomes(99.0, 0.0)})
    aggregator.apply_total(InstanceId("stranger"), stranger)
    assert aggregator.others() == known


@pytest.mark.parametrize(
    "bad",
    [
        Outcomes(-1.0, 5.0),
        Outcomes(1.0, -5.0),
        Outcomes(1e18, 0.0),
        Outcomes(float("nan"), 0.0),
        Outcomes(0.0, float("inf")),
    ],
)
def test_figures_that_cannot_be_true_are_left_out(bad: Outcomes) -> None:
    """Guards against an endpoint that no instance uses, for ever."""
    good = {ENGINES[1]: Outcomes(2.0, 10.0)}
    found = Figures(
        outcomes={ENGINES[0]: bad, **good}, flows={FLOW: FlowDemand(FLOW, -1, 3)}
    ).valid()
    assert (found.outcomes, found.flows) == (good, {})


def test_own_part_is_never_taken_off_twice() -> None:
    own = Figures(outcomes={ENGINES[0]: Outcomes(5.0, 9.0)})
    found = Figures(outcomes={ENGINES[0]: Outcomes(3.0, 4.0)}).without(own)
    assert found.outcomes == {ENGINES[0]: Outcomes(0.0, 0.0)}
