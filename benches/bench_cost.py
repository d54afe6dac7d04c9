"""
Benchmark of cost at the quality target, exposure to bad versions and decision time.

Run with ``make bench-cost``. The seeds are fixed; all results but the decision time
are the same in every run.
"""

import sys
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from benches._cost_policies import (
    CheapestPolicy,
    HindsightPolicy,
    NaivePolicy,
    Policy,
    ProjectPolicy,
    RandomPolicy,
    StrongestPolicy,
)
from benches._cost_simulation import CostSimulation, PolicyOutcome, SimulatedRequest
from benches._decision_time import decision_microseconds
from benches._exposure import (
    FALSE_ALARM_TARGET,
    GOOD_ROLLOUTS,
    calibrated_window,
    false_alarms,
    mean_exposure,
    sequential_rule,
    staged_false_alarms,
    window_rule,
)
from examples import hanbit, timberline
from fuchsiaroute.configuration import Version
from fuchsiaroute.ids import VersionId
from fuchsiaroute.routing import expected_cost

REQUESTS = 200_000
#: Requests between two reads of the ratings.
READING_INTERVAL = 500
SEEDS = {"timberline": 20, "hanbit": 21}
COST_OVER_HINDSIGHT_TARGET = 1.15
COST_OVER_STRONGEST_TARGET = 0.5
EXPOSURE_RATIO_TARGET = 0.5
DECISION_P99_TARGET_MICROSECONDS = 100.0
BASE_BAD_RATES = (0.07, 0.03, 0.12)
DROPS = (0.05, 0.10, 0.30)
VERSION_COUNTS = (10, 35)
#: Running roll-outs: one at a time, as in the deployments, and the worst case.
ROLLOUT_COUNTS = {1: "one roll-out running", 35: "a roll-out on every model"}
DEPLOYMENTS = {"timberline": timberline.declare, "hanbit": hanbit.declare}
POLICIES: dict[str, Callable[[CostSimulation], Policy]] = {
    "always-strongest": StrongestPolicy,
    "always-cheapest": CheapestPolicy,
    "random": RandomPolicy,
    "naive router": NaivePolicy,
    "project": ProjectPolicy,
    "hindsight": HindsightPolicy,
}


def run_policy(simulation: CostSimulation, policy: Policy) -> PolicyOutcome:
    """Return cost and quality of ``policy`` on the requests of ``simulation``."""
    versions = {
        version.id: version
        for model in simulation.configuration.models
        for version in model.versions
    }
    outcome = PolicyOutcome()
    for number, simulated in enumerate(simulation.generate()):
        _answer(simulation, policy, versions, outcome, number, simulated)
        if number % READING_INTERVAL == 0:
            ratings = simulation.take_arrived_ratings(number)
            if ratings:
                policy.record_ratings(ratings)
    return outcome


def _answer(
    simulation: CostSimulation,
    policy: Policy,
    versions: dict[VersionId, Version],
    outcome: PolicyOutcome,
    number: int,
    simulated: SimulatedRequest,
) -> None:
    tried = policy.choose(simulated)
    cost = 0
    is_good = False
    version = tried[0]
    for position, version in enumerate(tried):
        cost += expected_cost(versions[version], simulated.request.expected_tokens)
        is_good = simulation.random.random() < simulation.quality(simulated, version)
        if position + 1 == len(tried):
            break
        is_weak = simulation.random.random() < simulation.weak_rate(is_good=is_good)
        policy.record_first_answer(simulated, version, is_weak=is_weak)
        if not is_weak:
            break
    outcome.add(simulated.request.request_class, cost=cost, is_good=is_good)
    simulation.maybe_rate(number, simulated, version, is_good)


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """Conditions of a simulation."""

    label: str
    has_drift: bool = False
    has_confidence: bool = True


SCENARIOS = (
    Scenario(label="without drift"),
    Scenario(label="with a drifting model", has_drift=True),
    Scenario(label="engines that report no confidence", has_confidence=False),
)


def report_cost(name: str, scenario: Scenario) -> bool:
    """Print the results of one deployment; return whether the targets are met."""
    outcomes: dict[str, PolicyOutcome] = {}
    classes = DEPLOYMENTS[name]().products[0].classes
    print(f"\n{name}, {REQUESTS:,} requests, {scenario.label}")
    targets = "".join(f"{spec.id:>20}" for spec in classes)
    print(f"{'policy':<18}{'cost/request':>14}{targets}{'met':>6}")
    for label, make in POLICIES.items():
        simulation = CostSimulation(
            configuration=DEPLOYMENTS[name](),
            request_count=REQUESTS,
            has_drift=scenario.has_drift,
            has_confidence=scenario.has_confidence,
            random=Random(SEEDS[name]),
        )
        outcome = run_policy(simulation, make(simulation))
        outcomes[label] = outcome
        qualities = [outcome.quality(spec.id) for spec in classes]
        met = sum(
            quality >= spec.quality_target
            for quality, spec in zip(qualities, classes, strict=True)
        )
        cells = "".join(f"{quality:>20.4f}" for quality in qualities)
        print(f"{label:<18}{outcome.cost_per_request:>14.1f}{cells}{met:>4}/3")
    wanted = "".join(f"{spec.quality_target:>20.4f}" for spec in classes)
    print(f"{'target':<32}{wanted}")
    project = outcomes["project"]
    over_hindsight = project.cost / outcomes["hindsight"].cost
    over_strongest = project.cost / outcomes["always-strongest"].cost
    has_quality = all(
        project.quality(spec.id) >= spec.quality_target for spec in classes
    )
    return all(
        (
            _line("cost / hindsight", over_hindsight, COST_OVER_HINDSIGHT_TARGET),
            _line("cost / strongest", over_strongest, COST_OVER_STRONGEST_TARGET),
            _verdict("target met in every class", has_quality),
        )
    )


def report_exposure(bad: float) -> bool:
    """Print the exposure at a rate of bad answers; return whether targets are met."""
    size = calibrated_window(bad=bad, seed=1)
    baseline = window_rule(size)
    print(
        f"\nexposure, base with {bad:.0%} bad answers; baseline: windows of {size} "
        f"ratings, 5 points below the base"
    )
    limit = int(GOOD_ROLLOUTS * FALSE_ALARM_TARGET)
    project_alarms = false_alarms(sequential_rule, bad=bad, seed=2)
    baseline_alarms = false_alarms(baseline, bad=bad, seed=2)
    print(
        f"false alarms of {GOOD_ROLLOUTS}: baseline {baseline_alarms},"
        f" project {project_alarms}"
    )
    is_met = _line("false alarms", project_alarms, limit)
    staged = staged_false_alarms(sequential_rule, bad=bad, seed=4)
    is_met &= _line("false alarms in stages while the class gets harder", staged, limit)
    for drop in DROPS:
        baseline_exposure = mean_exposure(baseline, bad=bad, drop=drop, seed=3)
        project_exposure = mean_exposure(sequential_rule, bad=bad, drop=drop, seed=3)
        print(
            f"drop {drop:.0%}: baseline {baseline_exposure:,.0f} requests,"
            f" project {project_exposure:,.0f}"
        )
        is_met &= _line(
            "project / baseline",
            project_exposure / baseline_exposure,
            EXPOSURE_RATIO_TARGET,
        )
    return is_met


def report_decision_time() -> bool:
    """Print the decision time by version count; return whether targets are met."""
    is_met = True
    for rollout_count, label in ROLLOUT_COUNTS.items():
        print(f"\ndecision time in microseconds, {label}")
        medians: list[float] = []
        for count in VERSION_COUNTS:
            median, high = decision_microseconds(count, rollout_count=rollout_count)
            medians.append(median)
            print(f"{count} versions: median {median:.1f}, p99 {high:.1f}")
            is_met &= _line("p99", high, DECISION_P99_TARGET_MICROSECONDS)
        slope = (medians[1] - medians[0]) / (VERSION_COUNTS[1] - VERSION_COUNTS[0])
        print(f"slope of the median: {slope:.2f} microseconds per version")
    print("\ndecision time in microseconds, the first decision on new estimates")
    for count in VERSION_COUNTS:
        median, high = decision_microseconds(count, rollout_count=1, is_refreshed=True)
        print(f"{count} versions: median {median:.1f}, p99 {high:.1f}")
        is_met &= _line("p99", high, DECISION_P99_TARGET_MICROSECONDS)
    return is_met


def _line(name: str, measured: float, target: float) -> bool:
    is_met = measured <= target
    state = "met" if is_met else "MISSED"
    print(f"    {name}: {measured:.3f}, target at most {target:g}: {state}")
    return is_met


def _verdict(name: str, is_met: bool) -> bool:
    print(f"    {name}: {'met' if is_met else 'MISSED'}")
    return is_met


def main() -> int:
    """Print all results; return 0 if every target is met."""
    results = [report_decision_time()]
    results += [report_exposure(bad) for bad in BASE_BAD_RATES]
    for name in DEPLOYMENTS:
        results += [report_cost(name, scenario) for scenario in SCENARIOS]
    print(f"\n{sum(results)} of {len(results)} tables meet all their targets")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
