"""Totals of decisions, latency and billing of one deployment."""

import statistics
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from returns.result import Success

from fuchsiaroute.billing import LEDGER_KEY_PREFIX, decode_record
from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.demo._caller import Exchange
from fuchsiaroute.demo._deployment import RunningDeployment

MAX_LEDGER_RECORDS = 100_000
FIRST_ERROR_STATUS = 400
QUANTILES = 20
#: Indexes into the list of quantiles.
P50_INDEX, P95_INDEX = 9, 18


@dataclass(frozen=True, kw_only=True)
class WorkLine:
    """Number of answers to one kind of work by one version."""

    work: str
    version: str
    count: int


@dataclass(frozen=True, kw_only=True)
class DeploymentReport:
    """Totals of one deployment."""

    deployment: str
    requests: int
    answered: int
    lines: tuple[WorkLine, ...]
    #: Quantiles of the time to the first byte, in milliseconds.
    first_byte_p50: Milliseconds
    first_byte_p95: Milliseconds
    ledger_records: int
    #: Sum over the ledger, in micro-units.
    billed: int


async def summarise(
    deployment: RunningDeployment, exchanges: Sequence[Exchange]
) -> DeploymentReport:
    """Return the totals of ``exchanges`` and of the ledger."""
    answered = [item for item in exchanges if item.status < FIRST_ERROR_STATUS]
    counts = Counter((item.work, item.version) for item in answered)
    quantiles = statistics.quantiles(
        [item.first_byte for item in answered], n=QUANTILES
    )
    costs = await _ledger_costs(deployment)
    return DeploymentReport(
        deployment=deployment.configuration.deployment,
        requests=len(exchanges),
        answered=len(answered),
        lines=tuple(
            WorkLine(work=work, version=version, count=count)
            for (work, version), count in sorted(counts.items())
        ),
        first_byte_p50=Milliseconds(round(quantiles[P50_INDEX])),
        first_byte_p95=Milliseconds(round(quantiles[P95_INDEX])),
        ledger_records=len(costs),
        billed=sum(costs),
    )


async def _ledger_costs(deployment: RunningDeployment) -> list[int]:
    match await deployment.store.scan(LEDGER_KEY_PREFIX, limit=MAX_LEDGER_RECORDS):
        case Success(records):
            return [decode_record(record.value).cost for record in records]
    return []


def format_report(report: DeploymentReport) -> str:
    """Return ``report`` as text."""
    lines = [
        f"{report.deployment}: {report.answered} of {report.requests} answered",
        f"  first byte: p50 {report.first_byte_p50} ms, p95 {report.first_byte_p95} ms",
        f"  ledger: {report.ledger_records} records, {report.billed} micro-units",
    ]
    for line in report.lines:
        version = line.version or "(service)"
        lines.append(f"  {line.work:20} -> {version:16} {line.count:5}")
    return "\n".join(lines)
