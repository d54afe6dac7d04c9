"""Starts endpoints, platform and entries of a deployment in this process."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from fuchsiaroute.advice import CandidateEntry
from fuchsiaroute.clock import Clock, Milliseconds, SystemClock
from fuchsiaroute.configuration import Configuration, accept_first_configuration
from fuchsiaroute.endpoints import Warmth, WarmthFact
from fuchsiaroute.ids import InstanceId
from fuchsiaroute.serving import (
    ComposedEntry,
    EntryOptions,
    HttpServer,
    compose_entry,
)
from fuchsiaroute.standin import FIRST_INCARNATION, StandInEndpoint
from fuchsiaroute.store import MemoryInstanceList, MemoryTableStore

#: All entries of the demonstration sign session pins with this key.
PIN_KEY = "demonstration-pin-key"
HOST = "127.0.0.1"
ANY_PORT = 0
DRAIN_TIMEOUT = Milliseconds(10_000)
ENTRY_COUNT = 6


@dataclass(kw_only=True)
class RunningDeployment:
    """A started deployment."""

    configuration: Configuration
    store: MemoryTableStore
    entries: list[ComposedEntry] = field(default_factory=list)
    servers: list[HttpServer] = field(default_factory=list)
    #: Base URLs of the entries.
    urls: list[str] = field(default_factory=list)

    async def drain(self) -> None:
        """Wait until every ledger record is in the store."""
        for entry in self.entries:
            await entry.durable.ledger.drain(DRAIN_TIMEOUT)

    async def stop(self) -> None:
        """Stop the entries, then the stand-ins."""
        await asyncio.gather(*(server.stop() for server in self.servers))
        for entry in self.entries:
            await entry.background.stop()
            await entry.aclose()


async def start_deployment(
    declared: Configuration, *, clock: Clock
) -> RunningDeployment:
    """Start stand-ins and entries for ``declared`` on free ports."""
    endpoint_servers = await _start_endpoints(declared, clock=clock)
    endpoints = tuple(
        replace(endpoint, url=server.url)
        for endpoint, server in zip(declared.endpoints, endpoint_servers, strict=True)
    )
    deployment = RunningDeployment(
        configuration=replace(declared, endpoints=endpoints),
        store=MemoryTableStore(),
        servers=endpoint_servers,
    )
    await _apply(deployment)
    await _start_entries(deployment, clock=clock)
    return deployment


async def _start_endpoints(
    declared: Configuration, *, clock: Clock
) -> list[HttpServer]:
    servers = []
    for seed, _ in enumerate(declared.endpoints):
        app = StandInEndpoint(clock=clock, seed=seed).build_app()
        server = HttpServer(app=app, host=HOST, port=ANY_PORT)
        await server.start()
        servers.append(server)
    return servers


async def _apply(deployment: RunningDeployment) -> None:
    """Accept the configuration in the way of the operators' ``apply``."""
    outcome = await accept_first_configuration(
        deployment.store, SystemClock(), deployment.configuration, author="demo"
    )
    outcome.unwrap()


async def _start_entries(deployment: RunningDeployment, *, clock: Clock) -> None:
    domains = deployment.configuration.failure_domains
    for number in range(ENTRY_COUNT):
        options = EntryOptions(
            instance=InstanceId(f"entry-{number}"),
            failure_domain=domains[number % len(domains)].id,
            seed=number,
            pin_keys=(PIN_KEY,),
        )
        entry = compose_entry(
            options=options,
            store=deployment.store,
            instances=MemoryInstanceList(),
            clock=clock,
        )
        await entry.poll.poll()
        entry.balancing.chooser.merge_warmth(_warmth(deployment.configuration))
        entry.background.start()
        server = HttpServer(app=entry.app, host=HOST, port=ANY_PORT)
        await server.start()
        deployment.entries.append(entry)
        deployment.servers.append(server)
        deployment.urls.append(server.url)
    _update_advice(deployment.entries, deployment.urls)


def _update_advice(entries: Sequence[ComposedEntry], urls: Sequence[str]) -> None:
    candidates = tuple(
        CandidateEntry(
            instance=entry.options.instance,
            url=url,
            failure_domain=entry.options.failure_domain,
        )
        for entry, url in zip(entries, urls, strict=True)
    )
    for entry in entries:
        entry.advice.update(candidates)


def _warmth(configuration: Configuration) -> tuple[WarmthFact, ...]:
    """Return the state that entries would measure: the stand-ins start warm."""
    warmth = Warmth(incarnation=FIRST_INCARNATION, is_warm=True)
    return tuple(
        WarmthFact(endpoint=endpoint.id, warmth=warmth)
        for endpoint in configuration.endpoints
    )
