"""Index of the endpoints that an entry uses for each target."""

from collections.abc import Iterable

from fuchsiaroute.balancing._reservation import Target
from fuchsiaroute.balancing._subset import subset
from fuchsiaroute.configuration import Endpoint
from fuchsiaroute.ids import EndpointId, InstanceId


class TargetIndex:
    """Endpoints by the version or service that they serve."""

    def __init__(self, entry: InstanceId) -> None:
        self._entry = entry
        self._all: dict[str, list[Endpoint]] = {}
        self._used: dict[str, tuple[EndpointId, ...]] = {}
        self._with_slots: dict[str, tuple[EndpointId, ...]] = {}
        self._slots: frozenset[EndpointId] = frozenset()
        #: Fraction of the entries that use a given endpoint on average, from 0 to 1.
        self.share = 1.0

    def update(self, endpoints: Iterable[Endpoint]) -> None:
        """Replace the endpoints by those of a configuration."""
        self._all = {}
        for endpoint in endpoints:
            for name in (*endpoint.versions, *endpoint.services):
                self._all.setdefault(name, []).append(endpoint)
        self._used = {
            name: tuple(endpoint.id for endpoint in subset(self._entry, serving))
            for name, serving in self._all.items()
        }
        self._with_slots = {}
        used = sum(len(names) for names in self._used.values())
        self.share = used / max(sum(len(item) for item in self._all.values()), 1)

    def endpoints(
        self, target: Target, slots: frozenset[EndpointId]
    ) -> tuple[EndpointId, ...]:
        """Return the entry's subset for ``target`` and the endpoints in ``slots``."""
        if slots != self._slots:
            self._slots = slots
            self._with_slots = {}
        if target not in self._with_slots:
            used = self._used.get(target, ())
            serving = (endpoint.id for endpoint in self._all.get(target, ()))
            added = (name for name in serving if name in slots and name not in used)
            self._with_slots[target] = (*used, *added)
        return self._with_slots[target]

    def used(self) -> frozenset[EndpointId]:
        """Return the endpoints of the entry's subsets for all targets."""
        return frozenset(name for names in self._used.values() for name in names)
