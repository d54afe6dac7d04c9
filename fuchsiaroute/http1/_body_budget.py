"""A bound on the bytes of request bodies held at once."""


class BodyBudget:
    """Counts the buffered body bytes of all callers' connections of a process."""

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._used = 0

    @property
    def used(self) -> int:
        """Return the bytes held now."""
        return self._used

    def reserve(self, size: int) -> bool:
        """Reserve ``size`` bytes; return whether there was room for them."""
        if self._used + size > self._limit:
            return False
        self._used += size
        return True

    def release(self, size: int) -> None:
        """Release ``size`` bytes."""
        self._used -= size
