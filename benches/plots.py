"""Plots of the cost and load benches for docs/pictures/."""

from pathlib import Path
from random import Random

import matplotlib

matplotlib.use("svg")

from matplotlib import pyplot
from matplotlib.axes import Axes

from benches._cost_simulation import CostSimulation
from benches._load_policies import BASELINES
from benches._load_scenarios import run_load
from benches._load_simulation import PROJECT_POLICY
from benches.bench_cost import POLICIES, SEEDS as COST_SEEDS, run_policy
from benches.bench_load import ENTRIES_TODAY, LOADS
from examples import hanbit, timberline
from fuchsiaroute.configuration import Configuration
from fuchsiaroute.ids import VersionId

PICTURES = Path(__file__).parent.parent / "docs" / "pictures"
COST_REQUESTS = 60_000
LOAD_SEEDS = (1,)
LOAD_MEASURED_MILLISECONDS = 60_000
LOAD_TARGET = VersionId("timber-4")
FIRST_TOKEN_TARGET_MILLISECONDS = 390
PERCENT = 100
# A fixed salt gives the same file in every run.
matplotlib.rcParams["svg.hashsalt"] = "fuchsiaroute"


def draw_costs() -> None:
    """Plot the cost per request, by policy and deployment."""
    deployments = {"timberline": timberline.declare(), "hanbit": hanbit.declare()}
    _, axes = pyplot.subplots(1, len(deployments), figsize=(10, 4), sharey=True)
    for axis, (name, configuration) in zip(axes, deployments.items(), strict=True):
        _draw_cost(axis, name, configuration)
    axes[0].set_ylabel("cost for each request, micro-units")
    _save("cost.svg")


def _draw_cost(axis: Axes, name: str, configuration: Configuration) -> None:
    labels = list(POLICIES)
    outcomes = []
    for make in POLICIES.values():
        simulation = CostSimulation(
            configuration=configuration,
            request_count=COST_REQUESTS,
            has_drift=False,
            has_confidence=True,
            random=Random(COST_SEEDS[name]),
        )
        outcomes.append(run_policy(simulation, make(simulation)))
    targets = {
        spec.id: spec.quality_target for spec in configuration.products[0].classes
    }
    colours = [
        "tab:green"
        if all(outcome.quality(item) >= target for item, target in targets.items())
        else "tab:red"
        for outcome in outcomes
    ]
    axis.bar(labels, [item.cost_per_request for item in outcomes], color=colours)
    axis.tick_params(axis="x", rotation=35)
    axis.set_title(f"{name}: green meets the quality target in every class")


def draw_loads() -> None:
    """Plot the 95th percentile of the time to first token, by load and policy."""
    _, axis = pyplot.subplots(figsize=(7, 4.5))
    for policy in (*BASELINES, PROJECT_POLICY):
        figures = [
            run_load(
                timberline.declare(),
                LOAD_TARGET,
                policy=policy,
                entries=ENTRIES_TODAY,
                share=share,
                seeds=LOAD_SEEDS,
                measured=LOAD_MEASURED_MILLISECONDS,
            )
            for share in LOADS
        ]
        axis.plot(
            [share * PERCENT for share in LOADS],
            [figure.p95 for figure in figures],
            marker="o",
            label=policy,
        )
    axis.axhline(FIRST_TOKEN_TARGET_MILLISECONDS, linestyle=":", label="target")
    axis.set_yscale("log")
    axis.set_xlabel("load, % of capacity")
    axis.set_ylabel("p95 of time to first token, ms")
    axis.set_title("timberline, 8 entries")
    axis.legend(fontsize="small")
    _save("load.svg")


def _save(name: str) -> None:
    PICTURES.mkdir(exist_ok=True)
    pyplot.tight_layout()
    # Without a date, equal figures give the same file.
    pyplot.savefig(PICTURES / name, metadata={"Date": None})
    pyplot.close()


def main() -> None:
    """Draw all plots."""
    draw_costs()
    draw_loads()


if __name__ == "__main__":
    main()
