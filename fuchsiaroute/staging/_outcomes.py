"""What the latest roll-out of each version of a service came to."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, replace

from fuchsiaroute.ids import ServiceId, VersionId
from fuchsiaroute.staging._records import Progress

#: Versions of a service whose outcomes are kept; those of the earliest orders are
#: dropped. A service has few versions in use at a time.
MAX_VERSIONS = 32
#: Stands for an outcome that is not known to be in the store.
NOT_STORED = -1


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """The state of the latest roll-out of a version."""

    #: Revision of the roll-out order.
    order: int
    progress: Progress
    #: Number of roll-outs of the version before this one.
    attempt: int = 0
    #: Era of the store in which the outcome is known to be stored, or ``NOT_STORED``.
    stored_era: int = field(default=NOT_STORED, compare=False)

    @property
    def sort_key(self) -> tuple[int, int, int]:
        """
        Return a key by which a later outcome of a version sorts after others.

        Instances of former builds forward records without the attempt.
        """
        return self.order, self.progress.value, self.attempt


class RolloutOutcomes:
    """
    Outcomes by service and version, merged from the store and all instances.

    They outlive the order, as the version may still have endpoints when the next order
    is in force, or none is.
    """

    def __init__(self) -> None:
        self._services: dict[ServiceId, dict[VersionId, Outcome]] = {}

    def get(self, service: ServiceId, version: VersionId) -> Outcome | None:
        """Return the outcome of a version; None if no roll-out of it is known."""
        return self._services.get(service, {}).get(version)

    def of_service(self, service: ServiceId) -> Mapping[VersionId, Outcome]:
        """Return the outcomes of a service by version."""
        return self._services.get(service, {})

    def __iter__(self) -> Iterator[tuple[ServiceId, VersionId, Outcome]]:
        for service, versions in self._services.items():
            for version, outcome in versions.items():
                yield service, version, outcome

    def services(self) -> list[ServiceId]:
        """Return the services that have outcomes."""
        return list(self._services)

    def merge(self, service: ServiceId, version: VersionId, outcome: Outcome) -> bool:
        """Store an outcome unless a later one is held; return whether it is new."""
        versions = self._services.setdefault(service, {})
        known = versions.get(version)
        if known is not None and known.sort_key > outcome.sort_key:
            return False
        if known == outcome:
            era = max(known.stored_era, outcome.stored_era)
            versions[version] = replace(known, stored_era=era)
            return False
        versions[version] = outcome
        if len(versions) > MAX_VERSIONS:
            del versions[min(versions, key=lambda name: versions[name].sort_key)]
        return True

    def are_stored(self, service: ServiceId, *, era: int) -> bool:
        """Return whether all outcomes of a service are in the store of ``era``."""
        return all(item.stored_era >= era for item in self.of_service(service).values())
