"""Clocks in milliseconds; all decisions that depend on time use them."""

from fuchsiaroute.clock._clock import Clock, Milliseconds
from fuchsiaroute.clock._manual import ManualClock
from fuchsiaroute.clock._system import BootClock, SystemClock

__all__ = ["BootClock", "Clock", "ManualClock", "Milliseconds", "SystemClock"]
