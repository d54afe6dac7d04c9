"""Benchmark of an outage of the platform's table service and of the recovery."""

import asyncio
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from returns.result import Failure

from benches._fit import fit_line
from benches._outage_entry import OutageEntry
from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.entry import Call, ModelTarget, ServiceTarget
from fuchsiaroute.ids import (
    OrganisationId,
    ProductId,
    RequestClass,
    RequestId,
    ServiceId,
)
from fuchsiaroute.request import Request
from fuchsiaroute.store import MemoryTableStore, StoreFault, StoreFunction

TICK = Milliseconds(100)
TICKS_PER_SECOND = 10
BEFORE_SECONDS, OUTAGE_SECONDS, RECOVERY_SECONDS = 60, 600, 180
STEADY_STATE_SECONDS = 120
#: The target's peak of 12,000 requests a second over 390 entries.
REQUESTS_PER_SECOND = 31
TARGET_ENTRIES = 390
#: Shares of non-idempotent calls, by whether the entry or the caller chose the id.
ISSUED_SHARE, CHOSEN_SHARE = 0.025, 0.025
IDEMPOTENT, ISSUED, CHOSEN = "idempotent", "issued id", "caller's id"
KINDS = (IDEMPOTENT, ISSUED, CHOSEN)
SLOPE_SIZES = (2, 4, 8, 16)


@dataclass
class Phase:
    """Results for callers and store calls in one phase."""

    seconds: int
    answered: Counter[str] = field(default_factory=Counter)
    #: By kind, and by reason and verdict.
    refused: dict[str, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    #: Wait of each call on the manual clock in milliseconds, by kind.
    waits: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    calls: dict[StoreFunction, tuple[int, int]] = field(default_factory=dict)
    #: Writes that reached the store, by second.
    writes: list[int] = field(default_factory=list)
    #: Maximum number of records in one ledger.
    max_buffered: int = 0
    #: First second after which no ledger held more than one flush; -1 for never.
    emptied_at: int = -1


class OutageBench:
    """Entries with a shared store, on a clock that advances by ``TICK``."""

    def __init__(self, count: int, *, budget_divisor: int, seed: int = 1) -> None:
        self._clock = ManualClock()
        self.store = MemoryTableStore(clock=self._clock)
        self._entries = [
            OutageEntry(
                number,
                store=self.store,
                clock=self._clock,
                entry_count=lambda: budget_divisor,
            )
            for number in range(count)
        ]
        self._random = Random(seed)
        self._sent = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start the periodic tasks."""
        for entry in self._entries:
            entry.background.start()

    async def stop(self) -> None:
        """Stop the periodic tasks."""
        for entry in self._entries:
            await entry.background.stop()

    async def run_phase(self, seconds: int, *, has_traffic: bool = True) -> Phase:
        """Run for ``seconds`` and return the results."""
        phase = Phase(seconds=seconds)
        before = self._calls()
        for second in range(seconds):
            writes = self.store.writes
            for _ in range(TICKS_PER_SECOND):
                if has_traffic:
                    self._send_requests(phase)
                await self._clock.advance(TICK)
            phase.writes.append(self.store.writes - writes)
            self._record_ledgers(phase, second)
        after = self._calls()
        phase.calls = {
            item: (after[item][0] - before[item][0], after[item][1] - before[item][1])
            for item in StoreFunction
        }
        return phase

    def _calls(self) -> dict[StoreFunction, tuple[int, int]]:
        total = dict.fromkeys(StoreFunction, (0, 0))
        for entry in self._entries:
            for item, (reads, writes) in entry.calls().items():
                total[item] = (total[item][0] + reads, total[item][1] + writes)
        return total

    def _record_ledgers(self, phase: Phase, second: int) -> None:
        buffered = [entry.durable.ledger.buffered for entry in self._entries]
        phase.max_buffered = max(phase.max_buffered, *buffered)
        # A ledger always holds the records of one flush interval.
        if max(buffered) <= REQUESTS_PER_SECOND * 5 and phase.emptied_at < 0:
            phase.emptied_at = second

    def _send_requests(self, phase: Phase) -> None:
        for entry in self._entries:
            expected = REQUESTS_PER_SECOND / TICKS_PER_SECOND
            whole = int(expected)
            extra = self._random.random() < expected - whole
            for _ in range(whole + extra):
                task = asyncio.create_task(self._send(entry, phase))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _send(self, entry: OutageEntry, phase: Phase) -> None:
        kind = self._random.choices(
            KINDS, (1 - ISSUED_SHARE - CHOSEN_SHARE, ISSUED_SHARE, CHOSEN_SHARE)
        )[0]
        call = self._call(entry, kind)
        started = self._clock.now()
        result = await entry.pipeline.handle(call)
        phase.waits[kind].append(self._clock.now() - started)
        if isinstance(result, Failure):
            refusal = result.failure()
            reason = f"{refusal.reason.value}, {refusal.verdict.value}"
            phase.refused[kind][reason] += 1
            return
        async for _ in result.unwrap().chunks:
            pass
        phase.answered[kind] += 1

    def _call(self, entry: OutageEntry, kind: str) -> Call:
        self._sent += 1
        organisation = OrganisationId(f"county-{self._random.randrange(3):02}")
        name = RequestId(f"request-{self._sent}")
        if kind == ISSUED:
            name = entry.durable.claim_table.issue(organisation)
        request = Request(
            id=name,
            organisation=organisation,
            product=ProductId("permit-desk"),
            request_class=RequestClass("stand-lookup"),
            is_idempotent=kind == IDEMPOTENT,
            deadline=Milliseconds(self._clock.wall() + 30_000),
        )
        if kind == IDEMPOTENT:
            return Call(request=request, target=ModelTarget(), body=b"{}")
        target = ServiceTarget(
            service=ServiceId("permit-app"), path="/permits/issue", cost=5
        )
        return Call(request=request, target=target, body=b"{}")


async def measure_outage(
    count: int, *, budget_divisor: int, fault: StoreFault
) -> tuple[Phase, Phase, Phase]:
    """Return the results before, during and after an outage."""
    bench = OutageBench(count, budget_divisor=budget_divisor)
    bench.start()
    before = await bench.run_phase(BEFORE_SECONDS)
    bench.store.fault = fault
    during = await bench.run_phase(OUTAGE_SECONDS)
    bench.store.fault = StoreFault.NONE
    after = await bench.run_phase(RECOVERY_SECONDS)
    await bench.stop()
    return before, during, after


async def measure_steady_state(count: int) -> Phase:
    """Return the results of ``count`` entries without faults."""
    bench = OutageBench(count, budget_divisor=count)
    bench.start()
    await bench.run_phase(STEADY_STATE_SECONDS // 2)
    phase = await bench.run_phase(STEADY_STATE_SECONDS)
    await bench.stop()
    return phase


def print_callers(name: str, phase: Phase) -> None:
    """Print the results for callers."""
    for kind in KINDS:
        waits = sorted(phase.waits[kind]) or [0]
        p50, p95 = (waits[int(len(waits) * share)] for share in (0.5, 0.95))
        refused = dict(phase.refused[kind])
        print(
            f"  {name:7} {kind:12} answered {phase.answered[kind]:7}"
            f"  wait p50 {p50:4} p95 {p95:5} ms  refused {refused or 'none'}"
        )


def print_store(name: str, phase: Phase, count: int) -> None:
    """Print the store calls by function."""
    for item, (reads, writes) in phase.calls.items():
        print(
            f"  {name:7} {item.value:14} reads {reads / phase.seconds:7.2f}/s"
            f"  writes {writes / phase.seconds:6.2f}/s  ({count} entries)"
        )


def print_recovery(phase: Phase) -> None:
    """Print the store writes after the outage."""
    emptied = f"after {phase.emptied_at + 1} s"
    if phase.emptied_at < 0:
        emptied = f"not within {phase.seconds} s"
    print(
        f"  after   writes at most {max(phase.writes)} in one second,"
        f" {sum(phase.writes[-60:]) / 60:.1f}/s in the last minute;"
        f" ledgers down to one flush {emptied}"
    )


def print_slopes(phases: Sequence[Phase]) -> None:
    """Print reads and writes by function, extrapolated to the target size."""
    for item in StoreFunction:
        reads = [phase.calls[item][0] / phase.seconds for phase in phases]
        writes = [phase.calls[item][1] / phase.seconds for phase in phases]
        read_fit, write_fit = (
            fit_line(SLOPE_SIZES, values) for values in (reads, writes)
        )
        print(
            f"  {item.value:14} reads {read_fit.at(TARGET_ENTRIES):7.1f}/s"
            f"  writes {write_fit.at(TARGET_ENTRIES):7.1f}/s"
            f"  extrapolated to {TARGET_ENTRIES}"
        )


def report_outage(count: int, *, budget_divisor: int, fault: StoreFault) -> None:
    """Run one outage and print the results."""
    print(
        f"{count} entries, each with 1/{budget_divisor} of the budgets,"
        f" store {fault.value}"
    )
    before, during, after = asyncio.run(
        measure_outage(count, budget_divisor=budget_divisor, fault=fault)
    )
    for name, phase in (("before", before), ("outage", during), ("after", after)):
        print_callers(name, phase)
    print(f"  outage  max records in one ledger {during.max_buffered}")
    for name, phase in (("before", before), ("outage", during), ("after", after)):
        print_store(name, phase, count)
    print_recovery(after)


def main() -> None:
    """Run the bench and print its results."""
    report_outage(8, budget_divisor=8, fault=StoreFault.DOWN)
    report_outage(8, budget_divisor=8, fault=StoreFault.SLOW)
    report_outage(4, budget_divisor=TARGET_ENTRIES, fault=StoreFault.DOWN)
    print("steady state by number of entries")
    phases = [asyncio.run(measure_steady_state(size)) for size in SLOPE_SIZES]
    for size, phase in zip(SLOPE_SIZES, phases, strict=True):
        print_store("steady", phase, size)
    print_slopes(phases)


if __name__ == "__main__":
    main()
