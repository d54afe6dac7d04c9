"""Concurrency slots of cold endpoints that this entry owns."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.endpoints import MAX_REQUEST_DURATION
from fuchsiaroute.ids import EndpointId

#: Time between two ticks above which the process counts as having been paused.
PAUSE_THRESHOLD = Milliseconds(10_000)


@dataclass(frozen=True, kw_only=True, order=True)
class ColdSlot:
    """The right to have one request in flight at an endpoint while it is cold."""

    endpoint: EndpointId
    #: From 0 to one less than the endpoint's ``cold_capacity``.
    number: int


class ColdSlots:
    """
    The owned slots of cold endpoints and which of them are in use.

    A pause of the process suspends all slots until their ownership is confirmed again,
    because another entry may have claimed them during the pause.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._owned: Counter[EndpointId] = Counter()
        self._endpoints: frozenset[EndpointId] = frozenset()
        self._used: Counter[EndpointId] = Counter()
        self._unsettled_until: dict[EndpointId, list[Milliseconds]] = {}
        self._ticked_at = clock.now()
        self._ticked_at_wall = clock.wall()
        self._is_suspended = False

    @property
    def endpoints(self) -> frozenset[EndpointId]:
        """Return the endpoints that this entry owns at least one slot of."""
        return self._endpoints

    @property
    def is_suspended(self) -> bool:
        """Return whether the slots must be confirmed before they are used again."""
        return self._is_suspended or self._was_paused()

    def tick(self) -> None:
        """Record that the process is running; must be called about once a second."""
        if self._was_paused():
            self._is_suspended = True
        self._ticked_at = self._clock.now()
        self._ticked_at_wall = self._clock.wall()

    def confirm(self, slots: Iterable[ColdSlot]) -> None:
        """Replace the owned slots by those read from the store since the last tick."""
        if self._was_paused():
            return
        self._owned = Counter(slot.endpoint for slot in slots)
        self._endpoints = frozenset(self._owned)
        self._is_suspended = False

    def suspend(self) -> None:
        """Suspend all slots until the next ``confirm``."""
        self._is_suspended = True

    def is_available(self, endpoint: EndpointId) -> bool:
        """Return whether one more request may be sent to the cold endpoint."""
        owned = self._owned[endpoint]
        if owned == 0 or self.is_suspended:
            return False
        return self._occupied(endpoint) < owned

    def is_used(self, endpoint: EndpointId) -> bool:
        """Return whether a request of this entry may be running at the endpoint."""
        return self._occupied(endpoint) > 0

    def acquire(self, endpoint: EndpointId) -> None:
        """Occupy one available slot."""
        self._used[endpoint] += 1

    def release(self, endpoint: EndpointId, *, is_settled: bool) -> None:
        """
        Release one slot.

        Without ``is_settled`` the endpoint may still be working on the request, and the
        slot stays occupied for ``MAX_REQUEST_DURATION``.
        """
        self._used[endpoint] -= 1
        if not is_settled:
            until = Milliseconds(self._clock.now() + MAX_REQUEST_DURATION)
            self._unsettled_until.setdefault(endpoint, []).append(until)

    def release_unsettled(self, endpoint: EndpointId) -> None:
        """Release the slots of unsettled requests, which ended with a restart."""
        self._unsettled_until.pop(endpoint, None)

    def _occupied(self, endpoint: EndpointId) -> int:
        used = self._used[endpoint]
        if endpoint not in self._unsettled_until:
            return used
        now = self._clock.now()
        unsettled = [until for until in self._unsettled_until[endpoint] if until > now]
        self._unsettled_until[endpoint] = unsettled
        return used + len(unsettled)

    def _was_paused(self) -> bool:
        # The monotonic clock may stop while the whole machine is suspended.
        since_tick = self._clock.now() - self._ticked_at
        since_tick_wall = self._clock.wall() - self._ticked_at_wall
        return max(since_tick, since_tick_wall) > PAUSE_THRESHOLD
