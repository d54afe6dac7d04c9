"""Demand at services and outcomes at endpoints, of one or more instances."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from fuchsiaroute.contention import Flow, FlowDemand
from fuchsiaroute.ids import EndpointId
from fuchsiaroute.pool import Outcomes

#: Largest number of outcomes that can be true.
MAX_OUTCOMES = 1e6


@dataclass(frozen=True, kw_only=True)
class Figures:
    """What instances have; most have nothing in calm."""

    flows: Mapping[Flow, FlowDemand] = field(default_factory=dict)
    #: Recent outcomes, only at endpoints where requests of any instance failed.
    outcomes: Mapping[EndpointId, Outcomes] = field(default_factory=dict)

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to tell."""
        return not (self.flows or self.outcomes)

    def without(self, part: "Figures") -> "Figures":
        """Return these figures less ``part``, which they include; never below 0."""
        flows = dict(self.flows)
        for flow, demand in part.flows.items():
            row = flows.get(flow)
            if row is not None:
                flows[flow] = FlowDemand(
                    flow,
                    max(row.running - demand.running, 0),
                    max(row.waiting - demand.waiting, 0),
                )
        outcomes = dict(self.outcomes)
        for name, own in part.outcomes.items():
            found = outcomes.get(name)
            if found is not None:
                outcomes[name] = Outcomes(
                    max(found.failed - own.failed, 0.0),
                    max(found.answered - own.answered, 0.0),
                )
        return Figures(flows=flows, outcomes=outcomes)

    def valid(self) -> "Figures":
        """Return the figures that can be true."""
        return Figures(
            flows={flow: row for flow, row in self.flows.items() if row.is_valid},
            outcomes={
                name: item
                for name, item in self.outcomes.items()
                if all(0.0 <= figure <= MAX_OUTCOMES for figure in item)
            },
        )


def total(parts: Iterable[Figures]) -> Figures:
    """Return the sum of figures."""
    # Plain lists, as a collector adds up some thousand rows ten times a second.
    flows: dict[Flow, list[int]] = {}
    outcomes: dict[EndpointId, list[float]] = {}
    for part in parts:
        for flow, demand in part.flows.items():
            row = flows.setdefault(flow, [0, 0])
            row[0] += demand.running
            row[1] += demand.waiting
        for name, (failed, answered) in part.outcomes.items():
            seen = outcomes.setdefault(name, [0.0, 0.0])
            seen[0] += failed
            seen[1] += answered
    return Figures(
        flows={flow: FlowDemand(flow, *row) for flow, row in flows.items()},
        outcomes={name: Outcomes(*seen) for name, seen in outcomes.items()},
    )
