"""The platform's services, each behind a small protocol class."""

from fuchsiaroute.platform._budget import BUDGETS, Pacer, StoreBudget, StoreFunction
from fuchsiaroute.platform._circuit import Circuit, CircuitState
from fuchsiaroute.platform._client import StoreClient, StoreView, TimedOut, within
from fuchsiaroute.platform._engine import EngineOrders, Order, OrderError, OrderKind
from fuchsiaroute.platform._http import new_http_client
from fuchsiaroute.platform._http_services import (
    HttpEngineOrders,
    HttpInstanceList,
    HttpRatingService,
)
from fuchsiaroute.platform._http_stores import HttpObjectStore, HttpTableStore
from fuchsiaroute.platform._instance_list import (
    InstanceList,
    InstanceRecord,
    InstanceState,
)
from fuchsiaroute.platform._memory import (
    FaultSwitch,
    MemoryInstanceList,
    MemoryObjectStore,
    MemoryRatingService,
    MemoryTableStore,
    StoreFault,
)
from fuchsiaroute.platform._memory_engines import (
    MemoryEngine,
    MemoryEngineOrders,
    OrderFault,
)
from fuchsiaroute.platform._object_store import ObjectStore
from fuchsiaroute.platform._rating import Rating, RatingPage, RatingService
from fuchsiaroute.platform._table_store import (
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
    "Check",
    "Circuit",
    "CircuitState",
    "Committed",
    "Conflict",
    "EngineOrders",
    "FaultSwitch",
    "HttpEngineOrders",
    "HttpInstanceList",
    "HttpObjectStore",
    "HttpRatingService",
    "HttpTableStore",
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
    "Pacer",
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
    "StoreView",
    "TableStore",
    "TimedOut",
    "Transaction",
    "new_http_client",
    "within",
]
