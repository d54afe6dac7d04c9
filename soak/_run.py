"""One run: a fleet, its traffic, a schedule, and the checks afterwards."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random

from fuchsiaroute.clock import BootClock, Milliseconds
from fuchsiaroute.platform.tests.failing_store import StoreMode
from fuchsiaroute.platform.tests.soak_platform import RECOVERY
from soak._checks import CAUSAL, TIMED, Check, Evidence
from soak._faults import Injector
from soak._fleet import Fleet
from soak._schedule import LEAD, Fault
from soak._traffic import Traffic

#: Callers for each instance.
_CALLERS = 6
#: Time to recover where times are not checked: a busy machine is slow, and what has
#: not recovered by then never does.
_UNTIMED_RECOVERY = Milliseconds(60_000)
#: Pause between two looks at whether an instance has recovered.
_LOOK = Milliseconds(200)


@dataclass(frozen=True, kw_only=True)
class Result:
    """What one run found."""

    #: Violations by the name of the check.
    violations: Mapping[str, Sequence[str]]
    attempts: int
    answered: int
    runs: int

    @property
    def is_kept(self) -> bool:
        """Whether every promise was kept."""
        return not any(self.violations.values())


async def run(
    seed: int,
    schedule: Sequence[Fault],
    *,
    instances: int,
    length: Milliseconds,
    network: int,
    folder: Path,
    has_timed_checks: bool,
) -> Result:
    """Play a schedule and check what was seen; logs stay in ``folder``."""
    clock = BootClock()
    fleet = Fleet(
        count=instances,
        network=network,
        folder=folder,
        clock=clock,
        random=Random(f"endpoints:{seed}"),
    )
    try:
        await fleet.start()
        traffic = Traffic(fleet, seed=seed)
        traffic.start(_CALLERS * instances)
        begin = clock.now()
        injector = Injector(fleet, traffic)
        faults = []
        for fault in schedule:
            await clock.sleep(Milliseconds(max(begin + fault.at - clock.now(), 0)))
            faults.append(asyncio.create_task(injector.carry_out(fault)))
        await clock.sleep(Milliseconds(max(begin + length - clock.now(), 0)))
        await asyncio.gather(*faults)
        assert fleet.store.mode is StoreMode.SOUND
        within = RECOVERY if has_timed_checks else _UNTIMED_RECOVERY
        await _wait_for_recovery(fleet, traffic, within)
        await traffic.stop()
        await clock.sleep(LEAD)
    finally:
        await fleet.close()
    runs = [run for endpoint in fleet.all_endpoints for run in endpoint.runs]
    return _judge(
        fleet, Evidence(fleet.record, runs, fleet.instances), has_timed_checks
    )


def _judge(fleet: Fleet, evidence: Evidence, has_timed_checks: bool) -> Result:
    checks: dict[str, Check] = dict(CAUSAL)
    if has_timed_checks:
        checks |= TIMED
    record = fleet.record
    return Result(
        violations={name: list(check(evidence)) for name, check in checks.items()},
        attempts=len(record.attempts),
        answered=sum(item.status == 200 and item.is_whole for item in record.attempts),
        runs=len(evidence.runs),
    )


async def _wait_for_recovery(
    fleet: Fleet, traffic: Traffic, within: Milliseconds
) -> None:
    """Wait until each instance is ready and serves; note which do not in time."""
    began = fleet.clock.now()
    waiting = {place.instance.name: place for place in fleet.places}
    while waiting and fleet.clock.now() - began < within:
        await fleet.clock.sleep(_LOOK)
        for name, place in list(waiting.items()):
            if await fleet.is_ready(place) and await traffic.is_served(place):
                del waiting[name]
    for name, place in waiting.items():
        state = "ready" if await fleet.is_ready(place) else "not ready"
        fleet.record.not_recovered.append(f"{name} is {state} after {within} ms")
