"""What is held against the older copy from which the store was restored."""

from fuchsiaroute.catalog._removals import RENEWAL_TIME
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.ids import EndpointId
from fuchsiaroute.platform import (
    EvacuationEnded,
    EvacuationOrdered,
    OrderChange,
    RolloutOrdered,
    RolloutOrderRemoved,
    Row,
)

#: Time after a restore of the store within which operators are expected to write again
#: what they wrote after the copy was made. Until then, orders that the copy lacks hold.
REWRITE_TIME = Milliseconds(10_000)
#: Time for which removed endpoints are remembered; copies are some seconds old.
REMOVAL_MEMORY = Milliseconds(30_000)


class RemovedEndpoints:
    """
    Endpoints that were removed recently, and announcements of them that are held back.

    A restored copy may announce a process that was removed after the copy was made. The
    platform removes it again; until then it is not used.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        #: Start and time of removal, in order of the removal.
        self._removed: dict[EndpointId, tuple[int, Milliseconds]] = {}
        self._held_back: dict[EndpointId, tuple[Row, Milliseconds]] = {}

    def remember(self, name: EndpointId, started_at: int) -> None:
        """Record the removal of a process."""
        now = self._clock.now()
        self._removed.pop(name, None)
        self._removed[name] = (started_at, now)
        while now - next(iter(self._removed.values()))[1] > REMOVAL_MEMORY:
            del self._removed[next(iter(self._removed))]

    def was_removed(self, name: EndpointId, started_at: int) -> bool:
        """Return whether a process was removed recently."""
        return name in self._removed and self._removed[name][0] == started_at

    def hold_back(self, name: EndpointId, row: Row) -> None:
        """Keep an announcement until the endpoint would have been removed again."""
        due = Milliseconds(self._clock.now() + RENEWAL_TIME)
        self._held_back[name] = (row, due)

    def drop_held_back(self, name: EndpointId) -> None:
        """Drop an announcement that is held back, as a later row has arrived."""
        self._held_back.pop(name, None)

    def due(self) -> list[tuple[EndpointId, Row]]:
        """Return the announcements to apply now; each is returned once."""
        now = self._clock.now()
        found = [
            (name, row) for name, (row, due) in self._held_back.items() if due <= now
        ]
        for name, _ in found:
            del self._held_back[name]
        return found


class UnconfirmedOrders:
    """Orders that a restored copy lacks and that hold until written again."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._due: dict[OrderChange, Milliseconds] = {}

    def __len__(self) -> int:
        return len(self._due)

    def __contains__(self, removal: OrderChange) -> bool:
        return removal in self._due

    def defer(self, removal: OrderChange) -> None:
        """Defer the removal of an order."""
        due = Milliseconds(self._clock.now() + REWRITE_TIME)
        self._due.setdefault(removal, due)

    def confirm(self, change: OrderChange) -> None:
        """Drop the deferred removal of the order that ``change`` is about."""
        removal = _removal_of(change)
        if removal is not None:
            self._due.pop(removal, None)

    def due(self) -> list[OrderChange]:
        """Return the removals to apply now; each is returned once."""
        now = self._clock.now()
        found = [removal for removal, due in self._due.items() if due <= now]
        for removal in found:
            del self._due[removal]
        return found


def _removal_of(change: OrderChange) -> OrderChange | None:
    """Return the change that ends an order; None for a declaration and the like."""
    if isinstance(change, EvacuationOrdered | EvacuationEnded):
        return EvacuationEnded(change.failure_domain)
    if isinstance(change, RolloutOrdered):
        return RolloutOrderRemoved(change.order.service)
    if isinstance(change, RolloutOrderRemoved):
        return change
    return None
