"""Reports and sums of demand and outcomes, sent beside the gossip in large fleets."""

from fuchsiaroute.aggregation import Aggregator, Figures, Peer
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.contention import FleetDemand, Flow, FlowDemand
from fuchsiaroute.gossip import (
    AGGREGATION,
    FANOUT,
    FORMAT,
    FleetReport,
    FleetSum,
    FlowUpdate,
    GossipNode,
    Liveness,
    MemberInfo,
    SumScope,
)
from fuchsiaroute.ids import (
    EndpointId,
    FailureDomainId,
    InstanceId,
    OrganisationId,
    ServiceId,
)
from fuchsiaroute.pool import EndpointPool, Outcomes, RequestQueue

#: Time between two reports, and between two sums.
INTERVAL = Milliseconds(100)
#: Outcomes are sent as whole numbers of tenths.
TENTHS = 10


class FleetExchange:
    """
    Keeps the demand and the outcomes of all instances known to each of them.

    In a fleet with more members than a round of the gossip reaches, a member hears from
    another one only every few seconds, while requests start in less than one. There,
    and once all members know these messages, each reports to the collector of its
    failure domain instead (``Aggregator``). While no sum is known, the demand in the
    gossip counts. Instances with nothing to tell send nothing.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        failure_domain: FailureDomainId,
        liveness: Liveness,
        gossip: GossipNode,
        pool: EndpointPool,
        queue: RequestQueue,
        fleet: FleetDemand,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._failure_domain = failure_domain
        self._liveness = liveness
        self._gossip = gossip
        self._pool = pool
        self._queue = queue
        self._fleet = fleet
        self._aggregator = Aggregator(
            instance=instance, failure_domain=failure_domain, clock=clock
        )
        self._alive: tuple[MemberInfo, ...] = ()
        self._is_used = False
        #: Whether the latest figures of each kind of message were empty.
        self._was_empty: dict[str, bool] = {}

    @property
    def is_used(self) -> bool:
        """Return whether sums over all instances are known."""
        return self._is_used

    def refresh(self) -> None:
        """Send what is due and apply the latest sums; called each ``INTERVAL``."""
        alive = self._liveness.alive()
        if alive is not self._alive:
            self._alive = alive
            self._aggregator.update_peers(
                [Peer(item.instance, item.failure_domain) for item in alive]
            )
        if len(alive) <= FANOUT or not self._liveness.all_know(AGGREGATION):
            self._use(None)
            return
        own = Figures(
            flows={row.flow: row for row in self._queue.summary()},
            outcomes=self._pool.own_outcomes(),
        )
        self._aggregator.report(own)
        if self._aggregator.is_collector:
            self._send_sums()
        else:
            self._send_report(own)
        self._use(self._aggregator.others())

    def apply(self, message: FleetReport | FleetSum) -> None:
        """Apply the report or the sum of another instance."""
        figures = _decode(message)
        if isinstance(message, FleetReport):
            self._aggregator.apply_report(InstanceId(message.instance), figures)
        elif message.scope == SumScope.DOMAIN:
            domain = FailureDomainId(message.failure_domain)
            self._aggregator.apply_domain(domain, figures)
        else:
            self._aggregator.apply_total(InstanceId(message.instance), figures)
            self._use(self._aggregator.others())

    def _send_report(self, own: Figures) -> None:
        if not self._is_due("report", own):
            return
        report = FleetReport(
            format=FORMAT,
            instance=self._instance,
            flows=_encode_flows(own),
            outcomes=_encode_outcomes(own),
        )
        self._gossip.send_to_each([self._aggregator.collector], report)

    def _send_sums(self) -> None:
        """Send the sums that this instance collects."""
        domain_sum = self._aggregator.domain_sum()
        if self._is_due("domain", domain_sum):
            message = self._sum(SumScope.DOMAIN, domain_sum)
            self._gossip.send_to_each(self._aggregator.other_collectors(), message)
        fleet_sum = self._aggregator.fleet_sum(domain_sum)
        if self._is_due("fleet", fleet_sum):
            message = self._sum(SumScope.FLEET, fleet_sum)
            self._gossip.send_to_each(self._aggregator.members(), message)

    def _is_due(self, kind: str, figures: Figures) -> bool:
        """Return whether to send figures: some, or the first that are empty again."""
        was_empty = self._was_empty.get(kind, True)
        self._was_empty[kind] = figures.is_empty
        return not (was_empty and figures.is_empty)

    def _sum(self, scope: SumScope, figures: Figures) -> FleetSum:
        return FleetSum(
            format=FORMAT,
            instance=self._instance,
            failure_domain=self._failure_domain,
            scope=scope,
            flows=_encode_flows(figures),
            outcomes=_encode_outcomes(figures),
        )

    def _use(self, figures: Figures | None) -> None:
        """Let the pool and the queue use ``figures``, or the gossip without any."""
        if figures is not None:
            self._pool.use_peer_outcomes(figures.outcomes)
            self._fleet.use_total(figures.flows.values())
        elif self._is_used:
            self._pool.use_peer_outcomes({})
            self._fleet.use_total(None)
        self._is_used = figures is not None


def _encode_flows(figures: Figures) -> list[FlowUpdate]:
    return [
        FlowUpdate(*row.flow, row.running, row.waiting)
        for row in figures.flows.values()
    ]


def _encode_outcomes(figures: Figures) -> dict[str, tuple[int, int]]:
    return {
        str(name): (round(item.failed * TENTHS), round(item.answered * TENTHS))
        for name, item in figures.outcomes.items()
    }


def _decode(message: FleetReport | FleetSum) -> Figures:
    return Figures(
        flows={
            flow: FlowDemand(flow, item.running, item.waiting)
            for item in message.flows
            for flow in (
                Flow(
                    ServiceId(item.service),
                    item.priority,
                    OrganisationId(item.organisation),
                ),
            )
        },
        outcomes={
            EndpointId(name): Outcomes(failed / TENTHS, answered / TENTHS)
            for name, (failed, answered) in message.outcomes.items()
        },
    )
