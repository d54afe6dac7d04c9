"""Command that shows entries and the configuration they enforce."""

import asyncio
from typing import Annotated

import httpx
from cyclopts import Parameter
from returns.result import Failure, Success

from fuchsiaroute.cli._exit import ExitCode
from fuchsiaroute.cli._output import print_error, print_json, print_table
from fuchsiaroute.clock import SystemClock
from fuchsiaroute.operators import EntryStatus, OperatorClient

TIMEOUT_SECONDS = 5.0


def status(
    *,
    entry: Annotated[list[str], Parameter(env_var="FUCHSIAROUTE_ENTRY")],
    json: bool = False,
) -> ExitCode:
    """
    Show the revision in force per entry, roll-outs, outages and endpoints.

    Parameters
    ----------
    entry
        Base URL of an entry's operators' address; repeat it for more entries.
    json
        Print the states as a JSON list, one item for each entry that answered.

    """
    return asyncio.run(show_status(entry, json=json))


async def show_status(entries: list[str], *, json: bool) -> ExitCode:
    """Print the state of each entry; ``REFUSED`` if one gives no usable answer."""
    statuses: list[EntryStatus] = []
    code = ExitCode.OK
    for url in entries:
        async with httpx.AsyncClient(
            base_url=url, timeout=TIMEOUT_SECONDS, trust_env=False
        ) as http:
            match await OperatorClient(http, clock=SystemClock()).status():
                case Success(state):
                    statuses.append(state)
                case Failure(error):
                    print_error(f"{url}: {error.message}")
                    code = ExitCode.REFUSED
    if json:
        print_json(statuses)
    else:
        _print_statuses(statuses)
    return code


def _print_statuses(statuses: list[EntryStatus]) -> None:
    print_table(
        ("entry", "failure domain", "ready", "revision"),
        (
            (item.instance, item.failure_domain, item.is_ready, item.revision)
            for item in statuses
        ),
    )
    if statuses:
        _print_configuration(max(statuses, key=lambda item: item.revision))


def _print_configuration(state: EntryStatus) -> None:
    """Print the configuration in force on one entry."""
    for outage in state.outages:
        print(f"outage of {outage.failure_domain}: {outage.reason}")
    for rollout in state.rollouts:
        print(
            f"roll-out {rollout.id}: {rollout.state.value}, {rollout.base} to "
            f"{rollout.target}, share {rollout.share:.0%}"
        )
    for version in state.draining:
        print(f"draining: {version}")
    for version in state.withdrawn:
        print(f"withdrawn: {version}")
    print_table(
        ("endpoint", "failure domain", "state"),
        ((item.id, item.failure_domain, item.state) for item in state.endpoints),
    )
