"""What endpoints have said in their answers of the rejections that they tolerate."""

from collections.abc import Callable
from dataclasses import dataclass

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.ids import EndpointId, ServiceId

#: Time for which notices of endpoints that are not announced are kept, and for which
#: peers are told that an endpoint is no longer brittle.
NOTICE_TIME = Milliseconds(15_000)
#: Notices that fit into a message to peers.
MAX_REPORTS = 100


@dataclass(frozen=True, kw_only=True)
class BrittleNotice:
    """What an endpoint process said in an answer."""

    endpoint: EndpointId
    service: ServiceId
    #: Start of the process, as announced.
    started_at: int
    #: Rejections a second beyond which it falls over; None if it is not brittle.
    tolerance: float | None
    #: Monotonic time of the answer.
    at: Milliseconds


class BrittleNotices:
    """
    The latest notice of each endpoint process of services that are or were brittle.

    All instances exchange them; the latest one counts. A process that has not answered
    yet counts as brittle as the other endpoints of its service.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._notices: dict[EndpointId, BrittleNotice] = {}
        #: Lowest tolerance of an endpoint of each brittle service.
        self._tolerances: dict[ServiceId, float] = {}

    @property
    def has_brittle(self) -> bool:
        """Return whether any endpoint is brittle."""
        return bool(self._tolerances)

    def record(self, endpoint: Endpoint, tolerance: float | None) -> bool:
        """Record what an answer says; return whether that is new."""
        if tolerance is None and not self._notices:
            return False
        return self.apply(
            BrittleNotice(
                endpoint=endpoint.id,
                service=endpoint.service,
                started_at=endpoint.started_at,
                tolerance=tolerance,
                at=self._clock.now(),
            )
        )

    def apply(self, notice: BrittleNotice) -> bool:
        """Apply a notice that this instance or a peer has read."""
        known = self._notices.get(notice.endpoint)
        is_irrelevant = notice.tolerance is None and known is None
        if is_irrelevant and notice.service not in self._tolerances:
            return False
        order = (notice.started_at, notice.at)
        if known is not None and order < (known.started_at, known.at):
            return False
        self._notices[notice.endpoint] = notice
        is_same_process = known is not None and known.started_at == notice.started_at
        if known is None or known.tolerance != notice.tolerance or not is_same_process:
            self._update_tolerances()
        former = known.tolerance if known is not None and is_same_process else None
        return former != notice.tolerance

    def tolerance(self, endpoint: Endpoint) -> float | None:
        """Return the rejections a second that a process tolerates; None for any."""
        if not self._tolerances:
            return None
        notice = self._notices.get(endpoint.id)
        if notice is not None and notice.started_at == endpoint.started_at:
            return notice.tolerance
        return self._tolerances.get(endpoint.service)

    def notices(self) -> list[BrittleNotice]:
        """Return the notices for peers, the latest first."""
        if not self._notices:
            return []
        recent = self._clock.now() - NOTICE_TIME
        return sorted(
            (
                item
                for item in self._notices.values()
                if item.tolerance is not None or item.at >= recent
            ),
            key=lambda item: -item.at,
        )[:MAX_REPORTS]

    def forget(self, *, is_announced: Callable[[EndpointId], bool]) -> None:
        """Forget endpoints that are gone or not brittle; called periodically."""
        if not self._notices:
            return
        recent = self._clock.now() - NOTICE_TIME
        self._notices = {
            name: item
            for name, item in self._notices.items()
            if item.at >= recent or (item.tolerance is not None and is_announced(name))
        }
        self._update_tolerances()

    def _update_tolerances(self) -> None:
        self._tolerances = {}
        for notice in self._notices.values():
            if notice.tolerance is not None:
                known = self._tolerances.get(notice.service, notice.tolerance)
                self._tolerances[notice.service] = min(known, notice.tolerance)
