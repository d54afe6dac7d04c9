"""What all instances together have running and waiting at each service."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple, TypeVar

from fuchsiaroute.ids import InstanceId, OrganisationId, ServiceId

_Key = TypeVar("_Key")

#: Largest count that an instance can have; larger ones are errors of the sender.
MAX_COUNT = 100_000
#: Priorities range from 0, the most urgent, to this value.
LEAST_URGENT_PRIORITY = 9


class Flow(NamedTuple):
    """Requests of one organisation with one priority to one service."""

    service: ServiceId
    priority: int
    organisation: OrganisationId


@dataclass(frozen=True)
class FlowDemand:
    """What one instance has of a flow."""

    flow: Flow
    #: Requests at endpoints.
    running: int
    #: Requests that wait for an endpoint at the instance.
    waiting: int

    @property
    def is_valid(self) -> bool:
        """Return whether the figures can be those of an instance."""
        return (
            0 <= self.flow.priority <= LEAST_URGENT_PRIORITY
            and 0 <= self.running <= MAX_COUNT
            and 0 <= self.waiting <= MAX_COUNT
        )


class ServiceDemand:
    """Sums over the other instances for one service."""

    def __init__(self) -> None:
        self.running: Counter[OrganisationId] = Counter()
        #: Waiting requests by priority and organisation.
        self.waiting: Counter[tuple[int, OrganisationId]] = Counter()

    def is_any_waiting_above(self, priority: int) -> bool:
        """Return whether requests that are more urgent than ``priority`` wait."""
        return any(key[0] < priority for key in self.waiting)

    def waiting_organisations(self, priority: int) -> frozenset[OrganisationId]:
        """Return the organisations with waiting requests that are as urgent or more."""
        return frozenset(
            organisation for rank, organisation in self.waiting if rank <= priority
        )

    def add(self, demand: FlowDemand, sign: int) -> None:
        """Add (1) or remove (-1) what an instance has of a flow."""
        _, priority, organisation = demand.flow
        _change(self.running, organisation, sign * demand.running)
        _change(self.waiting, (priority, organisation), sign * demand.waiting)


class FleetDemand:
    """
    The latest summaries of the other instances, and their sums by service.

    A summary replaces the former one of its instance, which is how a lost message is
    made up for by the next one, and one of a former start by that of the present. What
    an instance had counts no more once it is not alive (``keep``): its requests have
    ended with it, and its share is free again.
    """

    def __init__(self) -> None:
        self._summaries: dict[InstanceId, tuple[FlowDemand, ...]] = {}
        self._services: dict[ServiceId, ServiceDemand] = {}
        #: Sums of all other instances, in place of their summaries; None without any.
        self._total: tuple[FlowDemand, ...] | None = None

    @property
    def waiting(self) -> int:
        """Return the requests that wait at other instances."""
        return sum(item.waiting.total() for item in self._services.values())

    def service(self, service: ServiceId) -> ServiceDemand:
        """Return the sums for a service, which later summaries change."""
        demand = self._services.get(service)
        if demand is None:
            demand = self._services[service] = ServiceDemand()
        return demand

    def update(self, instance: InstanceId, summary: Iterable[FlowDemand]) -> int:
        """
        Replace the summary of another instance.

        Returns the number of its rows that cannot be true, which are left out.
        """
        rows = tuple(summary)
        valid = tuple(row for row in rows if row.is_valid)
        former = self._summaries.pop(instance, ())
        if valid:
            self._summaries[instance] = valid
        if self._total is None:
            self._replace(former, valid)
        return len(rows) - len(valid)

    def use_total(self, rows: Iterable[FlowDemand] | None) -> None:
        """Use sums over all other instances; with None, those of their summaries."""
        if rows is None and self._total is None:
            return
        total = None if rows is None else tuple(row for row in rows if row.is_valid)
        self._replace(self._counted(), ())
        self._total = total
        self._replace((), self._counted())

    def _counted(self) -> tuple[FlowDemand, ...]:
        """Return the rows that the sums by service consist of."""
        if self._total is not None:
            return self._total
        return tuple(row for rows in self._summaries.values() for row in rows)

    def _replace(
        self, former: tuple[FlowDemand, ...], rows: tuple[FlowDemand, ...]
    ) -> None:
        for row in former:
            self.service(row.flow.service).add(row, -1)
        for row in rows:
            self.service(row.flow.service).add(row, 1)

    def keep(
        self, instances: Iterable[InstanceId], *, services: Iterable[ServiceId]
    ) -> None:
        """Remove what other instances had, and services that are not declared."""
        for instance in self._summaries.keys() - set(instances):
            self.update(instance, ())
        for name in self._services.keys() - set(services):
            if not (self._services[name].running or self._services[name].waiting):
                del self._services[name]


def _change(counts: Counter[_Key], key: _Key, change: int) -> None:
    counts[key] += change
    if not counts[key]:
        del counts[key]


def combined(
    own: Mapping[OrganisationId, int], others: Mapping[OrganisationId, int]
) -> Counter[OrganisationId]:
    """Return the sums of two counts."""
    total = Counter(own)
    total.update(others)
    return total
