"""Estimates of the load on an endpoint from own requests and late reports."""

from collections import deque

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.endpoints import LoadReport
from fuchsiaroute.ids import InstanceId

#: Age at which a load report says nothing about the present.
REPORT_LIFETIME = Milliseconds(5_000)


class LoadEstimate:
    """Load on one endpoint as one entry can know it."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._changes: deque[tuple[Milliseconds, int]] = deque()
        self._others = 0
        self._taken_at = Milliseconds(-REPORT_LIFETIME)
        self._peers: dict[InstanceId, int] = {}
        #: Requests of this entry that the endpoint is working on.
        self.own = 0

    def started(self) -> None:
        """Count a request of this entry that starts now."""
        self._change(1)

    def finished(self) -> None:
        """Count a request of this entry that ends now."""
        self._change(-1)

    def report(self, report: LoadReport) -> None:
        """Take over a report unless a later one is known."""
        if report.taken_at <= self._taken_at:
            return
        self._taken_at = report.taken_at
        own_then = self.own - sum(
            change for instant, change in self._changes if instant > report.taken_at
        )
        self._others = max(0, report.in_flight - own_then)

    def peer(self, entry: InstanceId, in_flight: int) -> None:
        """Take over the number of requests that another entry has here."""
        self._peers[entry] = in_flight

    def forget_peers(self, alive: frozenset[InstanceId]) -> None:
        """Drop what entries outside ``alive`` have said."""
        self._peers = {
            entry: count for entry, count in self._peers.items() if entry in alive
        }

    def total(self, sharing_entries: float, *, is_peer_group_known: bool) -> float:
        """
        Return the estimated number of requests at the endpoint.

        Own requests are counted exactly. Those of other entries come from what they
        say themselves, if all of them do, else from the endpoint's latest report.
        With no fresh report they are taken to be like the own ones, of
        ``sharing_entries`` entries that use the endpoint.
        """
        if is_peer_group_known:
            return self.own + sum(self._peers.values())
        if self._clock.wall() - self._taken_at < REPORT_LIFETIME:
            return self.own + self._others
        return self.own * max(sharing_entries, 1.0)

    def report_age(self) -> Milliseconds:
        """Return the age of the latest report, or 0 if there is no fresh one."""
        age = Milliseconds(self._clock.wall() - self._taken_at)
        return age if age < REPORT_LIFETIME else Milliseconds(0)

    def _change(self, change: int) -> None:
        now = self._clock.wall()
        self.own += change
        self._changes.append((now, change))
        while self._changes[0][0] < now - REPORT_LIFETIME:
            self._changes.popleft()
