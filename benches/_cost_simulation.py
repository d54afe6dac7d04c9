"""Seeded simulation of requests, answer quality, confidence and ratings."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.configuration import Configuration, Organisation, RequestClassSpec
from fuchsiaroute.ids import RequestClass, RequestId, SessionId, VersionId
from fuchsiaroute.request import NoSession, Request
from fuchsiaroute.store import Rating

#: Share of answers that are rated.
RATED_SHARE = 0.05
#: Delay of a rating, as a number of requests.
RATING_DELAY = 2_000
#: Shares of bad and of good answers for which the engine reports low confidence.
WEAK_IF_BAD = 0.7
WEAK_IF_GOOD = 0.05
#: Share of requests per class, in the order of the declaration: mostly questions,
#: some drafts, few reviews.
CLASS_WEIGHTS = (0.70, 0.25, 0.05)
#: Whether the answers of each class are buffered, which cascades require.
IS_BUFFERED = (True, True, False)
#: Number of requests in a review session, all of which use one version.
SESSION_LENGTH = 3
#: True share of good answers by deployment and class, for the small, medium and large
#: model. The declared prior qualities are 0.88, 0.93 and 0.97 for all classes.
TRUE_QUALITIES = {
    "timberline": ((0.89, 0.935, 0.97), (0.80, 0.925, 0.97), (0.60, 0.86, 0.965)),
    "hanbit": ((0.87, 0.93, 0.975), (0.82, 0.91, 0.965), (0.55, 0.84, 0.962)),
}
#: Quality of the small model on the first class after drift.
DRIFTED_QUALITY = 0.78


@dataclass(frozen=True, kw_only=True)
class SimulatedRequest:
    """One request, with data that only the simulation has."""

    request: Request
    organisation: Organisation
    class_index: int
    is_buffered: bool
    #: Whether the small model's quality has drifted.
    is_drifted: bool


@dataclass
class CostSimulation:
    """Simulates the requests and answers of one deployment."""

    configuration: Configuration
    request_count: int
    has_drift: bool
    #: Whether engines report confidence; without it no answer is weak.
    has_confidence: bool
    random: Random
    #: Ratings not delivered yet, with the request number at which each arrives.
    pending_ratings: deque[tuple[int, Rating]] = field(default_factory=deque)

    @property
    def classes(self) -> tuple[RequestClassSpec, ...]:
        """Return the request classes of the product."""
        return self.configuration.products[0].classes

    def generate(self) -> Iterator[SimulatedRequest]:
        """Yield ``request_count`` random requests."""
        organisations = self.configuration.organisations
        weights = [item.weight for item in organisations]
        for number in range(self.request_count):
            organisation = self.random.choices(organisations, weights)[0]
            index = self.random.choices(range(3), CLASS_WEIGHTS)[0]
            yield self._build(number, organisation, index)

    def _build(
        self, number: int, organisation: Organisation, index: int
    ) -> SimulatedRequest:
        spec = self.classes[index]
        session = SessionId(f"s{number // SESSION_LENGTH}-{organisation.id}")
        request = Request(
            id=RequestId(f"q{number}"),
            organisation=organisation.id,
            product=organisation.product,
            request_class=spec.id,
            session=NoSession.TOKEN if IS_BUFFERED[index] else session,
            deadline=Milliseconds(0),
            expected_tokens=spec.expected_tokens,
            is_streamed=not IS_BUFFERED[index],
        )
        return SimulatedRequest(
            request=request,
            organisation=organisation,
            class_index=index,
            is_buffered=IS_BUFFERED[index],
            is_drifted=self.has_drift and number >= self.request_count // 2,
        )

    def quality(self, simulated: SimulatedRequest, version: VersionId) -> float:
        """Return the true share of good answers of ``version`` to such requests."""
        return self.true_quality(
            version, class_index=simulated.class_index, is_drifted=simulated.is_drifted
        )

    def true_quality(
        self, version: VersionId, *, class_index: int, is_drifted: bool
    ) -> float:
        """Return the true share of good answers of a version."""
        ranks = [model.versions[0].id for model in self.configuration.models]
        rank = ranks.index(version)
        if is_drifted and (class_index, rank) == (0, 0):
            return DRIFTED_QUALITY
        return TRUE_QUALITIES[self.configuration.deployment][class_index][rank]

    def weak_rate(self, *, is_good: bool) -> float:
        """Return the share of good or of bad answers that are weak."""
        if not self.has_confidence:
            return 0.0
        return WEAK_IF_GOOD if is_good else WEAK_IF_BAD

    def maybe_rate(
        self,
        number: int,
        simulated: SimulatedRequest,
        version: VersionId,
        is_good: bool,
    ) -> None:
        """Queue a rating of the answer with probability ``RATED_SHARE``."""
        if self.random.random() < RATED_SHARE:
            rating = Rating(
                request=simulated.request.id,
                version=version,
                request_class=simulated.request.request_class,
                is_good=is_good,
            )
            self.pending_ratings.append((number + RATING_DELAY, rating))

    def take_arrived_ratings(self, number: int) -> list[Rating]:
        """Remove and return the ratings due by request ``number``."""
        ratings: list[Rating] = []
        while self.pending_ratings and self.pending_ratings[0][0] <= number:
            ratings.append(self.pending_ratings.popleft()[1])
        return ratings


@dataclass
class PolicyOutcome:
    """Cost and answer quality of a policy."""

    cost: int = 0
    request_count: int = 0
    good: dict[RequestClass, int] = field(default_factory=dict)
    count: dict[RequestClass, int] = field(default_factory=dict)

    def add(self, request_class: RequestClass, *, cost: int, is_good: bool) -> None:
        """Add one answered request."""
        self.cost += cost
        self.request_count += 1
        self.good[request_class] = self.good.get(request_class, 0) + is_good
        self.count[request_class] = self.count.get(request_class, 0) + 1

    @property
    def cost_per_request(self) -> float:
        """Return the cost per answered request in micro-units."""
        return self.cost / self.request_count

    def quality(self, request_class: RequestClass) -> float:
        """Return the share of good answers of a class."""
        return self.good[request_class] / self.count[request_class]
