"""Estimates of an endpoint's load from own requests and delayed reports."""

from collections import deque

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.endpoints import LoadReport
from fuchsiaroute.ids import InstanceId

#: Age from which a load report is ignored.
REPORT_LIFETIME = Milliseconds(5_000)


class LoadEstimate:
    """Estimate of the requests in flight at one endpoint, held by one entry."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._changes: deque[tuple[Milliseconds, int]] = deque()
        self._others = 0
        self._report_taken_at = Milliseconds(-REPORT_LIFETIME)
        self._peers: dict[InstanceId, int] = {}
        #: Requests of this entry in flight at the endpoint.
        self.own = 0

    def count_start(self) -> None:
        """Count a request of this entry that starts now."""
        self._change(1)

    def count_end(self) -> None:
        """Count a request of this entry that ends now."""
        self._change(-1)

    def apply_report(self, report: LoadReport) -> None:
        """Apply a report unless it is older than the latest one applied."""
        if report.taken_at <= self._report_taken_at:
            return
        self._report_taken_at = report.taken_at
        own_at_report = self.own - sum(
            change for instant, change in self._changes if instant > report.taken_at
        )
        self._others = max(0, report.in_flight - own_at_report)

    def set_peer_load(self, entry: InstanceId, in_flight: int) -> None:
        """Replace the number of requests that another entry has in flight here."""
        self._peers[entry] = in_flight

    def retain_peers(self, alive: frozenset[InstanceId]) -> None:
        """Discard the loads of entries that are not in ``alive``."""
        self._peers = {
            entry: count for entry, count in self._peers.items() if entry in alive
        }

    def total(self, entry_count: float, *, are_peer_loads_complete: bool) -> float:
        """
        Return the estimated number of requests at the endpoint.

        Own requests are counted exactly. The requests of other entries are the sum of
        the peers' loads if ``are_peer_loads_complete``, else the remainder of the
        endpoint's latest report. Without a recent report each of the ``entry_count``
        entries that use the endpoint is assumed to have as many as this one.
        """
        if are_peer_loads_complete:
            return self.own + sum(self._peers.values())
        if self._clock.wall() - self._report_taken_at < REPORT_LIFETIME:
            return self.own + self._others
        return self.own * max(entry_count, 1.0)

    def report_age(self) -> Milliseconds:
        """Return the age of the latest report, or 0 if it is too old to be used."""
        age = Milliseconds(self._clock.wall() - self._report_taken_at)
        return age if age < REPORT_LIFETIME else Milliseconds(0)

    def _change(self, change: int) -> None:
        now = self._clock.wall()
        self.own += change
        self._changes.append((now, change))
        while self._changes[0][0] < now - REPORT_LIFETIME:
            self._changes.popleft()
