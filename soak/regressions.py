"""
Schedules that failed in the past, each with the cause; run with ``--kept``.

Any change to the way schedules are drawn changes all of them. New kinds of fault are
therefore added last, and a regression whose schedule can no longer be drawn is replaced
by a test of its cause.
"""

from dataclasses import dataclass

from fuchsiaroute.clock import Milliseconds
from soak._schedule import FAULTS_PER_SECOND, LAST_GENERATION


@dataclass(frozen=True, kw_only=True)
class SoakCase:
    """A schedule and the number of instances to run it on."""

    seed: int
    length: Milliseconds
    instances: int
    rate: float = FAULTS_PER_SECOND
    #: Generation of kinds of faults up to which the schedule holds them.
    generation: int = LAST_GENERATION
    #: Cause of the failure; empty for a schedule that has not failed.
    cause: str = ""


REGRESSION_CASES = (
    SoakCase(
        seed=74034915,
        length=Milliseconds(30_000),
        instances=6,
        generation=0,
        cause="SIGHUP terminated a process that had not installed its handler yet",
    ),
    SoakCase(
        seed=17,
        length=Milliseconds(20_000),
        instances=4,
        rate=0.9,
        generation=0,
        cause="the soak test ended an evacuation while a second one was active",
    ),
    SoakCase(
        seed=15,
        length=Milliseconds(20_000),
        instances=4,
        rate=0.9,
        generation=0,
        cause="the soak test counted an instance that no caller chose as down",
    ),
    SoakCase(
        seed=1803733383,
        length=Milliseconds(30_000),
        instances=6,
        generation=0,
        cause="the soak test listed a draining endpoint as ready again",
    ),
    SoakCase(
        seed=598043014,
        length=Milliseconds(20_000),
        instances=6,
        generation=0,
        cause=(
            "instances started at the same time had found only some of the others, and "
            "divided the request rate of cold endpoints among too few"
        ),
    ),
    SoakCase(
        seed=2022399685,
        length=Milliseconds(15_000),
        instances=4,
        generation=1,
        cause="the soak test removed an evacuation that was ordered after a restore",
    ),
    SoakCase(
        seed=1834070375,
        length=Milliseconds(15_000),
        instances=4,
        generation=1,
        cause="the soak test undid what endpoints wrote between two restores",
    ),
)
