"""The slots of cold endpoints that this entry may fill."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.endpoints import MAX_REQUEST_DURATION
from fuchsiaroute.ids import EndpointId

#: Silence of the process's own timer after which it counts as having been paused.
PAUSE_THRESHOLD = Milliseconds(10_000)


@dataclass(frozen=True, kw_only=True, order=True)
class ColdSlot:
    """The right to have one request at an endpoint while it is cold."""

    endpoint: EndpointId
    #: From 0 to one less than the endpoint's ``cold_capacity``.
    number: int


class ColdSlots:
    """
    Owned slots of cold endpoints and their use.

    A pause of the process suspends all slots until the ownership has been confirmed
    again, because another entry may have been given them meanwhile.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._owned: Counter[EndpointId] = Counter()
        self._endpoints: frozenset[EndpointId] = frozenset()
        self._used: Counter[EndpointId] = Counter()
        self._held_until: dict[EndpointId, list[Milliseconds]] = {}
        self._ticked_at = clock.now()
        self._ticked_at_wall = clock.wall()
        self._is_suspended = False

    @property
    def endpoints(self) -> frozenset[EndpointId]:
        """Return the endpoints of which a slot is owned."""
        return self._endpoints

    @property
    def is_suspended(self) -> bool:
        """Return whether the slots must be confirmed before they are used again."""
        return self._is_suspended or self._was_paused()

    def tick(self) -> None:
        """Show that the process runs; to be called about once a second."""
        if self._was_paused():
            self._is_suspended = True
        self._ticked_at = self._clock.now()
        self._ticked_at_wall = self._clock.wall()

    def confirm(self, slots: Iterable[ColdSlot]) -> None:
        """Take over the owned slots, as read from the store since the last tick."""
        if self._was_paused():
            return
        self._owned = Counter(slot.endpoint for slot in slots)
        self._endpoints = frozenset(self._owned)
        self._is_suspended = False

    def suspend(self) -> None:
        """Use no slot until the next confirmation."""
        self._is_suspended = True

    def is_available(self, endpoint: EndpointId) -> bool:
        """Return whether one more request may go to the cold endpoint."""
        owned = self._owned[endpoint]
        if owned == 0 or self.is_suspended:
            return False
        return self._occupied(endpoint) < owned

    def is_used(self, endpoint: EndpointId) -> bool:
        """Return whether a request of this entry may be at the cold endpoint."""
        return self._occupied(endpoint) > 0

    def take(self, endpoint: EndpointId) -> None:
        """Fill one available slot."""
        self._used[endpoint] += 1

    def free(self, endpoint: EndpointId, *, is_settled: bool) -> None:
        """
        Empty one slot.

        Unless ``is_settled``, the endpoint may still work on the request, and the
        slot stays occupied for the longest time that a request can take.
        """
        self._used[endpoint] -= 1
        if not is_settled:
            until = Milliseconds(self._clock.now() + MAX_REQUEST_DURATION)
            self._held_until.setdefault(endpoint, []).append(until)

    def restarted(self, endpoint: EndpointId) -> None:
        """Empty slots held for requests that ended with the former incarnation."""
        self._held_until.pop(endpoint, None)

    def _occupied(self, endpoint: EndpointId) -> int:
        used = self._used[endpoint]
        if endpoint not in self._held_until:
            return used
        now = self._clock.now()
        held = [until for until in self._held_until[endpoint] if until > now]
        self._held_until[endpoint] = held
        return used + len(held)

    def _was_paused(self) -> bool:
        # The monotonic clock may stand still while a whole machine is suspended.
        since_tick = self._clock.now() - self._ticked_at
        since_tick_wall = self._clock.wall() - self._ticked_at_wall
        return max(since_tick, since_tick_wall) > PAUSE_THRESHOLD
