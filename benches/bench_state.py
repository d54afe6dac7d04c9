"""Benchmark of configuration propagation, the peer protocol and store outages."""

import asyncio
import statistics
import zlib
from dataclasses import dataclass

from benches import bench_outage
from benches._fit import fit_line
from benches._large_declaration import declare_large
from benches._peer_protocol import read_counters, running_entries, wait_until_in_force
from examples.timberline import declare
from fuchsiaroute.clock import SystemClock
from fuchsiaroute.configuration import Configuration, ConfigurationLog, Outage
from fuchsiaroute.declaration import encode
from fuchsiaroute.ids import ChangeId, Revision
from fuchsiaroute.store import MemoryTableStore

#: Up to 12 entries send heartbeats to all others; more entries form rings.
MESH_SIZES = (2, 4, 8, 12)
RING_SIZES = (16, 32, 64)
CHANGES = 12
QUIET_SECONDS = 20.0
SETTLING_SECONDS = 6.0
SECONDS_BETWEEN_CHANGES = 0.37
TARGET_ENTRIES = 390
LARGE = {"endpoints": 2_100, "versions": 35, "organisations": 200}
HEADER = (
    f"{'entries':>7} {'in force p50':>13} {'max':>8} {'B/s/entry':>10} "
    f"{'% core/entry':>13} {'reads/s':>8}"
)


@dataclass(frozen=True, kw_only=True)
class Row:
    """Results for one number of entries."""

    entries: int
    #: Seconds from acceptance of a change until it is in force at all entries.
    delays: tuple[float, ...]
    #: Bytes per second sent and received by one entry, without changes.
    bytes_per_second: float
    #: Processor time of one entry without changes, as a share of a core.
    processor_share: float
    #: Reads of the table service per second by all entries.
    reads_per_second: float


async def measure(count: int) -> Row:
    """Return the results of ``count`` entries on loopback."""
    store = MemoryTableStore()
    log = ConfigurationLog(store, SystemClock())
    await _accept(log, declare(), 0)
    async with running_entries(count, store) as entries:
        await wait_until_in_force(entries, Revision(1))
        await asyncio.sleep(SETTLING_SECONDS)
        before, reads = read_counters(), store.reads
        await asyncio.sleep(QUIET_SECONDS)
        after = read_counters()
        seconds = after.measured_at - before.measured_at
        used = after.processor_seconds - before.processor_seconds
        reads_per_second = (store.reads - reads) / seconds
        delays = []
        for number in range(1, CHANGES + 1):
            await asyncio.sleep(SECONDS_BETWEEN_CHANGES)
            await _accept(log, _changed(number), number)
            delays.append(await wait_until_in_force(entries, Revision(number + 1)))
    return Row(
        entries=count,
        delays=tuple(delays),
        bytes_per_second=(after.total_bytes - before.total_bytes) / seconds / count,
        processor_share=used / seconds / count,
        reads_per_second=reads_per_second,
    )


def report_sizes() -> None:
    """Print the size of a configuration and of a change at the target size."""
    large = declare_large(**LARGE)
    body = encode(large)
    outage = Outage(failure_domain=large.failure_domains[0].id)
    change = encode(large.with_outages((outage,)))
    delta = len(change) - _common(body, change)
    print(f"body at the target's size: {len(body)} B, {len(zlib.compress(body))} B")
    print(f"  compressed; difference of a declared outage: {delta} B")


def main() -> None:
    """Run all parts and print their results."""
    report_sizes()
    print(HEADER, flush=True)
    rows = []
    for count in (*MESH_SIZES, *RING_SIZES):
        rows.append(asyncio.run(measure(count)))
        print(_format(rows[-1]), flush=True)
    _report_slopes([row for row in rows if row.entries in RING_SIZES])
    bench_outage.main()


def _report_slopes(rows: list[Row]) -> None:
    sizes = [float(row.entries) for row in rows]
    columns = {
        "in force, max (s)": [max(row.delays) for row in rows],
        "bytes/s of an entry": [row.bytes_per_second for row in rows],
        "core of an entry": [row.processor_share for row in rows],
    }
    for name, values in columns.items():
        line = fit_line(sizes, values)
        print(
            f"{name}: {line.intercept:.4f} + {line.slope:.6f} n, "
            f"r2 {line.r_squared:.2f}; at {TARGET_ENTRIES} entries "
            f"{line.at(TARGET_ENTRIES):.4f}"
        )


def _format(row: Row) -> str:
    middle = statistics.median(row.delays)
    return (
        f"{row.entries:>7} {middle:>11.3f} s {max(row.delays):>6.3f} s "
        f"{row.bytes_per_second:>10.0f} {100 * row.processor_share:>13.3f} "
        f"{row.reads_per_second:>8.1f}"
    )


def _changed(number: int) -> Configuration:
    domain = declare().failure_domains[number % 3].id
    return declare().with_outages((Outage(failure_domain=domain, reason=str(number)),))


async def _accept(
    log: ConfigurationLog, configuration: Configuration, number: int
) -> None:
    outcome = await log.accept(
        configuration,
        change_id=ChangeId(f"change-{number}"),
        expected_revision=Revision(number),
        author="bench",
        summary="",
    )
    outcome.unwrap()


def _common(left: bytes, right: bytes) -> int:
    start = 0
    while start < min(len(left), len(right)) and left[start] == right[start]:
        start += 1
    end = 0
    while end < len(left) - start and left[-1 - end] == right[-1 - end]:
        end += 1
    return start + end


if __name__ == "__main__":
    main()
