"""Interface for orders to model engines: load or unload a version."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from returns.result import Result

from fuchsiaroute.ids import EndpointId, FencingNumber, VersionId


class OrderKind(Enum):
    """Action that an order requests from an engine."""

    LOAD_VERSION = "load-version"
    UNLOAD_VERSION = "unload-version"


class OrderError(Enum):
    """Why an order was not confirmed."""

    #: The engine has received a higher fencing number.
    FENCED = "fenced"
    #: The engine refused the order for another reason; it had no effect.
    REFUSED = "refused"
    #: No answer; the order may have taken effect.
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True)
class Order:
    """An order to an engine; it is idempotent."""

    endpoint: EndpointId
    kind: OrderKind
    version: VersionId
    fencing: FencingNumber


class EngineOrders(Protocol):
    """Sends orders to model engines and reads their loaded versions."""

    async def send(self, order: Order) -> Result[None, OrderError]:
        """Send ``order`` and wait for the engine's confirmation."""

    async def loaded(
        self, endpoint: EndpointId
    ) -> Result[frozenset[VersionId], OrderError]:
        """Return the versions that the engine has loaded."""
