"""Baseline policies for choosing an endpoint."""

import itertools
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from benches._load_endpoints import FakeEndpoint


class Policy(Protocol):
    """Chooses among endpoints that can all serve every request."""

    def choose(self) -> FakeEndpoint:
        """Return the endpoint for the next request."""

    def report(self, loads: Sequence[int]) -> None:
        """Record the delayed load reports of all endpoints."""


@dataclass(kw_only=True)
class RandomChoice:
    """A random endpoint."""

    endpoints: Sequence[FakeEndpoint]
    random: Random

    def choose(self) -> FakeEndpoint:
        """Return a random endpoint."""
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
        """Start at a random endpoint."""
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
    """The endpoint with the fewest requests in the latest reports."""

    endpoints: Sequence[FakeEndpoint]
    random: Random
    _loads: list[int] = field(default_factory=list)

    def choose(self) -> FakeEndpoint:
        """Return the endpoint with the lowest reported load; ties at random."""
        loads = self._loads or [0] * len(self.endpoints)
        least = min(loads)
        ties = [
            endpoint
            for endpoint, load in zip(self.endpoints, loads, strict=True)
            if load == least
        ]
        return self.random.choice(ties)

    def report(self, loads: Sequence[int]) -> None:
        """Record the reported loads."""
        self._loads = list(loads)


@dataclass(kw_only=True)
class PerfectKnowledge:
    """The endpoint with the lowest current load, read without delay."""

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
    """Creates the policy of one entry."""

    def __call__(self, *, endpoints: Sequence[FakeEndpoint], random: Random) -> Policy:
        """Return a policy over ``endpoints``."""


BASELINES: dict[str, PolicyFactory] = {
    "random": RandomChoice,
    "round robin": RoundRobin,
    "least reported": LeastReported,
    "perfect knowledge": PerfectKnowledge,
}
