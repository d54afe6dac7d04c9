"""Connects commands to the operators' interface of an entry."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import httpx
from cyclopts import Parameter
from returns.result import Failure, Success

from fuchsiaroute.cli._exit import ExitCode
from fuchsiaroute.cli._output import print_error
from fuchsiaroute.clock import SystemClock
from fuchsiaroute.operators import ClientError, OperatorClient
from fuchsiaroute.settings import read_secret

TIMEOUT_SECONDS = 30.0


@Parameter(name="*")
@dataclass(frozen=True, kw_only=True)
class EntryOptions:
    """Entry to call, and key to authenticate with."""

    entry: Annotated[
        str,
        Parameter(
            env_var="FUCHSIAROUTE_ENTRY",
            help="Base URL of an entry's operators' address.",
        ),
    ]
    key_file: Annotated[
        Path | None,
        Parameter(
            env_var="FUCHSIAROUTE_KEY_FILE",
            help="File with the operator's key; most commands need one.",
        ),
    ] = None


def run_with_client(
    options: EntryOptions, command: Callable[[OperatorClient], Awaitable[ExitCode]]
) -> ExitCode:
    """Run ``command`` with a client of the entry and return its exit code."""
    key = ""
    if options.key_file is not None:
        match read_secret(options.key_file):
            case Success(secret):
                key = secret
            case Failure(error):
                print_error(error)
                return ExitCode.FAULTY_INPUT
    return asyncio.run(_run(options.entry, key, command))


async def _run(
    entry: str, key: str, command: Callable[[OperatorClient], Awaitable[ExitCode]]
) -> ExitCode:
    async with httpx.AsyncClient(
        base_url=entry, timeout=TIMEOUT_SECONDS, trust_env=False
    ) as http:
        return await command(OperatorClient(http, clock=SystemClock(), key=key))


def report_client_error(error: ClientError) -> ExitCode:
    """Print why the call failed, and return the exit code."""
    print_error(f"{error.kind.value}: {error.message}")
    return ExitCode.REFUSED
