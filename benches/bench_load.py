"""
Benchmark of load, cold starts, outages of failure domains and fairness.

The simulations are seeded. Each target is printed with the measured value.
"""

import asyncio
import resource
import sys
import time
from collections.abc import Iterable
from dataclasses import replace
from random import Random

from benches._load_policies import BASELINES
from benches._load_scenarios import run_cold, run_flood, run_load, run_outage
from benches._load_simulation import PROJECT_POLICY, REPORTS_ONLY, with_endpoint_pool
from benches._load_sockets import measure_sockets, measure_stop
from examples import hanbit, timberline
from fuchsiaroute.balancing import EndpointChooser
from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.configuration import Configuration
from fuchsiaroute.endpoints import LoadReport, Outcome, Warmth, WarmthFact
from fuchsiaroute.ids import (
    FailureDomainId,
    Incarnation,
    InstanceId,
    OrganisationId,
    ProductId,
    RequestClass,
    RequestId,
    VersionId,
)
from fuchsiaroute.request import Request

SEEDS = (1, 2, 3)
LOADS = (0.5, 0.8, 0.95, 1.2)
ENTRIES_TODAY = 8
ENTRIES_AT_TARGET = 390
ENDPOINTS_AT_TARGET = 2_100
VERSIONS_AT_TARGET = 35
#: Simulated time of each run at the target's size, in milliseconds.
SCALE_MEASURED_MS = 20_000
POOL_AT_TARGET = ENDPOINTS_AT_TARGET // VERSIONS_AT_TARGET
PARTS = ("decisions", "sockets", "loads", "cold", "outages", "flood", "scale")
PERFECT_KNOWLEDGE = "perfect knowledge"

_Deployment = tuple[str, Configuration, VersionId, int]


def deployments() -> tuple[_Deployment, ...]:
    """Return name, configuration, target and number of entries of each deployment."""
    declared = timberline.declare()
    return (
        ("timberline", declared, VersionId("timber-4"), ENTRIES_TODAY),
        ("hanbit", hanbit.declare(), VersionId("kkachi-2"), ENTRIES_TODAY),
    )


def bench_loads(
    name: str,
    configuration: Configuration,
    target: VersionId,
    entries: int,
    *,
    seeds: tuple[int, ...],
    measured: int,
) -> float:
    """Print every policy at every load; return perfect knowledge's p95 at 95%."""
    perfect_p95 = 0.0
    _title(f"{name}: {entries} entries, {len(configuration.endpoints)} endpoints")
    print("load  policy              p50   p95   p99 ms  answered  goodput")
    for share in LOADS:
        p95 = {}
        for policy in (*BASELINES, REPORTS_ONLY, PROJECT_POLICY):
            figures = run_load(
                configuration,
                target,
                policy=policy,
                entries=entries,
                share=share,
                seeds=seeds,
                measured=measured,
            )
            p95[policy] = figures.p95
            print(
                f"{share:4.0%}  {policy:18} {figures.p50:5} {figures.p95:5}"
                f" {figures.p99:5}    {figures.answered:8.4f}  {figures.goodput:7.3f}",
                flush=True,
            )
        ratio = p95[PROJECT_POLICY] / p95[PERFECT_KNOWLEDGE]
        if share < 1:
            perfect_p95 = float(p95[PERFECT_KNOWLEDGE])
            _target(f"p95 over perfect knowledge at {share:.0%}", ratio, "<=", 1.2)
        else:
            _target(f"goodput at {share:.0%}", figures.goodput, ">=", 0.9)
    return perfect_p95


def bench_refusing(
    name: str,
    configuration: Configuration,
    target: VersionId,
    entries: int,
    *,
    perfect_p95: float,
) -> None:
    """Print the project's results with endpoints that refuse instead of queueing."""
    _title(f"{name}: endpoints that refuse rather than queue")
    for share in (0.95, 1.2):
        figures = run_load(
            configuration,
            target,
            policy=PROJECT_POLICY,
            entries=entries,
            share=share,
            seeds=SEEDS[:1],
            measured=SCALE_MEASURED_MS,
            is_refusing=True,
        )
        print(
            f"{share:4.0%}  {PROJECT_POLICY:18} {figures.p50:5} {figures.p95:5}"
            f" {figures.p99:5}    {figures.answered:8.4f}  {figures.goodput:7.3f}",
            flush=True,
        )
        if share < 1:
            ratio = figures.p95 / perfect_p95
            _target(f"p95 over perfect knowledge at {share:.0%}", ratio, "<=", 1.2)
        else:
            _target(f"goodput at {share:.0%}", figures.goodput, ">=", 0.9)


def bench_cold(
    name: str, configuration: Configuration, target: VersionId, entries: int
) -> None:
    """Print the maximum load on cold endpoints."""
    _title(f"{name}: five endpoints cold, one after another, at 60% load")
    for policy in ("round robin", PERFECT_KNOWLEDGE, PROJECT_POLICY):
        for is_announced in (True, False):
            figures = run_cold(
                configuration,
                target,
                policy=policy,
                entries=entries,
                seed=SEEDS[0],
                is_announced=is_announced,
            )
            kind = "restarted" if is_announced else "turned cold unannounced"
            print(
                f"{policy:18} {kind:24} worst ratio {figures.max_load_ratio:6.2f}"
                f"  refused as cold {figures.refused_cold:5}"
                f"  answered {figures.answered:.4f}",
                flush=True,
            )
            if policy == PROJECT_POLICY:
                label = f"load over a cold endpoint's capacity, {kind}"
                _target(label, figures.max_load_ratio, "<=", 1.0)


def bench_outages(
    name: str, configuration: Configuration, target: VersionId, entries: int
) -> None:
    """Print the results of an outage of each failure domain."""
    _title(f"{name}: a failure domain out for 180 s at 70% load, and back")
    for domain in configuration.failure_domains[:3]:
        figures = run_outage(
            configuration,
            target,
            FailureDomainId(domain.id),
            entries=entries,
            seed=SEEDS[0],
        )
        print(
            f"{domain.id}: offered {figures.offered:.3f} of the capacity left,"
            f" answered {figures.answered_after:.4f} in the minute after the return"
        )
        _target(
            "answered share of what the rest can serve", figures.answered, ">=", 0.999
        )
        _target("new work after 3 s", figures.late_arrivals, "<=", 0)
        _target("overshoot at the return", figures.overshoot, "<=", 0)


def bench_flood(
    name: str, configuration: Configuration, target: VersionId, entries: int
) -> None:
    """Print the results when one organisation sends most of the requests."""
    _title(f"{name}: one organisation sends 85% of a load of 150%")
    figures = run_flood(configuration, target, entries=entries, seed=SEEDS[0])
    print(
        f"flooding organisation answered {figures.large_answered:.4f}; the others"
        f" {figures.small_answered:.4f}, p95 {figures.small_p95} ms"
    )


def bench_decisions() -> None:
    """Print time and memory of one entry's choices among all endpoints."""
    _title(f"decision code alone: 1 of {ENTRIES_AT_TARGET} entries, 2,100 endpoints")
    configuration = _target_configuration()
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    clock = ManualClock()
    chooser = EndpointChooser(
        entry=InstanceId("entry-0"), clock=clock, random=Random(SEEDS[0])
    )
    started = time.perf_counter()
    chooser.update_configuration(configuration)
    print(f"applying a configuration: {time.perf_counter() - started:.3f} s")
    warmth = Warmth(incarnation=Incarnation(1), is_warm=True)
    chooser.merge_warmth(
        WarmthFact(endpoint=item.id, warmth=warmth) for item in configuration.endpoints
    )
    clock.tick(Milliseconds(60_000))
    for item in configuration.endpoints:
        chooser.record_load_report(
            LoadReport(
                endpoint=item.id,
                incarnation=Incarnation(1),
                in_flight=8,
                taken_at=clock.wall(),
            )
        )
    rounds = 20_000
    targets = [f"version-{number}" for number in range(VERSIONS_AT_TARGET)]
    request = _request(clock)
    started = time.perf_counter()
    for number in range(rounds):
        target = VersionId(targets[number % VERSIONS_AT_TARGET])
        reservation = chooser.choose(request, target).unwrap()
        chooser.release(reservation, Outcome.ANSWERED)
    spent = (time.perf_counter() - started) / rounds
    after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    print(f"choosing and releasing an endpoint: {spent * 1e6:.0f} us")
    print(f"at 31 requests/s: {31 * spent:.3%} of a core (all control: 3.6%)")
    print(f"resident memory added: {(after - before) / 1024:.1f} MB")


def bench_sockets() -> None:
    """Print the results of one entry on real sockets."""
    _title("real sockets: one entry, five stand-ins, streamed answers of 8 tokens")
    figures = asyncio.run(measure_sockets())
    print(
        f"one after another: p50 {figures.direct_p50:.2f} ms direct,"
        f" {figures.routed_p50:.2f} ms routed"
        f" ({figures.routed_p50 / figures.direct_p50:.2f} times);"
        f" p95 {figures.direct_p95:.2f} and {figures.routed_p95:.2f} ms"
    )
    print(
        f"20 at once: {figures.direct_rate:.0f} requests/s direct,"
        f" {figures.routed_rate:.0f} routed"
        f" ({figures.routed_rate / figures.direct_rate:.2f} times);"
        f" {figures.rate_per_core:.0f} requests/s for each core of the entry"
    )
    print(
        f"resident: {figures.idle_bytes / 1e6:.1f} MB idle,"
        f" {figures.loaded_bytes / 1e6:.1f} MB loaded"
    )
    stop = asyncio.run(measure_stop())
    print(
        f"graceful stop under load: {stop.requests} requests while stopping,"
        f" {stop.refused_connections} connections refused,"
        f" {stop.seconds:.1f} s, exit status {stop.exit_status}"
    )
    _target("requests cut by a graceful stop", stop.cut, "<=", 0)


def _target_configuration() -> Configuration:
    base = with_endpoint_pool(
        timberline.declare(), ENDPOINTS_AT_TARGET, VersionId("version-0")
    )
    return _with_versions(base)


def _with_versions(configuration: Configuration) -> Configuration:
    endpoints = tuple(
        replace(
            endpoint, versions=(VersionId(f"version-{number % VERSIONS_AT_TARGET}"),)
        )
        for number, endpoint in enumerate(configuration.endpoints)
    )
    return replace(configuration, endpoints=endpoints)


def _request(clock: ManualClock) -> Request:
    return Request(
        id=RequestId("r"),
        organisation=OrganisationId("county-00"),
        product=ProductId("permit-desk"),
        request_class=RequestClass("stand-lookup"),
        deadline=Milliseconds(clock.wall() + 30_000),
    )


def _title(text: str) -> None:
    print(f"\n== {text}", flush=True)


def _target(label: str, measured: float, relation: str, bound: float) -> None:
    is_met = measured <= bound if relation == "<=" else measured >= bound
    verdict = "met" if is_met else "MISSED"
    print(f"  target {label}: {relation} {bound}; measured {measured:.4f}: {verdict}")


def _chosen(names: Iterable[str]) -> set[str]:
    return set(names) or set(PARTS)


def main() -> None:
    """Run the parts named on the command line, or all of them."""
    parts = _chosen(sys.argv[1:])
    if "decisions" in parts:
        # Runs first, because its memory is measured by the peak of the process.
        bench_decisions()
    if "sockets" in parts:
        bench_sockets()
    for deployment in deployments():
        if "loads" in parts:
            bench_loads(*deployment, seeds=SEEDS, measured=120_000)
        if "cold" in parts:
            bench_cold(*deployment)
        if "outages" in parts:
            bench_outages(*deployment)
        if "flood" in parts:
            bench_flood(*deployment)
    if "scale" in parts:
        target = VersionId("timber-4")
        large = with_endpoint_pool(timberline.declare(), POOL_AT_TARGET, target)
        scaled = ("one version's pool at the target", large, target, ENTRIES_AT_TARGET)
        perfect_p95 = bench_loads(*scaled, seeds=SEEDS[:1], measured=SCALE_MEASURED_MS)
        bench_refusing(*scaled, perfect_p95=perfect_p95)
        bench_cold(*scaled)


if __name__ == "__main__":
    main()
