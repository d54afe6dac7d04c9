"""Runs the soak: ``python -m soak SEED...``."""

import asyncio
import socket
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from random import SystemRandom
from typing import Annotated

from cyclopts import App, Parameter

from fuchsiaroute.clock import Milliseconds
from soak._run import Result, run
from soak._schedule import RATE, Fault, draw_schedule
from soak.regressions import KEPT, Play

app = App(name="soak", help=__doc__)
#: The N of the networks 127.0.N.0 that runs may use.
_NETWORKS = range(10, 250)
#: Port that is taken on a network while a run uses it.
_CLAIM_PORT = 17_341
#: Violations of one check that are printed.
_SHOWN = 5
_LARGEST_SEED = 1 << 31


@app.default
def main(
    *seeds: int,
    fresh: int = 0,
    kept: bool = False,
    instances: int = 4,
    seconds: float = 15.0,
    rate: float = RATE,
    jobs: int = 1,
    timed: bool = True,
    logs: Path | None = None,
    show: Annotated[bool, Parameter(name="--show-schedule")] = False,
) -> int:
    """
    Play the schedules of seeds and check the promises of the product.

    Parameters
    ----------
    seeds
        Seeds to play; equal seeds give equal schedules.
    fresh
        How many seeds to draw and play in addition.
    kept
        Play the schedules that once failed, too.
    instances
        Instances of the node program in each run.
    seconds
        Length of a schedule.
    rate
        Faults a second of a schedule.
    jobs
        Runs at the same time.
    timed
        Check times and rates, too; a busy machine breaks them.
    logs
        Folder that keeps the logs of all instances, by seed.
    show
        Print the schedules and play nothing.

    """
    drawn = [SystemRandom().randrange(_LARGEST_SEED) for _ in range(fresh)]
    length = Milliseconds(round(seconds * 1_000))
    plays = [
        Play(seed=seed, length=length, instances=instances, rate=rate)
        for seed in (*seeds, *drawn)
    ]
    plays += KEPT if kept else ()
    if show:
        for play in plays:
            print(f"seed {play.seed}")
            for fault in _schedule(play):
                print(f"  {fault}")
        return 0
    folder = logs or Path(tempfile.mkdtemp(prefix="soak-"))
    failed = asyncio.run(_play_all(plays, jobs, timed=timed, folder=folder))
    print(f"{len(plays) - failed} passed, {failed} failed")
    return 1 if failed else 0


def _schedule(play: Play) -> tuple[Fault, ...]:
    return draw_schedule(play.seed, length=play.length, rate=play.rate)


async def _play_all(
    plays: Sequence[Play], jobs: int, *, timed: bool, folder: Path
) -> int:
    waiting = list(enumerate(plays))
    failed = 0

    async def work() -> None:
        nonlocal failed
        claim, network = _claim_network()
        while waiting:
            number, play = waiting.pop(0)
            place = folder / f"{number}-{play.seed}"
            place.mkdir(parents=True, exist_ok=True)
            result = await run(
                play.seed,
                _schedule(play),
                instances=play.instances,
                length=play.length,
                network=network,
                folder=place,
                has_timed_checks=timed,
            )
            failed += not result.is_kept
            _report(play.seed, result, place)
        claim.close()

    await asyncio.gather(*(work() for _ in range(jobs)))
    return failed


def _claim_network() -> tuple[socket.socket, int]:
    """Return a network that no other run uses, while the socket is open."""
    for network in _NETWORKS:
        claim = socket.socket()
        try:
            claim.bind((f"127.0.{network}.254", _CLAIM_PORT))
        except OSError:
            # Another run uses it.
            claim.close()
        else:
            return claim, network
    raise RuntimeError("every network is in use by another run")


def _report(seed: int, result: Result, folder: Path) -> None:
    verdict = "kept" if result.is_kept else f"BROKEN, logs in {folder}"
    print(
        f"seed {seed}: {result.attempts} requests, {result.answered} answered, "
        f"{result.runs} at endpoints: {verdict}",
        flush=True,
    )
    for name, found in result.violations.items():
        for line in found[:_SHOWN]:
            print(f"  {name}: {line}", flush=True)
        if len(found) > _SHOWN:
            print(f"  {name}: {len(found) - _SHOWN} more", flush=True)


if __name__ == "__main__":
    sys.exit(app())
