"""Interface of the platform's object store."""

from typing import Protocol

from returns.result import Result

from fuchsiaroute.store._table_store import StoreError


class ObjectStore(Protocol):
    """Stores whole objects by key; the last write wins."""

    async def put(self, key: str, value: bytes) -> Result[None, StoreError]:
        """Store ``value`` under ``key``."""

    async def get(self, key: str) -> Result[bytes | None, StoreError]:
        """Return the object under ``key``, or None if there is none."""
