"""The platform's services, each behind a small protocol class."""

from fuchsiaroute.platform._engine import EngineOrders, Order, OrderError, OrderKind
from fuchsiaroute.platform._instance_list import (
    InstanceList,
    InstanceRecord,
    InstanceState,
)
from fuchsiaroute.platform._memory import (
    MemoryInstanceList,
    MemoryTableStore,
    StoreFault,
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
    "Check",
    "Committed",
    "Conflict",
    "EngineOrders",
    "InstanceList",
    "InstanceRecord",
    "InstanceState",
    "MemoryInstanceList",
    "MemoryTableStore",
    "ObjectStore",
    "Order",
    "OrderError",
    "OrderKind",
    "Put",
    "Rating",
    "RatingPage",
    "RatingService",
    "Record",
    "StoreError",
    "StoreErrorKind",
    "StoreFault",
    "TableStore",
    "Transaction",
]
