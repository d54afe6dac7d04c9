"""Runs the soak test: ``python -m soak SEED...``."""

import asyncio
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from random import SystemRandom
from typing import Annotated

from cyclopts import App, Parameter

from fuchsiaroute.clock import Milliseconds
from soak._networks import claim_network
from soak._run import Result, run
from soak._schedule import FAULTS_PER_SECOND, Fault, draw_schedule
from soak.regressions import REGRESSION_CASES, SoakCase

app = App(name="soak", help=__doc__)
_MAX_PRINTED_VIOLATIONS = 5
_SEED_RANGE = 1 << 31


@app.default
def main(
    *seeds: int,
    fresh: int = 0,
    kept: bool = False,
    instances: int = 4,
    seconds: float = 15.0,
    rate: float = FAULTS_PER_SECOND,
    jobs: int = 1,
    timed: bool = True,
    logs: Path | None = None,
    show: Annotated[bool, Parameter(name="--show-schedule")] = False,
) -> int:
    """
    Run the schedules of seeds and check the product's guarantees.

    Parameters
    ----------
    seeds
        Seeds to run; equal seeds give equal schedules.
    fresh
        Number of random seeds to run in addition.
    kept
        Also run the schedules that failed in the past.
    instances
        Instances of the node program in each run.
    seconds
        Duration of a schedule.
    rate
        Faults per second of a schedule.
    jobs
        Number of runs in parallel.
    timed
        Also check times and rates, which can fail on a busy machine.
    logs
        Directory for the logs of all instances, by seed.
    show
        Print the schedules without running them.

    """
    drawn = [SystemRandom().randrange(_SEED_RANGE) for _ in range(fresh)]
    length = Milliseconds(round(seconds * 1_000))
    cases = [
        SoakCase(seed=seed, length=length, instances=instances, rate=rate)
        for seed in (*seeds, *drawn)
    ]
    cases += REGRESSION_CASES if kept else ()
    if show:
        for case in cases:
            print(f"seed {case.seed}")
            for fault in _schedule(case):
                print(f"  {fault}")
        return 0
    folder = logs or Path(tempfile.mkdtemp(prefix="soak-"))
    failed = asyncio.run(_run_all(cases, jobs, timed=timed, folder=folder))
    print(f"{len(cases) - failed} passed, {failed} failed")
    return 1 if failed else 0


def _schedule(case: SoakCase) -> tuple[Fault, ...]:
    return draw_schedule(
        case.seed,
        length=case.length,
        rate=case.rate,
        generation=case.generation,
    )


async def _run_all(
    cases: Sequence[SoakCase], jobs: int, *, timed: bool, folder: Path
) -> int:
    waiting = list(enumerate(cases))
    failed = 0

    async def work() -> None:
        nonlocal failed
        claim, network = claim_network()
        while waiting:
            number, case = waiting.pop(0)
            run_folder = folder / f"{number}-{case.seed}"
            run_folder.mkdir(parents=True, exist_ok=True)
            result = await run(
                case.seed,
                _schedule(case),
                instances=case.instances,
                length=case.length,
                network=network,
                folder=run_folder,
                has_timed_checks=timed,
            )
            failed += not result.has_passed
            _report(case.seed, result, run_folder)
        claim.close()

    await asyncio.gather(*(work() for _ in range(jobs)))
    return failed


def _report(seed: int, result: Result, folder: Path) -> None:
    verdict = "kept" if result.has_passed else f"BROKEN, logs in {folder}"
    print(
        f"seed {seed}: {result.requests} requests, {result.answered} answered, "
        f"{result.runs} at endpoints: {verdict}",
        flush=True,
    )
    for name, found in result.violations.items():
        for line in found[:_MAX_PRINTED_VIOLATIONS]:
            print(f"  {name}: {line}", flush=True)
        if len(found) > _MAX_PRINTED_VIOLATIONS:
            print(f"  {name}: {len(found) - _MAX_PRINTED_VIOLATIONS} more", flush=True)


if __name__ == "__main__":
    sys.exit(app())
