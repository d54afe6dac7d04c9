"""Clocks of the operating system."""

import asyncio
import time

from fuchsiaroute.clock._clock import Clock, Milliseconds

NANOSECONDS_PER_MILLISECOND = 1_000_000
MILLISECONDS_PER_SECOND = 1_000


class SystemClock(Clock):
    """Clock that reads the operating system's monotonic and wall clocks."""

    def now(self) -> Milliseconds:
        """Return the monotonic clock in milliseconds."""
        return Milliseconds(time.monotonic_ns() // NANOSECONDS_PER_MILLISECOND)

    def wall(self) -> Milliseconds:
        """Return the Unix time in milliseconds."""
        return Milliseconds(time.time_ns() // NANOSECONDS_PER_MILLISECOND)

    async def sleep(self, duration: Milliseconds) -> None:
        """Suspend the calling task for ``duration`` milliseconds."""
        await asyncio.sleep(duration / MILLISECONDS_PER_SECOND)


class BootClock(SystemClock):
    """
    Clock whose durations include the time for which the machine was suspended.

    After a suspension a process therefore detects that the state it holds is stale.
    """

    def now(self) -> Milliseconds:
        """Return the time since the machine started, in milliseconds."""
        return Milliseconds(
            time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_MILLISECOND
        )
