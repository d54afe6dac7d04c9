"""
Runs the whole system as separate processes and injects failures.

Six entries, five model endpoints, three service endpoints and a stand-in platform run
on loopback. Callers of every organisation send requests while entries are killed,
suspended and stopped, an endpoint is suspended, the table service is down or loses
answers, an outage of a failure domain is declared and ended, and a version is
withdrawn. Exits with status 1 if a check finds a violation.
"""

import asyncio
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import httpx
import msgspec

from benches._failure_checks import (
    CheckResult,
    check_at_most_once,
    check_billed_once,
    check_change_applied,
    check_error_verdicts,
    check_not_run,
    check_sessions,
)
from benches._failure_traffic import RequestHistory, TrafficCaller
from benches._processes import (
    Child,
    change_configuration,
    endpoint_child,
    entry_child,
    list_instances,
    platform_child,
    store_configuration,
    wait_until_ready,
    with_endpoint_urls,
)
from examples import timberline
from fuchsiaroute.billing import LEDGER_KEY_PREFIX
from fuchsiaroute.configuration import Outage, VersionState
from fuchsiaroute.ids import FailureDomainId, VersionId
from fuchsiaroute.standin import RunRecord
from fuchsiaroute.store_http import HttpTableStore

SEED = 1
ENTRY_COUNT = 6
DURATION_SECONDS = 60.0
#: Time for the entries to read the instance list and connect to each other.
DISCOVERY_SECONDS = 8.0
SETTLE_SECONDS = 12.0
WITHDRAWN = VersionId("sapling-1")
OUTAGE_DOMAIN = FailureDomainId("lakes-b")
LEDGER_LIMIT = 100_000
MAX_PRINTED_VIOLATIONS = 8
MAX_PRINTED_REASONS = 12
BIN_MILLISECONDS = 2_000


@dataclass(kw_only=True)
class Deployment:
    """The processes, and the times of the operators' changes."""

    platform: Child
    endpoints: list[Child]
    entries: list[Child]
    #: Unix time in milliseconds at which each change was accepted, by name.
    changes: dict[str, int] = field(default_factory=dict)

    @property
    def children(self) -> list[Child]:
        """Return every process."""
        return [self.platform, *self.endpoints, *self.entries]

    async def set_table_fault(self, fault: str) -> None:
        """Inject ``fault`` into the stand-in table service."""
        async with httpx.AsyncClient(trust_env=False) as client:
            reply = await client.post(
                f"{self.platform.url}/faults",
                json={"service": "table", "fault": fault},
            )
            reply.raise_for_status()

    def record_change(self, name: str) -> None:
        """Record the current time as that of change ``name``."""
        self.changes[name] = time.time_ns() // 1_000_000


Step = Callable[[Deployment], Awaitable[None]]


async def _kill_entry(deployment: Deployment) -> None:
    deployment.entries[1].kill()


async def _restart_entry(deployment: Deployment) -> None:
    deployment.entries[1].start()


async def _freeze_entry(deployment: Deployment) -> None:
    deployment.entries[2].signal(signal.SIGSTOP)


async def _thaw_entry(deployment: Deployment) -> None:
    deployment.entries[2].signal(signal.SIGCONT)


async def _stop_entry(deployment: Deployment) -> None:
    deployment.entries[3].signal(signal.SIGTERM)


async def _freeze_endpoint(deployment: Deployment) -> None:
    deployment.endpoints[3].signal(signal.SIGSTOP)


async def _thaw_endpoint(deployment: Deployment) -> None:
    deployment.endpoints[3].signal(signal.SIGCONT)


async def _store_down(deployment: Deployment) -> None:
    await deployment.set_table_fault("down")


async def _store_loses_answers(deployment: Deployment) -> None:
    await deployment.set_table_fault("answer-lost")


async def _store_back(deployment: Deployment) -> None:
    await deployment.set_table_fault("none")


async def _begin_outage(deployment: Deployment) -> None:
    outage = Outage(failure_domain=OUTAGE_DOMAIN)
    await change_configuration(
        deployment.platform.url, lambda present: present.with_outages((outage,))
    )
    deployment.record_change("outage")


async def _end_outage(deployment: Deployment) -> None:
    await change_configuration(
        deployment.platform.url, lambda present: present.with_outages(())
    )
    deployment.record_change("return")


async def _withdraw(deployment: Deployment) -> None:
    await change_configuration(
        deployment.platform.url,
        lambda present: present.with_version_state(WITHDRAWN, VersionState.WITHDRAWN),
    )
    deployment.record_change("withdrawal")


#: Failures and changes with their time in seconds after the start.
SCHEDULE: tuple[tuple[float, Step], ...] = (
    (4, _kill_entry),
    (8, _restart_entry),
    (10, _freeze_entry),
    (16, _thaw_entry),
    (18, _freeze_endpoint),
    (24, _thaw_endpoint),
    (26, _store_down),
    (34, _store_back),
    (36, _begin_outage),
    (42, _end_outage),
    (43, _store_loses_answers),
    (46, _store_back),
    (48, _stop_entry),
    (50, _withdraw),
)


async def _run_schedule(deployment: Deployment) -> None:
    started = time.monotonic()
    for instant, step in SCHEDULE:
        await asyncio.sleep(max(0.0, started + instant - time.monotonic()))
        print(f"{instant:5.1f} s {step.__name__.strip('_')}", flush=True)
        await step(deployment)


async def _traffic(deployment: Deployment) -> list[RequestHistory]:
    callers = [
        TrafficCaller(
            organisation=organisation.id,
            entry_urls=[entry.url for entry in deployment.entries],
            random=Random(f"{SEED}-{organisation.id}"),
        )
        for organisation in timberline.declare().organisations
    ]
    until = time.monotonic() + DURATION_SECONDS
    await asyncio.gather(
        _run_schedule(deployment), *(caller.run(until) for caller in callers)
    )
    return [history for caller in callers for history in caller.histories]


async def _runs(endpoint: Child) -> list[RunRecord]:
    async with httpx.AsyncClient(trust_env=False) as client:
        reply = await client.get(f"{endpoint.url}/runs")
    return msgspec.json.decode(reply.content, type=list[RunRecord])


async def _ledger(deployment: Deployment) -> Counter[tuple[str, str]]:
    """Return the number of ledger records of each organisation and request."""
    async with httpx.AsyncClient(
        base_url=deployment.platform.url, trust_env=False
    ) as client:
        records = await HttpTableStore(client).scan(
            LEDGER_KEY_PREFIX, limit=LEDGER_LIMIT
        )
    keys = [record.key.removeprefix(LEDGER_KEY_PREFIX) for record in records.unwrap()]
    return Counter(_split(key) for key in keys)


def _split(key: str) -> tuple[str, str]:
    organisation, _, request = key.partition("/")
    return organisation, request


async def _run(directory: Path) -> list[CheckResult]:
    declared = timberline.declare()
    deployment = Deployment(
        platform=platform_child(),
        endpoints=[endpoint_child() for _ in declared.endpoints],
        entries=[],
    )
    domains = declared.failure_domains
    deployment.entries = [
        entry_child(
            number=number,
            failure_domain=domains[number % len(domains)].id,
            platform_url=deployment.platform.url,
            directory=directory,
        )
        for number in range(ENTRY_COUNT)
    ]
    for child in deployment.children:
        child.start()
    try:
        for child in deployment.children:
            wait_until_ready(child.url)
        urls = [child.url for child in deployment.endpoints]
        running = with_endpoint_urls(declared, urls)
        await store_configuration(deployment.platform.url, running)
        await list_instances(
            deployment.platform.url, entries=deployment.entries, declared=running
        )
        await asyncio.sleep(DISCOVERY_SECONDS)
        histories = await _traffic(deployment)
        await asyncio.sleep(SETTLE_SECONDS)
        return await _check(deployment, histories)
    finally:
        for child in deployment.children:
            child.signal(signal.SIGCONT)
            child.kill()


async def _check(
    deployment: Deployment, histories: list[RequestHistory]
) -> list[CheckResult]:
    runs = [await _runs(endpoint) for endpoint in deployment.endpoints]
    all_runs = [run for endpoint_runs in runs for run in endpoint_runs]
    outage_domain_runs = [
        run
        for endpoint, endpoint_runs in zip(
            timberline.declare().endpoints, runs, strict=True
        )
        if endpoint.failure_domain == OUTAGE_DOMAIN
        for run in endpoint_runs
    ]
    _print_responses(histories)
    answered = sum(history.is_answered for history in histories)
    print(f"{answered} of {len(histories)} requests answered, {len(all_runs)} runs")
    return [
        check_at_most_once(histories, all_runs),
        check_not_run(histories, all_runs),
        check_billed_once(histories, await _ledger(deployment)),
        check_sessions(histories),
        check_error_verdicts(histories),
        check_change_applied(
            guarantee="no new work in a failure domain with an outage",
            runs=outage_domain_runs,
            accepted_at=deployment.changes["outage"],
            until=deployment.changes["return"],
        ),
        check_change_applied(
            guarantee="no new work on a withdrawn version",
            runs=[run for run in all_runs if run.work == WITHDRAWN],
            accepted_at=deployment.changes["withdrawal"],
            until=deployment.changes["withdrawal"] + 10**9,
        ),
    ]


def _print_responses(histories: list[RequestHistory]) -> None:
    """Print the errors and the number of complete answers over time."""
    responses = [response for history in histories for response in history.responses]
    reasons = Counter(
        (response.status, response.reason, response.verdict)
        for response in responses
        if not response.is_whole
    )
    for (status, reason, verdict), count in reasons.most_common(MAX_PRINTED_REASONS):
        print(f"  {count:6} x status {status} {reason} {verdict}")
    start = min(response.at for response in responses)
    whole = Counter(
        (response.at - start) // BIN_MILLISECONDS
        for response in responses
        if response.is_whole
    )
    bins = [whole[number] for number in range(max(whole) + 1)]
    print(f"  complete answers by {BIN_MILLISECONDS // 1000} s: {bins}")


def main() -> None:
    """Run the schedule and print the results of the checks."""
    with tempfile.TemporaryDirectory() as directory:
        results = asyncio.run(_run(Path(directory)))
    for result in results:
        verdict = "held" if not result.violations else "BROKEN"
        print(f"{verdict:6} {result.guarantee} ({result.cases} cases)")
        for violation in result.violations[:MAX_PRINTED_VIOLATIONS]:
            print(f"       {violation}")
    sys.exit(any(result.violations for result in results))


if __name__ == "__main__":
    main()
