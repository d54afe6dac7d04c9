"""Reports of entries on each other, and the reachability derived from them."""

from collections import defaultdict
from dataclasses import dataclass

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import InstanceId
from fuchsiaroute.membership._messages import Report, UpdateKey, update_order
from fuchsiaroute.membership._topology import Topology

#: A report expires if it has not been repeated for this long.
REPORT_LIFETIME = Milliseconds(90_000)
#: Time after which an entry repeats its reports on unreachable members.
REPEAT_INTERVAL = Milliseconds(30_000)


@dataclass(frozen=True, kw_only=True)
class _Held:
    report: Report
    received_at: Milliseconds


class ReportTable:
    """The newest report of each observer on each subject."""

    def __init__(self) -> None:
        self._held: dict[UpdateKey, _Held] = {}

    def add(self, report: Report, now: Milliseconds) -> bool:
        """Store ``report`` if it is newer than the one held; return whether it is."""
        key = (report.observer, report.subject)
        held = self._held.get(key)
        if held is not None and update_order(held.report) >= update_order(report):
            return False
        self._held[key] = _Held(report=report, received_at=now)
        return True

    def expire(self, now: Milliseconds) -> None:
        """Remove reports that have not been repeated within ``REPORT_LIFETIME``."""
        min_received_at = now - REPORT_LIFETIME
        self._held = {
            key: held
            for key, held in self._held.items()
            if held.received_at >= min_received_at
        }

    def remove(self, member: InstanceId) -> None:
        """Remove reports by and on ``member``, which has restarted or is gone."""
        self._held = {
            key: held for key, held in self._held.items() if member not in key
        }

    def on_unreachable(self) -> tuple[Report, ...]:
        """Return the reports that a member is unreachable."""
        return tuple(
            held.report for held in self._held.values() if not held.report.is_reachable
        )

    def unreachable_by(self) -> dict[InstanceId, frozenset[InstanceId]]:
        """Return the members that each observer cannot reach, by observer."""
        found: defaultdict[InstanceId, set[InstanceId]] = defaultdict(set)
        for report in self.on_unreachable():
            found[report.observer].add(report.subject)
        return {observer: frozenset(subjects) for observer, subjects in found.items()}


def connected_from(
    start: InstanceId,
    topology: Topology,
    unreachable: dict[InstanceId, frozenset[InstanceId]],
) -> frozenset[InstanceId]:
    """Return the members to which chains of answered heartbeats lead from ``start``."""
    seen = {start}
    waiting = [start]
    while waiting:
        observer = waiting.pop()
        targets = topology.targets(observer, unreachable.get(observer, frozenset()))
        waiting.extend(targets - seen)
        seen |= targets
    return frozenset(seen)
