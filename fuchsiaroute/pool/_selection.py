"""Selection of one of the endpoints that can take a request."""

import math
from random import Random

from fuchsiaroute.hashing import rendezvous_hash
from fuchsiaroute.pool._demand import Demand
from fuchsiaroute.pool._member import PoolMember

#: Probability that the second endpoint in the affinity order has the shared prompt part
#: cached, because recent requests could not use the first endpoint.
SECOND_CHOICE_CACHE_PROBABILITY = 0.5
#: Milliseconds by which each running request delays a new one: it lengthens every step
#: of the engine's batch.
RUNNING_REQUEST_DELAY_MS = 1.5
#: Exponent of the success rate in the score: an endpoint at which half of the requests
#: fail counts as eight times as loaded.
SUCCESS_RATE_EXPONENT = 3.0
#: Maximum random increase of a score, so that instances with the same loads do not all
#: select the same endpoint.
SCORE_JITTER = 0.1


class Selection:
    """Selects by load, speed, reliability and, where prompts are shared, warmth."""

    def __init__(self, random: Random) -> None:
        self._random = random

    def select(self, members: list[PoolMember], demand: Demand) -> PoolMember:
        """Return one of ``members``, of which there is at least one."""
        if not demand.affinity:
            return min(members, key=self._score)
        ranked = sorted(
            members,
            key=lambda item: -rendezvous_hash(demand.affinity, item.endpoint.id),
        )
        extra = demand.uncached_factor - 1.0
        factors = {item.endpoint.id: 1.0 + extra for item in ranked}
        cached = (1.0, SECOND_CHOICE_CACHE_PROBABILITY)
        for item, probability in zip(ranked, cached, strict=False):
            factors[item.endpoint.id] = 1.0 + extra * (1.0 - probability)
        return min(
            ranked,
            key=lambda item: self._expected_wait(
                item, demand.work * factors[item.endpoint.id]
            ),
        )

    def _expected_wait(self, member: PoolMember, work: float) -> float:
        """Return the expected milliseconds until an engine starts to answer."""
        reliability = math.pow(
            max(member.current_success_rate, 0.05), SUCCESS_RATE_EXPONENT
        )
        jitter = 1.0 + SCORE_JITTER * self._random.random()
        running = member.load * RUNNING_REQUEST_DELAY_MS
        expected = (member.backlog + work + running) * member.current_relative_latency
        return expected / reliability * jitter

    def _score(self, member: PoolMember) -> float:
        load = (member.load + 1.0) / member.endpoint.slots
        reliability = math.pow(
            max(member.current_success_rate, 0.05), SUCCESS_RATE_EXPONENT
        )
        jitter = 1.0 + SCORE_JITTER * self._random.random()
        return load * member.current_relative_latency / reliability * jitter
