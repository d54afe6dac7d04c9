"""The loads that other instances report of endpoints."""

from collections.abc import Collection, Iterable, Mapping

from fuchsiaroute.ids import EndpointId, InstanceId
from fuchsiaroute.pool._member import Load, PeerLoad


class PeerLoads:
    """
    Loads by instance and endpoint, and their sums by endpoint.

    The sums are updated by the difference of a report from the former one, so that the
    work does not grow with the number of instances.
    """

    def __init__(self) -> None:
        self._loads: dict[InstanceId, Mapping[EndpointId, Load]] = {}
        self._totals: dict[EndpointId, PeerLoad] = {}

    def total(self, endpoint: EndpointId) -> PeerLoad:
        """Return the sum over all other instances, which later reports change."""
        return self._totals.setdefault(endpoint, PeerLoad())

    def update(self, instance: InstanceId, loads: Mapping[EndpointId, Load]) -> None:
        """Replace the loads that another instance reported."""
        former = self._loads.pop(instance, {})
        if loads:
            self._loads[instance] = loads
        for name, (requests, work) in former.items():
            total = self._totals[name]
            total.requests -= requests
            total.work -= work
        for name, (requests, work) in loads.items():
            total = self.total(name)
            total.requests += requests
            total.work += work

    def keep(
        self, instances: Iterable[InstanceId], *, endpoints: Collection[EndpointId]
    ) -> None:
        """Remove the loads of other instances, and sums of other endpoints."""
        for instance in self._loads.keys() - set(instances):
            self.update(instance, {})
        for name in self._totals.keys() - set(endpoints):
            if not self._totals[name].requests:
                del self._totals[name]
