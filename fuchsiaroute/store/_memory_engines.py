"""In-memory fakes of model engines and their order interface."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from returns.result import Failure, Result, Success

from fuchsiaroute.ids import EndpointId, FencingNumber, VersionId
from fuchsiaroute.store._engine import Order, OrderError, OrderKind


@dataclass(kw_only=True)
class MemoryEngine:
    """One engine: its versions and the highest fencing number received."""

    is_fencing_checked: bool = True
    loaded: set[VersionId] = field(default_factory=set)
    highest_fencing: FencingNumber = FencingNumber(0)
    #: Orders that took effect, oldest first.
    applied: list[Order] = field(default_factory=list)

    def apply(self, order: Order) -> Result[None, OrderError]:
        """Apply ``order``, or refuse an outdated one if fencing is checked."""
        if self.is_fencing_checked and order.fencing < self.highest_fencing:
            return Failure(OrderError.FENCED)
        self.highest_fencing = max(self.highest_fencing, order.fencing)
        self.applied.append(order)
        if order.kind is OrderKind.LOAD_VERSION:
            self.loaded.add(order.version)
        else:
            self.loaded.discard(order.version)
        return Success(None)


class OrderFault(Enum):
    """A fault that can be injected into a single order."""

    #: The order reaches its engine and is confirmed.
    NONE = "none"
    #: The order does not reach the engine.
    NOT_DELIVERED = "not-delivered"
    #: The order takes effect; its answer is lost.
    ANSWER_LOST = "answer-lost"
    #: The order reaches its engine only when ``deliver_delayed`` is called.
    DELAYED = "delayed"


class MemoryEngineOrders:
    """Orders to engines in the same process; implements ``EngineOrders``."""

    def __init__(self, engines: dict[EndpointId, MemoryEngine]) -> None:
        self._engines = engines
        self._delayed: list[Order] = []
        #: Faults of the next orders, one each.
        self.queued_faults: deque[OrderFault] = deque()

    async def send(self, order: Order) -> Result[None, OrderError]:
        """Send ``order`` and wait for the engine's confirmation."""
        fault = self.queued_faults.popleft() if self.queued_faults else OrderFault.NONE
        if fault is OrderFault.DELAYED:
            self._delayed.append(order)
            return Failure(OrderError.UNKNOWN)
        if fault is OrderFault.NOT_DELIVERED:
            return Failure(OrderError.REFUSED)
        outcome = self._engines[order.endpoint].apply(order)
        if fault is OrderFault.ANSWER_LOST:
            return Failure(OrderError.UNKNOWN)
        return outcome

    async def loaded(
        self, endpoint: EndpointId
    ) -> Result[frozenset[VersionId], OrderError]:
        """Return the versions that the engine has loaded."""
        return Success(frozenset(self._engines[endpoint].loaded))

    def deliver_delayed(self) -> None:
        """Deliver the orders that were kept back under ``OrderFault.DELAYED``."""
        delayed, self._delayed = self._delayed, []
        for order in delayed:
            self._engines[order.endpoint].apply(order)
