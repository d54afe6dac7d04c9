"""Traffic of one deployment and what came of it."""

import asyncio
import random
from collections.abc import Callable

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
    """Serve requests of every organisation of ``declared``; return the totals."""
    deployment = await start_deployment(declared, clock=clock)
    try:
        exchanges = await _exchange(deployment, key_of=key_of, clock=clock, seed=seed)
        await deployment.drain()
        return await summarise(deployment, exchanges)
    finally:
        await deployment.stop()


async def _exchange(
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
            randomness=random.Random(f"{seed}-{organisation.id}"),
        )
        for organisation in deployment.configuration.organisations
    ]
    batches = await asyncio.gather(
        *(
            _requests(caller, deployment.urls[number % len(deployment.urls)])
            for number, caller in enumerate(callers)
        )
    )
    for caller in callers:
        await caller.close()
    return [exchange for batch in batches for exchange in batch]


async def _requests(caller: Caller, first_url: str) -> list[Exchange]:
    entry_url = await caller.ask(first_url)
    return [await caller.send(entry_url) for _ in range(REQUESTS_PER_ORGANISATION)]
