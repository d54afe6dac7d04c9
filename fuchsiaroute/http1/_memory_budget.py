"""Limit on the memory that a process holds for all connections of a kind."""

from collections.abc import Iterator
from typing import Protocol

from fuchsiaroute.clock import Clock, Milliseconds


class MemoryHolder(Protocol):
    """A connection, with the memory that the budget counts for it."""

    #: Bytes that are counted; changed by the budget only.
    held: int

    @property
    def held_since(self) -> Milliseconds:
        """Return since when the connection has held more than an idle one."""
        ...

    @property
    def may_be_evicted(self) -> bool:
        """Return whether it can be closed without loss of a request that may run."""
        ...

    def evict(self) -> None:
        """Close the connection and release what it holds."""
        ...


class MemoryBudget:
    """
    Counts what connections of a process hold, as it is in memory.

    When the limit is reached, connections are closed until it is kept, first the one
    with the largest product of memory and time: a client that sends much and never
    completes a request, or reads no answers, does not take the room of the others, nor
    does an endpoint whose answer does not end.
    """

    def __init__(self, *, limit: int, clock: Clock) -> None:
        self._limit = limit
        self._clock = clock
        self._used = 0
        self._holders: dict[MemoryHolder, None] = {}

    @property
    def used(self) -> int:
        """Return the bytes that are counted."""
        return self._used

    @property
    def limit(self) -> int:
        """Return the bytes that may be held."""
        return self._limit

    @limit.setter
    def limit(self, limit: int) -> None:
        self._limit = limit

    def resize(self, holder: MemoryHolder, size: int) -> bool:
        """
        Count ``size`` bytes for ``holder`` in place of its former ones.

        Returns False if the limit is exceeded and ``holder`` itself is the connection
        to close, or none can be closed.
        """
        growth = size - holder.held
        holder.held = size
        self._used += growth
        self._holders[holder] = None
        if growth <= 0 or self._used <= self._limit:
            return True
        return self._make_room(holder)

    def remove(self, holder: MemoryHolder) -> None:
        """Count nothing for a connection that has ended."""
        self._used -= holder.held
        holder.held = 0
        self._holders.pop(holder, None)

    def _make_room(self, holder: MemoryHolder) -> bool:
        now = self._clock.now()
        for candidate in self._by_cost(now):
            if candidate is holder:
                return False
            candidate.evict()
            if self._used <= self._limit:
                return True
        return False

    def _by_cost(self, now: Milliseconds) -> Iterator[MemoryHolder]:
        """Yield the connections that can be closed, the costliest first."""
        found = [item for item in self._holders if item.may_be_evicted]
        found.sort(key=lambda item: -item.held * (now - item.held_since + 1))
        yield from found
