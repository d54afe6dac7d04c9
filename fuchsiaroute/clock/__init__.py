"""Time in milliseconds: the only source of time for every decision."""

from fuchsiaroute.clock._clock import Clock, Milliseconds
from fuchsiaroute.clock._manual import ManualClock
from fuchsiaroute.clock._system import SystemClock

__all__ = ["Clock", "ManualClock", "Milliseconds", "SystemClock"]
