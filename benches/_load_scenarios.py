"""The scenarios of the load bench and their figures."""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from functools import partial

from benches._load_entries import Call
from benches._load_world import DEADLINE, OURS, World
from fuchsiaroute.configuration import Configuration, Outage
from fuchsiaroute.ids import FailureDomainId, VersionId

SETTLING = 20_000
MEASURED = 120_000


@dataclass(frozen=True, kw_only=True)
class LoadFigures:
    """Figures of a run at one load; times to first token in milliseconds."""

    p50: int
    p95: int
    p99: int
    #: Share of the calls answered whole before their deadline.
    answered: float
    #: Work of answered calls as a share of the capacity.
    goodput: float


def run_load(
    configuration: Configuration,
    target: VersionId,
    *,
    policy: str,
    entries: int,
    share: float,
    seeds: Sequence[int],
    measured: int = MEASURED,
    is_refusing: bool = False,
) -> LoadFigures:
    """Run one policy at one load and return its figures over all seeds."""
    calls: list[Call] = []
    goodput = 0.0
    for seed in seeds:
        world = World(
            policy=policy,
            configuration=configuration,
            target=target,
            entry_count=entries,
            seed=seed,
            is_refusing=is_refusing,
        )
        world.load(share, SETTLING)
        first = len(world.calls)
        # Load goes on while the measured calls end, so that all meet the same load.
        world.load(share, measured)
        last = len(world.calls)
        world.load(share, DEADLINE + 1)
        calls += world.calls[first:last]
        goodput += _work(world.calls[first:last]) / measured / world.slots
    return _figures(calls, goodput / len(seeds))


@dataclass(frozen=True, kw_only=True)
class ColdFigures:
    """Worst loads while endpoints restart or turn cold under load."""

    #: Worst load on a cold endpoint over what it bears, all entries together.
    worst_ratio: float
    answered: float
    #: Attempts that a cold endpoint refused without running them.
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
    """Restart endpoints, or let them turn cold, one after another at 60% load."""
    world = World(
        policy=policy,
        configuration=configuration,
        target=target,
        entry_count=entries,
        seed=seed,
    )
    world.load(0.6, SETTLING)
    fakes = list(world.fakes.values())
    interval = duration / (len(fakes[:5]) + 1)
    for number, fake in enumerate(fakes[:5]):
        event = fake.restart if is_announced else fake.turn_cold
        world.events.after(number * interval, event)
    first = len(world.calls)
    world.load(0.6, duration)
    calls = world.calls[first:]
    world.events.run(DEADLINE + 1)
    answered = sum(call.is_answered for call in calls) / len(calls)
    return ColdFigures(
        worst_ratio=max(fake.worst_cold_ratio for fake in fakes),
        answered=answered,
        refused_cold=sum(fake.refused for fake in fakes),
    )


@dataclass(frozen=True, kw_only=True)
class OutageFigures:
    """One failure domain out and back."""

    #: Load offered meanwhile over the capacity left.
    offered: float
    #: Work answered in time over what the capacity left can carry.
    answered: float
    #: Requests that reached the domain more than 3 s after the declaration.
    late_arrivals: int
    #: Worst load at the return over what an endpoint bears at that moment, less 1.
    overshoot: float
    #: Share answered in time in the 60 s after the return.
    answered_after: float


def run_outage(
    configuration: Configuration,
    target: VersionId,
    domain: FailureDomainId,
    *,
    entries: int,
    seed: int,
) -> OutageFigures:
    """Take one failure domain out for 180 s under 70% load, and bring it back."""
    world = World(
        policy=OURS,
        configuration=configuration,
        target=target,
        entry_count=entries,
        seed=seed,
    )
    world.load(0.7, SETTLING)
    fakes = [
        fake for fake in world.fakes.values() if fake.endpoint.failure_domain == domain
    ]
    left = world.slots - sum(fake.endpoint.capacity for fake in fakes)
    world.declare(configuration.with_outages((Outage(failure_domain=domain),)))
    world.load(0.7, 3_000)
    arrivals = sum(fake.arrivals for fake in fakes)
    first = len(world.calls)
    world.load(0.7, 177_000)
    during = world.calls[first:]
    late = sum(fake.arrivals for fake in fakes) - arrivals
    for fake in fakes:
        # The instances of the domain have been off: they return cold.
        fake.restart()
        fake.worst_ratio = 0.0
    world.declare(replace(configuration, outages=()))
    first_after = len(world.calls)
    world.load(0.7, 60_000)
    after = world.calls[first_after:]
    world.load(0.7, DEADLINE + 1)
    offered = sum(call.service_time for call in during) / 177_000 / left
    carried = _work(during) / 177_000 / left
    worst = max(max(fake.worst_cold_ratio, fake.worst_ratio) for fake in fakes)
    return OutageFigures(
        offered=offered,
        answered=carried / min(offered, 1.0),
        late_arrivals=late,
        overshoot=max(0.0, worst - 1.0),
        answered_after=sum(call.is_answered for call in after) / len(after),
    )


@dataclass(frozen=True, kw_only=True)
class FairnessFigures:
    """A flood from one large organisation at one and a half times the capacity."""

    #: Share answered in time of the requests of the small organisations.
    small_answered: float
    large_answered: float
    small_p95: int


def run_flood(
    configuration: Configuration, target: VersionId, *, entries: int, seed: int
) -> FairnessFigures:
    """Flood the entries from one organisation beside the others' ordinary load."""
    world = World(
        policy=OURS,
        configuration=configuration,
        target=target,
        entry_count=entries,
        seed=seed,
        flooding_share=0.85,
    )
    world.load(1.5, SETTLING)
    first = len(world.calls)
    world.load(1.5, MEASURED)
    last = len(world.calls)
    world.load(1.5, DEADLINE + 1)
    calls = world.calls[first:last]
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
