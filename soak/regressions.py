"""
Schedules that once failed, each with its cause; they are played with ``--kept``.

A change of how schedules are drawn changes them all: new kinds of fault go to the end,
and a schedule that is no longer drawn is replaced by a test of its cause.
"""

from dataclasses import dataclass

from fuchsiaroute.clock import Milliseconds
from soak._schedule import RATE


@dataclass(frozen=True, kw_only=True)
class Play:
    """A schedule and the size of the fleet that it strikes."""

    seed: int
    length: Milliseconds
    instances: int
    rate: float = RATE
    #: What was wrong; empty for a schedule that has not failed.
    cause: str = ""


KEPT = (
    Play(
        seed=74034915,
        length=Milliseconds(30_000),
        instances=6,
        cause="SIGHUP ended a process that had not installed its handlers yet",
    ),
    Play(
        seed=17,
        length=Milliseconds(20_000),
        instances=4,
        rate=0.9,
        cause="the soak ended an evacuation while a second one held",
    ),
    Play(
        seed=15,
        length=Milliseconds(20_000),
        instances=4,
        rate=0.9,
        cause="the soak took an instance that no caller chose for one that is down",
    ),
    Play(
        seed=1803733383,
        length=Milliseconds(30_000),
        instances=6,
        cause="the soak announced a leaving endpoint as ready again",
    ),
    Play(
        seed=598043014,
        length=Milliseconds(20_000),
        instances=6,
        cause=(
            "instances that started at once knew only some of the others, and divided "
            "the rate of cold endpoints among too few"
        ),
    ),
)
