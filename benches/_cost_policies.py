"""The policies that the cost bench sets side by side."""

from collections.abc import Sequence
from random import Random
from typing import Protocol

from benches._cost_world import (
    IS_BUFFERED,
    CostWorld,
    Work,
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
    """Chooses versions and learns."""

    def choose(self, work: Work) -> Sequence[VersionId]:
        """Return the versions to try in order."""

    def saw_first(self, work: Work, version: VersionId, *, is_weak: bool) -> None:
        """Learn whether the first answer of a cascade was weak."""

    def saw_ratings(self, ratings: list[Rating]) -> None:
        """Learn from ratings."""


class FixedPolicy:
    """Base of policies that learn nothing."""

    def __init__(self, world: CostWorld) -> None:
        self._world = world

    def permitted(self, work: Work) -> list[Version]:
        """Return the permitted versions, cheapest first."""
        return [
            model.versions[0]
            for model in self._world.configuration.models
            if model.id in work.organisation.permitted_models
        ]

    def saw_first(self, work: Work, version: VersionId, *, is_weak: bool) -> None:
        """Learn nothing."""

    def saw_ratings(self, ratings: list[Rating]) -> None:
        """Learn nothing."""


class StrongestPolicy(FixedPolicy):
    """Always the dearest version."""

    def choose(self, work: Work) -> Sequence[VersionId]:
        """Return the dearest version."""
        return (self.permitted(work)[-1].id,)


class CheapestPolicy(FixedPolicy):
    """Always the cheapest version."""

    def choose(self, work: Work) -> Sequence[VersionId]:
        """Return the cheapest version."""
        return (self.permitted(work)[0].id,)


class RandomPolicy(FixedPolicy):
    """Any permitted version."""

    def __init__(self, world: CostWorld) -> None:
        super().__init__(world)
        self._random = Random(7)

    def choose(self, work: Work) -> Sequence[VersionId]:
        """Return a random version."""
        return (self._random.choice(self.permitted(work)).id,)


class NaivePolicy(FixedPolicy):
    """The naive router, which believes the declarations."""

    def __init__(self, world: CostWorld) -> None:
        super().__init__(world)
        self._router = NaiveRouter()

    def choose(self, work: Work) -> Sequence[VersionId]:
        """Return the naive choice."""
        choice = self._router.route(work.request, self._world.configuration).unwrap()
        return (choice.version,)


class HindsightPolicy(FixedPolicy):
    """The cheapest plan that meets the target, by the true qualities of the phase."""

    def __init__(self, world: CostWorld) -> None:
        super().__init__(world)
        self._best: dict[tuple[int, int, bool], tuple[VersionId, ...]] = {}

    def choose(self, work: Work) -> Sequence[VersionId]:
        """Return the best plan for the class and the permitted models."""
        versions = self.permitted(work)
        key = (work.class_index, len(versions), work.is_drifted)
        if key not in self._best:
            self._best[key] = self._find(work, versions)
        return self._best[key]

    def _find(self, work: Work, versions: list[Version]) -> tuple[VersionId, ...]:
        target = self._world.classes[work.class_index].quality_target
        plans: list[tuple[float, float, tuple[VersionId, ...]]] = []
        for first in versions:
            quality = self._world.quality(work, first.id)
            cost = expected_cost(first, work.request.expected_tokens)
            plans.append((cost, quality, (first.id,)))
            if not IS_BUFFERED[work.class_index]:
                continue
            good_but_weak = quality * self._world.weak_rate(is_good=True)
            weak = good_but_weak + (1 - quality) * self._world.weak_rate(is_good=False)
            for second in versions:
                if second.id == first.id:
                    # A version fails again where it failed before.
                    continue
                both = quality - good_but_weak
                both += weak * self._world.quality(work, second.id)
                extra = weak * expected_cost(second, work.request.expected_tokens)
                plans.append((cost + extra, both, (first.id, second.id)))
        return min(plan for plan in plans if plan[1] >= target)[2]


class ProjectPolicy:
    """The project's router, chooser and estimates."""

    def __init__(self, world: CostWorld) -> None:
        self._configuration = world.configuration
        self._view = ConfigurationView(world.configuration, Revision(1))
        self._estimates = TableEstimates()
        self._chooser = CascadeChooser()
        self._pins = PinSigner(keys=("bench",), clock=ManualClock())
        self._router = VersionRouter(
            pins=self._pins,
            random=Random(11),
            estimates=self._estimates,
            chooser=self._chooser,
        )
        self._book = QualityTable()
        self._sessions: dict[str, VersionId] = {}

    def choose(self, work: Work) -> Sequence[VersionId]:
        """Return the project's decision; a session keeps its version."""
        request = work.request
        if request.session is not NoSession.TOKEN and request.session in self._sessions:
            return (self._sessions[request.session],)
        decision = self._router.route(
            request, self._view, can_escalate=work.is_buffered
        ).unwrap()
        if request.session is not NoSession.TOKEN:
            self._sessions[request.session] = decision.versions[0]
        if len(decision.versions) == 1:
            self._chooser.weak_rates.record_single_answer(
                decision.versions[0], request.request_class
            )
        return decision.versions

    def saw_first(self, work: Work, version: VersionId, *, is_weak: bool) -> None:
        """Count the first answer of a cascade."""
        self._chooser.weak_rates.record_cascade_answer(
            version, work.request.request_class, is_weak=is_weak
        )

    def saw_ratings(self, ratings: list[Rating]) -> None:
        """Fold the ratings into the book."""
        page = RatingPage(ratings=tuple(ratings), cursor="")
        self._book = add_ratings(self._book, page, self._configuration)
        self._estimates.update(self._book)
