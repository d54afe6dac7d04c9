"""Cost of a request's decision and of the sums of demand, by number of instances."""

import time
from collections import Counter
from collections.abc import Callable

from fuchsiaroute.aggregation import Aggregator, Figures, Peer
from fuchsiaroute.clock import SystemClock
from fuchsiaroute.contention import FleetDemand, Flow, FlowDemand, room_share
from fuchsiaroute.gossip import FORMAT, FleetReport, FlowUpdate, encode_message
from fuchsiaroute.ids import (
    EndpointId,
    FailureDomainId,
    InstanceId,
    OrganisationId,
    ServiceId,
)
from fuchsiaroute.pool import Outcomes

SIZES = (8, 70, 300)
DOMAINS = 3
#: Flows of a report at its limit, and endpoints of which outcomes are told.
ORGANISATIONS = 8
PRIORITIES = 2
FAILING = 20
#: Most microseconds of a decision at any size.
MAX_DECISION_US = 50.0
REPETITIONS = 2_000

_SERVICE = ServiceId("models")


def _microseconds(
    action: Callable[[], object], repetitions: int = REPETITIONS
) -> float:
    started = time.perf_counter()
    for _ in range(repetitions):
        action()
    return (time.perf_counter() - started) / repetitions * 1e6


def _figures() -> Figures:
    flows = [
        Flow(_SERVICE, priority, OrganisationId(f"organisation-{number}"))
        for priority in range(PRIORITIES)
        for number in range(ORGANISATIONS)
    ]
    return Figures(
        flows={flow: FlowDemand(flow, 3, 2) for flow in flows},
        outcomes={
            EndpointId(f"endpoint-{number}"): Outcomes(3.0, 1.0)
            for number in range(FAILING)
        },
    )


def _report(figures: Figures) -> FleetReport:
    return FleetReport(
        format=FORMAT,
        instance="instance-1",
        flows=[
            FlowUpdate(*row.flow, row.running, row.waiting)
            for row in figures.flows.values()
        ],
        outcomes={str(name): (30, 10) for name in figures.outcomes},
    )


def _collector(instances: int) -> Aggregator:
    """Return a collector that has a report of each instance of its domain."""
    domain = FailureDomainId("z0")
    clock = SystemClock()
    aggregator = Aggregator(
        instance=InstanceId("n0"), failure_domain=domain, clock=clock
    )
    peers = [
        Peer(InstanceId(f"n{number}"), FailureDomainId(f"z{number % DOMAINS}"))
        for number in range(1, instances)
    ]
    aggregator.update_peers(peers)
    for peer in peers:
        if peer.failure_domain == domain:
            aggregator.apply_report(peer.instance, _figures())
    return aggregator


def main() -> None:
    """Print the costs; exits with 1 if a decision costs too much."""
    figures = _figures()
    data = encode_message(_report(figures))
    print(f"report with {len(figures.flows)} flows, {FAILING} endpoints: {len(data)} B")
    encode = _microseconds(lambda: encode_message(_report(figures)), 200)
    print(f"encode {encode:.0f} us")
    is_within = True
    for instances in SIZES:
        fleet = FleetDemand()
        fleet.use_total(figures.flows.values())
        others = fleet.service(_SERVICE)
        running = Counter({OrganisationId("organisation-1"): 9})
        decision = _microseconds(
            lambda others=others, running=running: room_share(  # type: ignore[misc]
                priority=1,
                organisation=OrganisationId("organisation-1"),
                own_running=running,
                others=others,
            )
        )
        collector = _collector(instances)
        merge = _microseconds(
            lambda item=collector: item.fleet_sum(item.domain_sum()),  # type: ignore[misc]
            50,
        )
        is_within = is_within and decision <= MAX_DECISION_US
        print(
            f"{instances} instances: decision {decision:.1f} us,"
            f" sum at a collector {merge:.0f} us"
        )
    if not is_within:
        raise SystemExit(f"a decision may cost {MAX_DECISION_US:g} us")


if __name__ == "__main__":
    main()
