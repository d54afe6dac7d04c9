"""The clock interface."""

from abc import ABC, abstractmethod
from typing import NewType

#: A duration or an instant, in milliseconds.
Milliseconds = NewType("Milliseconds", int)


class Clock(ABC):
    """
    Source of time and of delays.

    ``now()`` is for durations inside one process. ``wall()`` is for instants that
    other processes read, such as deadlines and leases.
    """

    @abstractmethod
    def now(self) -> Milliseconds:
        """Return a monotonic instant in milliseconds, with an arbitrary origin."""

    @abstractmethod
    def wall(self) -> Milliseconds:
        """Return the time since the Unix epoch in milliseconds."""

    @abstractmethod
    async def sleep(self, duration: Milliseconds) -> None:
        """Suspend the calling task for ``duration`` milliseconds."""
