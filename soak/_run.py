"""One soak run: starts a fleet, sends traffic, injects faults and runs the checks."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random

from fuchsiaroute.clock import BootClock, Milliseconds
from fuchsiaroute.platform.tests.failing_store import StoreMode
from fuchsiaroute.platform.tests.soak_platform import RECOVERY
from soak._checks import TIMED_CHECKS, UNTIMED_CHECKS
from soak._evidence import Check, Evidence
from soak._faults import Injector
from soak._fleet import Fleet
from soak._schedule import SETTLE_TIME, Fault
from soak._traffic import Traffic

_CALLERS_PER_INSTANCE = 6
#: Recovery time when times are not checked. A busy machine is slow, but an instance
#: that has not recovered by then never does.
_UNTIMED_RECOVERY = Milliseconds(60_000)
_POLL_INTERVAL = Milliseconds(200)


@dataclass(frozen=True, kw_only=True)
class Result:
    """Violations found in one run, and the numbers of its requests."""

    #: Violation messages by the name of the check.
    violations: Mapping[str, Sequence[str]]
    requests: int
    answered: int
    runs: int

    @property
    def has_passed(self) -> bool:
        """Whether no check found a violation."""
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
    """Run a schedule and the checks; logs are written to ``folder``."""
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
        traffic.start(_CALLERS_PER_INSTANCE * instances)
        traffic.start_staying()
        begin = clock.now()
        injector = Injector(fleet, traffic)
        faults = []
        for fault in schedule:
            await clock.sleep(Milliseconds(max(begin + fault.at - clock.now(), 0)))
            faults.append(asyncio.create_task(injector.inject(fault)))
        await clock.sleep(Milliseconds(max(begin + length - clock.now(), 0)))
        await asyncio.gather(*faults)
        assert fleet.store.mode is StoreMode.SOUND
        within = RECOVERY if has_timed_checks else _UNTIMED_RECOVERY
        await _wait_for_recovery(fleet, traffic, within)
        await traffic.stop()
        await clock.sleep(SETTLE_TIME)
    finally:
        await fleet.close()
    runs = [run for endpoint in fleet.all_endpoints for run in endpoint.runs]
    return _run_checks(
        fleet, Evidence(fleet.record, runs, fleet.instances), has_timed_checks
    )


def _run_checks(fleet: Fleet, evidence: Evidence, has_timed_checks: bool) -> Result:
    checks: dict[str, Check] = dict(UNTIMED_CHECKS)
    if has_timed_checks:
        checks |= TIMED_CHECKS
    record = fleet.record
    return Result(
        violations={name: list(check(evidence)) for name, check in checks.items()},
        requests=len(record.requests),
        answered=sum(item.status == 200 and item.is_whole for item in record.requests),
        runs=len(evidence.runs),
    )


async def _wait_for_recovery(
    fleet: Fleet, traffic: Traffic, within: Milliseconds
) -> None:
    """Wait until all instances are ready and serve; record those that do not."""
    started_at = fleet.clock.now()
    waiting = {node.instance.name: node for node in fleet.nodes}
    while waiting and fleet.clock.now() - started_at < within:
        await fleet.clock.sleep(_POLL_INTERVAL)
        for name, node in list(waiting.items()):
            if await fleet.is_ready(node) and await traffic.is_served(node):
                del waiting[name]
    for name, node in waiting.items():
        state = "ready" if await fleet.is_ready(node) else "not ready"
        fleet.record.not_recovered.append(f"{name} is {state} after {within} ms")
