"""Ways to choose an endpoint, side by side."""

import itertools
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from benches._load_endpoints import FakeEndpoint


class Policy(Protocol):
    """One entry's choice among endpoints that can serve every request."""

    def choose(self) -> FakeEndpoint:
        """Return the endpoint for the next request."""

    def report(self, loads: Sequence[int]) -> None:
        """Take over the load of each endpoint as it was a while ago."""


@dataclass(kw_only=True)
class RandomChoice:
    """Any endpoint."""

    endpoints: Sequence[FakeEndpoint]
    random: Random

    def choose(self) -> FakeEndpoint:
        """Return an endpoint drawn at random."""
        return self.random.choice(self.endpoints)

    def report(self, loads: Sequence[int]) -> None:
        """Ignore the reports."""


@dataclass(kw_only=True)
class RoundRobin:
    """Each endpoint in turn."""

    endpoints: Sequence[FakeEndpoint]
    random: Random
    _turns: "itertools.cycle[FakeEndpoint]" = field(init=False)

    def __post_init__(self) -> None:
        """Start at a random place."""
        start = self.random.randrange(len(self.endpoints))
        order = [*self.endpoints[start:], *self.endpoints[:start]]
        self._turns = itertools.cycle(order)

    def choose(self) -> FakeEndpoint:
        """Return the next endpoint."""
        return next(self._turns)

    def report(self, loads: Sequence[int]) -> None:
        """Ignore the reports."""


@dataclass(kw_only=True)
class LeastReported:
    """The endpoint with the fewest requests by the latest reports."""

    endpoints: Sequence[FakeEndpoint]
    random: Random
    _loads: list[int] = field(default_factory=list)

    def choose(self) -> FakeEndpoint:
        """Return the least loaded endpoint as far as reported; ties at random."""
        loads = self._loads or [0] * len(self.endpoints)
        least = min(loads)
        ties = [
            endpoint
            for endpoint, load in zip(self.endpoints, loads, strict=True)
            if load == least
        ]
        return self.random.choice(ties)

    def report(self, loads: Sequence[int]) -> None:
        """Take over the reported loads."""
        self._loads = list(loads)


@dataclass(kw_only=True)
class PerfectKnowledge:
    """The naive router that knows every endpoint's load at every instant."""

    endpoints: Sequence[FakeEndpoint]
    random: Random

    def choose(self) -> FakeEndpoint:
        """Return the least loaded endpoint; ties at random."""
        least = min(endpoint.in_flight for endpoint in self.endpoints)
        return self.random.choice(
            [item for item in self.endpoints if item.in_flight == least]
        )

    def report(self, loads: Sequence[int]) -> None:
        """Ignore the reports."""


class PolicyFactory(Protocol):
    """Makes the policy of one entry."""

    def __call__(self, *, endpoints: Sequence[FakeEndpoint], random: Random) -> Policy:
        """Return a policy over ``endpoints``."""


BASELINES: dict[str, PolicyFactory] = {
    "random": RandomChoice,
    "round robin": RoundRobin,
    "least reported": LeastReported,
    "perfect knowledge": PerfectKnowledge,
}
