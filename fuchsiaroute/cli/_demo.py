"""Command that runs the demonstration."""

import asyncio

from examples import hanbit, timberline
from fuchsiaroute.cli._exit import ExitCode
from fuchsiaroute.clock import SystemClock
from fuchsiaroute.demo import format_report, run_deployment

SEED = 1


def demo() -> ExitCode:
    """Serve both example deployments on embedded stand-ins and print the totals."""
    return ExitCode.OK if run_demo() else ExitCode.REFUSED


def run_demo() -> bool:
    """Run both deployments; return whether every answer was billed once."""
    is_complete = True
    for example in (timberline, hanbit):
        report = asyncio.run(
            run_deployment(
                example.declare(),
                key_of=example.example_key,
                clock=SystemClock(),
                seed=SEED,
            )
        )
        print(format_report(report))
        is_complete = is_complete and report.ledger_records == report.answered
    return is_complete
