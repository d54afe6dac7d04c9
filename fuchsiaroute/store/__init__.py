"""Protocol classes of the platform's services, their clients and in-memory fakes."""

from fuchsiaroute.store._budget import BUDGETS, StoreBudget, StoreFunction, TokenBucket
from fuchsiaroute.store._circuit import CircuitBreaker, CircuitState
from fuchsiaroute.store._client import (
    StoreClient,
    StoreView,
    TimedOut,
    run_with_timeout,
)
from fuchsiaroute.store._engine import EngineOrders, Order, OrderError, OrderKind
from fuchsiaroute.store._instance_list import (
    InstanceList,
    InstanceRecord,
    InstanceState,
)
from fuchsiaroute.store._memory import (
    FaultInjector,
    MemoryInstanceList,
    MemoryObjectStore,
    MemoryRatingService,
    MemoryTableStore,
    StoreFault,
)
from fuchsiaroute.store._memory_engines import (
    MemoryEngine,
    MemoryEngineOrders,
    OrderFault,
)
from fuchsiaroute.store._object_store import ObjectStore
from fuchsiaroute.store._position import (
    MAX_ERA,
    MAX_VERSION,
    StorePosition,
    era_of,
    store_position,
    version_of,
)
from fuchsiaroute.store._rating import Rating, RatingPage, RatingService
from fuchsiaroute.store._table_store import (
    ABSENT,
    Check,
    Committed,
    Conflict,
    Put,
    Record,
    StoreError,
    StoreErrorKind,
    TableStore,
    Transaction,
)

__all__ = [
    "ABSENT",
    "BUDGETS",
    "MAX_ERA",
    "MAX_VERSION",
    "Check",
    "CircuitBreaker",
    "CircuitState",
    "Committed",
    "Conflict",
    "EngineOrders",
    "FaultInjector",
    "InstanceList",
    "InstanceRecord",
    "InstanceState",
    "MemoryEngine",
    "MemoryEngineOrders",
    "MemoryInstanceList",
    "MemoryObjectStore",
    "MemoryRatingService",
    "MemoryTableStore",
    "ObjectStore",
    "Order",
    "OrderError",
    "OrderFault",
    "OrderKind",
    "Put",
    "Rating",
    "RatingPage",
    "RatingService",
    "Record",
    "StoreBudget",
    "StoreClient",
    "StoreError",
    "StoreErrorKind",
    "StoreFault",
    "StoreFunction",
    "StorePosition",
    "StoreView",
    "TableStore",
    "TimedOut",
    "TokenBucket",
    "Transaction",
    "era_of",
    "run_with_timeout",
    "store_position",
    "version_of",
]
