"""Request and response bodies, shared with the stand-in of the platform."""

import msgspec

from fuchsiaroute.store._instance_list import InstanceRecord
from fuchsiaroute.store._rating import Rating
from fuchsiaroute.store._table_store import Record


class ReadRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /table/read``."""

    keys: tuple[str, ...]


class ScanRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /table/scan``."""

    prefix: str
    limit: int


class RecordsResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response to reads and scans; values are base64-encoded."""

    records: tuple[Record, ...]


class CommitResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response to ``POST /table/commit``, whose body is a ``Transaction``."""

    is_committed: bool
    #: The records of the checked keys if the transaction was not committed.
    records: tuple[Record, ...] = ()


class InstancesResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response to ``GET /instances``."""

    instances: tuple[InstanceRecord, ...]


class RatingsRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /ratings``, which adds ratings to the stand-in."""

    ratings: tuple[Rating, ...]


class OrderRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /orders`` of an engine."""

    kind: str
    version: str
    fencing: int


class LoadedResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response to ``GET /orders/loaded`` of an engine."""

    versions: tuple[str, ...]
