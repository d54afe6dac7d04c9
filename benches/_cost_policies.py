"""Version-choice policies that the cost bench compares."""

from collections.abc import Sequence
from random import Random
from typing import Protocol

from benches._cost_simulation import (
    IS_BUFFERED,
    CostSimulation,
    SimulatedRequest,
)
from fuchsiaroute.cascade import CascadeChooser
from fuchsiaroute.clock import ManualClock
from fuchsiaroute.configuration import Version
from fuchsiaroute.ids import Revision, VersionId
from fuchsiaroute.naive import NaiveRouter
from fuchsiaroute.quality import QualityTable, TableEstimates, add_ratings
from fuchsiaroute.request import NoSession
from fuchsiaroute.routing import ConfigurationView, VersionRouter, expected_cost
from fuchsiaroute.session import PinSigner
from fuchsiaroute.store import Rating, RatingPage


class Policy(Protocol):
    """Chooses versions, optionally using feedback on earlier answers."""

    def choose(self, simulated: SimulatedRequest) -> Sequence[VersionId]:
        """Return the versions to try, in order."""

    def record_first_answer(
        self, simulated: SimulatedRequest, version: VersionId, *, is_weak: bool
    ) -> None:
        """Record whether the first answer of a cascade was weak."""

    def record_ratings(self, ratings: list[Rating]) -> None:
        """Update the estimates with new ratings."""


class FixedPolicy:
    """Base of policies that ignore feedback."""

    def __init__(self, simulation: CostSimulation) -> None:
        self._simulation = simulation

    def permitted(self, simulated: SimulatedRequest) -> list[Version]:
        """Return the versions that the organisation may use, cheapest first."""
        return [
            model.versions[0]
            for model in self._simulation.configuration.models
            if model.id in simulated.organisation.permitted_models
        ]

    def record_first_answer(
        self, simulated: SimulatedRequest, version: VersionId, *, is_weak: bool
    ) -> None:
        """Ignore the feedback."""

    def record_ratings(self, ratings: list[Rating]) -> None:
        """Ignore the feedback."""


class StrongestPolicy(FixedPolicy):
    """Always the most expensive version."""

    def choose(self, simulated: SimulatedRequest) -> Sequence[VersionId]:
        """Return the most expensive version."""
        return (self.permitted(simulated)[-1].id,)


class CheapestPolicy(FixedPolicy):
    """Always the cheapest version."""

    def choose(self, simulated: SimulatedRequest) -> Sequence[VersionId]:
        """Return the cheapest version."""
        return (self.permitted(simulated)[0].id,)


class RandomPolicy(FixedPolicy):
    """A random permitted version."""

    def __init__(self, simulation: CostSimulation) -> None:
        super().__init__(simulation)
        self._random = Random(7)

    def choose(self, simulated: SimulatedRequest) -> Sequence[VersionId]:
        """Return a random version."""
        return (self._random.choice(self.permitted(simulated)).id,)


class NaivePolicy(FixedPolicy):
    """The naive router, which uses the declared prior qualities."""

    def __init__(self, simulation: CostSimulation) -> None:
        super().__init__(simulation)
        self._router = NaiveRouter()

    def choose(self, simulated: SimulatedRequest) -> Sequence[VersionId]:
        """Return the naive router's version."""
        choice = self._router.route(
            simulated.request, self._simulation.configuration
        ).unwrap()
        return (choice.version,)


class HindsightPolicy(FixedPolicy):
    """The cheapest plan that meets the target, given the true qualities."""

    def __init__(self, simulation: CostSimulation) -> None:
        super().__init__(simulation)
        self._best: dict[tuple[int, int, bool], tuple[VersionId, ...]] = {}

    def choose(self, simulated: SimulatedRequest) -> Sequence[VersionId]:
        """Return the best plan for the class and the permitted models."""
        versions = self.permitted(simulated)
        key = (simulated.class_index, len(versions), simulated.is_drifted)
        if key not in self._best:
            self._best[key] = self._find(simulated, versions)
        return self._best[key]

    def _find(
        self, simulated: SimulatedRequest, versions: list[Version]
    ) -> tuple[VersionId, ...]:
        target = self._simulation.classes[simulated.class_index].quality_target
        plans: list[tuple[float, float, tuple[VersionId, ...]]] = []
        for first in versions:
            quality = self._simulation.quality(simulated, first.id)
            cost = expected_cost(first, simulated.request.expected_tokens)
            plans.append((cost, quality, (first.id,)))
            if not IS_BUFFERED[simulated.class_index]:
                continue
            good_but_weak = quality * self._simulation.weak_rate(is_good=True)
            weak = good_but_weak + (1 - quality) * self._simulation.weak_rate(
                is_good=False
            )
            for second in versions:
                if second.id == first.id:
                    # A version that answered badly answers badly again.
                    continue
                both = quality - good_but_weak
                both += weak * self._simulation.quality(simulated, second.id)
                extra = weak * expected_cost(second, simulated.request.expected_tokens)
                plans.append((cost + extra, both, (first.id, second.id)))
        return min(plan for plan in plans if plan[1] >= target)[2]


class ProjectPolicy:
    """The project's router, cascade chooser and quality estimates."""

    def __init__(self, simulation: CostSimulation) -> None:
        self._configuration = simulation.configuration
        self._view = ConfigurationView(simulation.configuration, Revision(1))
        self._estimates = TableEstimates()
        self._chooser = CascadeChooser()
        self._pins = PinSigner(keys=("bench",), clock=ManualClock())
        self._router = VersionRouter(
            pins=self._pins,
            random=Random(11),
            estimates=self._estimates,
            chooser=self._chooser,
        )
        self._quality_table = QualityTable()
        self._sessions: dict[str, VersionId] = {}

    def choose(self, simulated: SimulatedRequest) -> Sequence[VersionId]:
        """Return the router's decision; requests of a session keep their version."""
        request = simulated.request
        if request.session is not NoSession.TOKEN and request.session in self._sessions:
            return (self._sessions[request.session],)
        decision = self._router.route(
            request, self._view, can_escalate=simulated.is_buffered
        ).unwrap()
        if request.session is not NoSession.TOKEN:
            self._sessions[request.session] = decision.versions[0]
        if len(decision.versions) == 1:
            self._chooser.weak_rates.record_single_answer(
                decision.versions[0], request.request_class
            )
        return decision.versions

    def record_first_answer(
        self, simulated: SimulatedRequest, version: VersionId, *, is_weak: bool
    ) -> None:
        """Record the first answer of a cascade."""
        self._chooser.weak_rates.record_cascade_answer(
            version, simulated.request.request_class, is_weak=is_weak
        )

    def record_ratings(self, ratings: list[Rating]) -> None:
        """Add the ratings to the quality table and update the estimates."""
        page = RatingPage(ratings=tuple(ratings), cursor="")
        self._quality_table = add_ratings(
            self._quality_table, page, self._configuration
        )
        self._estimates.update(self._quality_table)
