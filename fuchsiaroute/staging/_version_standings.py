"""Standings of versions that are not the target of the order in force."""

from collections.abc import Callable
from enum import Enum

from fuchsiaroute.ids import ServiceId, VersionId
from fuchsiaroute.staging._outcomes import RolloutOutcomes
from fuchsiaroute.staging._records import Progress


class Standing(Enum):
    """What a version may be used for, by its latest roll-out."""

    #: It was completed, or never ordered.
    ACCEPTED = "accepted"
    #: Its roll-out was interrupted: another order came, or the order was removed.
    UNPROVEN = "unproven"
    #: It was found to be bad. Only a roll-out of it may send requests there.
    REJECTED = "rejected"


_STANDINGS = {
    Progress.RUNNING: Standing.UNPROVEN,
    Progress.COMPLETED: Standing.ACCEPTED,
    Progress.ROLLED_BACK: Standing.REJECTED,
}


class VersionStandings:
    """
    Standings of versions by the outcomes of their roll-outs.

    ``is_suspended(service, order)`` returns whether the evidence of this or another
    instance has stopped the roll-out of an order.
    """

    def __init__(
        self,
        outcomes: RolloutOutcomes,
        *,
        is_suspended: Callable[[ServiceId, int], bool],
    ) -> None:
        self._outcomes = outcomes
        self._is_suspended = is_suspended

    def get(self, service: ServiceId, version: VersionId) -> Standing:
        """Return the standing of a version."""
        outcome = self._outcomes.get(service, version)
        if outcome is None:
            return Standing.ACCEPTED
        is_running = outcome.progress is Progress.RUNNING
        if is_running and self._is_suspended(service, outcome.order):
            return Standing.REJECTED
        return _STANDINGS[outcome.progress]

    def usable(
        self,
        service: ServiceId,
        versions: frozenset[VersionId],
        *,
        bound: VersionId | None,
    ) -> frozenset[VersionId]:
        """
        Return those of ``versions`` that requests may use.

        Unproven ones are used by the sessions that are bound to them (``bound``), and
        by all if there are no accepted ones.
        """
        if not self._outcomes.of_service(service):
            return versions
        standings = {name: self.get(service, name) for name in versions}
        accepted = {
            name for name, found in standings.items() if found is Standing.ACCEPTED
        }
        unproven = {
            name for name, found in standings.items() if found is Standing.UNPROVEN
        }
        if bound in unproven:
            return frozenset({bound})
        return frozenset(accepted or unproven)
