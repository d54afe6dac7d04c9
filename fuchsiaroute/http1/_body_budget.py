"""Limit on the bytes of request bodies that are buffered at the same time."""


class BodyBudget:
    """Counts the buffered body bytes of all server connections of a process."""

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._used = 0

    @property
    def used(self) -> int:
        """Return the bytes that are reserved."""
        return self._used

    def reserve(self, size: int) -> bool:
        """Reserve ``size`` bytes; return False if this would exceed the limit."""
        if self._used + size > self._limit:
            return False
        self._used += size
        return True

    def release(self, size: int) -> None:
        """Release ``size`` bytes."""
        self._used -= size
