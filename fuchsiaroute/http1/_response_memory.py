"""What the response on a client connection holds of the budget of all responses."""

from collections.abc import Callable

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.http1._memory_budget import MemoryBudget

#: Memory of a header field, in addition to its bytes.
FIELD_BYTES = 150
#: Bytes of a response up to which it is not counted.
UNCOUNTED_BYTES = 16 * 1024


class ResponseMemory:
    """
    Counts a response in a budget, if there is one.

    ``on_evicted(reason)`` is called when the response has to be broken off, as it takes
    the room of others. A response that is complete is not.
    """

    def __init__(
        self,
        budget: MemoryBudget | None,
        *,
        clock: Clock,
        on_evicted: Callable[[str], None],
    ) -> None:
        self._budget = budget
        self._clock = clock
        self._on_evicted = on_evicted
        #: Bytes that the budget counts.
        self.held = 0
        #: Bytes that have not been read yet, and those of header fields.
        self._unread = 0
        #: Bytes that the reader has taken and still needs.
        self._kept = 0
        self._begun_at = clock.now()
        #: Whether a response is awaited, arriving or unread; bytes that arrive after
        #: it was given up are dropped.
        self._is_counted = False
        self._has_ended = True

    @property
    def held_since(self) -> Milliseconds:
        """Return when the present request was sent."""
        return self._begun_at

    @property
    def may_be_evicted(self) -> bool:
        """Return whether the present response has not ended."""
        return not self._has_ended

    def begin(self) -> None:
        """Begin to count the response to another request."""
        self._begun_at = self._clock.now()
        self._is_counted = True
        self._has_ended = False
        self._unread = self._kept = 0

    def hold(self, unread: int, *, fields: int) -> None:
        """Count ``unread`` bytes and the memory of header fields."""
        self._unread = unread + fields * FIELD_BYTES
        self._count()

    def keep(self, size: int) -> None:
        """Count ``size`` bytes that the reader needs until the response ends."""
        self._kept = size
        self._count()

    def complete(self) -> None:
        """Record that the response is whole; it counts until it is released."""
        self._has_ended = True

    def release(self) -> None:
        """Count nothing any more, as the response has been read or given up."""
        self._is_counted = False
        self._has_ended = True
        self._unread = self._kept = 0
        if self._budget is not None and self.held:
            self._budget.remove(self)

    def evict(self) -> None:
        """Break off the response."""
        self._has_ended = True
        self._on_evicted(
            f"no memory for {self.held} bytes of a response that has not ended"
        )

    def _count(self) -> None:
        held = self._unread + self._kept
        if self._budget is None or not self._is_counted:
            return
        if held <= UNCOUNTED_BYTES and not self.held:
            return
        if not self._budget.resize(self, held) and self.may_be_evicted:
            self.evict()
