"""What entries have reported of each other, and who can reach whom."""

from collections import defaultdict
from dataclasses import dataclass

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import InstanceId
from fuchsiaroute.membership._messages import Report, UpdateKey, update_order
from fuchsiaroute.membership._topology import Topology

#: A report that has not been repeated for this long no longer counts.
REPORT_LIFETIME = Milliseconds(90_000)
#: Time after which an entry repeats its reports of unreachable members.
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
        """Keep ``report`` if it is newer than what is held; return whether it is."""
        key = (report.observer, report.subject)
        held = self._held.get(key)
        if held is not None and update_order(held.report) >= update_order(report):
            return False
        self._held[key] = _Held(report=report, received_at=now)
        return True

    def expire(self, now: Milliseconds) -> None:
        """Forget reports that have not been repeated."""
        oldest = now - REPORT_LIFETIME
        self._held = {
            key: held for key, held in self._held.items() if held.received_at >= oldest
        }

    def forget(self, member: InstanceId) -> None:
        """Forget what concerns ``member``, which starts afresh or is gone."""
        self._held = {
            key: held for key, held in self._held.items() if member not in key
        }

    def of_unreachable(self) -> tuple[Report, ...]:
        """Return the reports of members that cannot be reached."""
        return tuple(
            held.report for held in self._held.values() if not held.report.is_reachable
        )

    def unreachable_by(self) -> dict[InstanceId, frozenset[InstanceId]]:
        """Return, for each observer, the members that it cannot reach."""
        found: defaultdict[InstanceId, set[InstanceId]] = defaultdict(set)
        for report in self.of_unreachable():
            found[report.observer].add(report.subject)
        return {observer: frozenset(subjects) for observer, subjects in found.items()}


def connected_from(
    start: InstanceId,
    topology: Topology,
    unreachable: dict[InstanceId, frozenset[InstanceId]],
) -> frozenset[InstanceId]:
    """Return the members that a chain of answered heartbeats leads to."""
    seen = {start}
    waiting = [start]
    while waiting:
        observer = waiting.pop()
        fresh = topology.targets(observer, unreachable.get(observer, frozenset()))
        waiting.extend(fresh - seen)
        seen |= fresh
    return frozenset(seen)
