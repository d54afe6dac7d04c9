"""Sequential test for a bad version, and the rating counts that it evaluates."""

from fuchsiaroute.sequential._evidence import Evidence
from fuchsiaroute.sequential._likelihood import ALTERNATIVES
from fuchsiaroute.sequential._sequential_test import (
    DEFAULT_FALSE_ALARM_RATE,
    SequentialTest,
    TestOutcome,
)
from fuchsiaroute.sequential._trial import Trial

__all__ = [
    "ALTERNATIVES",
    "DEFAULT_FALSE_ALARM_RATE",
    "Evidence",
    "SequentialTest",
    "TestOutcome",
    "Trial",
]
