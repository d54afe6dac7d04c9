"""Runs the traffic of one deployment and returns its totals."""

import asyncio
from collections.abc import Callable
from random import Random

from fuchsiaroute.clock import Clock
from fuchsiaroute.configuration import Configuration
from fuchsiaroute.demo._caller import Caller, Exchange
from fuchsiaroute.demo._deployment import RunningDeployment, start_deployment
from fuchsiaroute.demo._report import DeploymentReport, summarise

REQUESTS_PER_ORGANISATION = 20


async def run_deployment(
    declared: Configuration,
    *,
    key_of: Callable[[str], str],
    clock: Clock,
    seed: int,
) -> DeploymentReport:
    """Serve requests of every organisation in ``declared`` and return the totals."""
    deployment = await start_deployment(declared, clock=clock)
    try:
        exchanges = await _run_callers(
            deployment, key_of=key_of, clock=clock, seed=seed
        )
        await deployment.drain()
        return await summarise(deployment, exchanges)
    finally:
        await deployment.stop()


async def _run_callers(
    deployment: RunningDeployment,
    *,
    key_of: Callable[[str], str],
    clock: Clock,
    seed: int,
) -> list[Exchange]:
    callers = [
        Caller(
            organisation=organisation,
            key=key_of(organisation.id),
            configuration=deployment.configuration,
            clock=clock,
            random=Random(f"{seed}-{organisation.id}"),
        )
        for organisation in deployment.configuration.organisations
    ]
    batches = await asyncio.gather(
        *(
            _run_caller(caller, deployment.urls[number % len(deployment.urls)])
            for number, caller in enumerate(callers)
        )
    )
    for caller in callers:
        await caller.close()
    return [exchange for batch in batches for exchange in batch]


async def _run_caller(caller: Caller, first_url: str) -> list[Exchange]:
    entry_url = await caller.choose_entry(first_url)
    return [await caller.send(entry_url) for _ in range(REQUESTS_PER_ORGANISATION)]
