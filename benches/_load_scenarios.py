"""Scenarios of the load bench and their results."""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from functools import partial

from benches._load_entries import Call
from benches._load_simulation import DEADLINE_MS, PROJECT_POLICY, LoadSimulation
from fuchsiaroute.configuration import Configuration, Outage
from fuchsiaroute.ids import FailureDomainId, VersionId

SETTLE_MS = 20_000
MEASURED_MS = 120_000


@dataclass(frozen=True, kw_only=True)
class LoadFigures:
    """Results at one load; percentiles of the time to first token in milliseconds."""

    p50: int
    p95: int
    p99: int
    #: Share of calls answered completely before their deadline.
    answered: float
    #: Service time of answered calls as a share of the capacity.
    goodput: float


def run_load(
    configuration: Configuration,
    target: VersionId,
    *,
    policy: str,
    entries: int,
    share: float,
    seeds: Sequence[int],
    measured: int = MEASURED_MS,
    is_refusing: bool = False,
) -> LoadFigures:
    """Return the results of one policy at one load over all seeds."""
    calls: list[Call] = []
    goodput = 0.0
    for seed in seeds:
        simulation = LoadSimulation(
            policy=policy,
            configuration=configuration,
            target=target,
            entry_count=entries,
            seed=seed,
            is_refusing=is_refusing,
        )
        simulation.load(share, SETTLE_MS)
        first = len(simulation.calls)
        # Keep up the load until all measured calls have ended.
        simulation.load(share, measured)
        last = len(simulation.calls)
        simulation.load(share, DEADLINE_MS + 1)
        calls += simulation.calls[first:last]
        goodput += _work(simulation.calls[first:last]) / measured / simulation.slots
    return _figures(calls, goodput / len(seeds))


@dataclass(frozen=True, kw_only=True)
class ColdFigures:
    """Results of a run in which endpoints restart or become cold under load."""

    #: Maximum load of a cold endpoint from all entries, divided by its cold capacity.
    max_load_ratio: float
    answered: float
    #: Attempts that cold endpoints refused.
    refused_cold: int


def run_cold(
    configuration: Configuration,
    target: VersionId,
    *,
    policy: str,
    entries: int,
    seed: int,
    is_announced: bool,
    duration: int = 300_000,
) -> ColdFigures:
    """Restart five endpoints, or make them cold, one after another at 60% load."""
    simulation = LoadSimulation(
        policy=policy,
        configuration=configuration,
        target=target,
        entry_count=entries,
        seed=seed,
    )
    simulation.load(0.6, SETTLE_MS)
    fakes = list(simulation.fakes.values())
    interval = duration / (len(fakes[:5]) + 1)
    for number, fake in enumerate(fakes[:5]):
        event = fake.restart if is_announced else fake.turn_cold
        simulation.events.after(number * interval, event)
    first = len(simulation.calls)
    simulation.load(0.6, duration)
    calls = simulation.calls[first:]
    simulation.events.run(DEADLINE_MS + 1)
    answered = sum(call.is_answered for call in calls) / len(calls)
    return ColdFigures(
        max_load_ratio=max(fake.max_cold_load_ratio for fake in fakes),
        answered=answered,
        refused_cold=sum(fake.refused for fake in fakes),
    )


@dataclass(frozen=True, kw_only=True)
class OutageFigures:
    """Results of an outage of one failure domain."""

    #: Load during the outage, divided by the remaining capacity.
    offered: float
    #: Service time of answered calls, divided by the possible maximum.
    answered: float
    #: Requests sent to the domain more than 3 s after the outage was declared.
    late_arrivals: int
    #: Maximum load after the outage, divided by the current capacity, minus 1.
    overshoot: float
    #: Share of calls answered in the 60 s after the outage.
    answered_after: float


def run_outage(
    configuration: Configuration,
    target: VersionId,
    domain: FailureDomainId,
    *,
    entries: int,
    seed: int,
) -> OutageFigures:
    """Declare an outage of one failure domain for 180 s at 70% load."""
    simulation = LoadSimulation(
        policy=PROJECT_POLICY,
        configuration=configuration,
        target=target,
        entry_count=entries,
        seed=seed,
    )
    simulation.load(0.7, SETTLE_MS)
    fakes = [
        fake
        for fake in simulation.fakes.values()
        if fake.endpoint.failure_domain == domain
    ]
    remaining = simulation.slots - sum(fake.endpoint.capacity for fake in fakes)
    simulation.declare(configuration.with_outages((Outage(failure_domain=domain),)))
    simulation.load(0.7, 3_000)
    arrivals = sum(fake.arrivals for fake in fakes)
    first = len(simulation.calls)
    simulation.load(0.7, 177_000)
    during = simulation.calls[first:]
    late = sum(fake.arrivals for fake in fakes) - arrivals
    for fake in fakes:
        # The endpoints of the domain were down and restart cold.
        fake.restart()
        fake.max_load_ratio = 0.0
    simulation.declare(replace(configuration, outages=()))
    first_after = len(simulation.calls)
    simulation.load(0.7, 60_000)
    after = simulation.calls[first_after:]
    simulation.load(0.7, DEADLINE_MS + 1)
    offered = sum(call.service_time for call in during) / 177_000 / remaining
    answered_work = _work(during) / 177_000 / remaining
    worst = max(max(fake.max_cold_load_ratio, fake.max_load_ratio) for fake in fakes)
    return OutageFigures(
        offered=offered,
        answered=answered_work / min(offered, 1.0),
        late_arrivals=late,
        overshoot=max(0.0, worst - 1.0),
        answered_after=sum(call.is_answered for call in after) / len(after),
    )


@dataclass(frozen=True, kw_only=True)
class FairnessFigures:
    """Results at 150% load when one organisation sends most of the requests."""

    #: Share of calls of all other organisations answered before their deadline.
    small_answered: float
    large_answered: float
    small_p95: int


def run_flood(
    configuration: Configuration, target: VersionId, *, entries: int, seed: int
) -> FairnessFigures:
    """Run at 150% load, of which one organisation sends 85%."""
    simulation = LoadSimulation(
        policy=PROJECT_POLICY,
        configuration=configuration,
        target=target,
        entry_count=entries,
        seed=seed,
        flooding_share=0.85,
    )
    simulation.load(1.5, SETTLE_MS)
    first = len(simulation.calls)
    simulation.load(1.5, MEASURED_MS)
    last = len(simulation.calls)
    simulation.load(1.5, DEADLINE_MS + 1)
    calls = simulation.calls[first:last]
    flooding = configuration.organisations[0].id
    large = [call for call in calls if call.request.organisation == flooding]
    small = [call for call in calls if call.request.organisation != flooding]
    return FairnessFigures(
        small_answered=sum(call.is_answered for call in small) / len(small),
        large_answered=sum(call.is_answered for call in large) / len(large),
        small_p95=_figures(small, 0.0).p95,
    )


def _work(calls: Sequence[Call]) -> float:
    return sum(call.service_time for call in calls if call.is_answered)


def _figures(calls: Sequence[Call], goodput: float) -> LoadFigures:
    waits = sorted(
        call.first_token_at - call.arrived_at
        for call in calls
        if call.first_token_at is not None
    )
    quantile = partial(_quantile, waits)
    return LoadFigures(
        p50=quantile(0.50),
        p95=quantile(0.95),
        p99=quantile(0.99),
        answered=sum(call.is_answered for call in calls) / len(calls),
        goodput=goodput,
    )


def _quantile(ordered: Sequence[int], share: float) -> int:
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]
