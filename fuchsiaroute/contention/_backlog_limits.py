"""How much work may be queued at an engine before a request of each priority."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.deployment import Route
from fuchsiaroute.ids import ServiceId

#: Maximum backlog of an engine as a share of the latency target. Engines process
#: prompts in order of arrival; requests that wait at an instance can be reordered.
BACKLOG_SHARE = 0.35


@dataclass(frozen=True)
class _Rank:
    """The routes of a service with one priority."""

    priority: int
    #: Shortest latency target of these routes.
    target: Milliseconds


@dataclass(frozen=True)
class BacklogLimits:
    """
    Limits for the services of a deployment.

    Answers this load: a less urgent kind of request with a long latency target comes in
    a burst. If its own target alone set its limit, it would keep every engine's backlog
    above that of a more urgent kind with a shorter one, which would wait at the
    instances and be late first. So no request may be sent to a longer queue than any
    more urgent kind of its service: what waits, waits where its priority counts. All
    instances compute the same limits, without a message.
    """

    #: Ranks by service, the most urgent first.
    _ranks: Mapping[ServiceId, tuple[_Rank, ...]]

    def reference_target(
        self, service: ServiceId, priority: int, target: Milliseconds
    ) -> Milliseconds:
        """
        Return the shortest latency target of the requests that are as urgent or more.

        ``target`` is that of the request itself; 0 stands for none.
        """
        return min(
            (
                rank.target
                for rank in self._ranks.get(service, ())
                if rank.priority <= priority
            ),
            default=target,
            key=_with_target_first,
        )

    def limit(self, service: ServiceId, priority: int, target: Milliseconds) -> float:
        """Return the milliseconds of work that may be queued before a request."""
        reference = self.reference_target(service, priority, target)
        shortest = min(reference, target, key=_with_target_first)
        return shortest * BACKLOG_SHARE or math.inf


def backlog_limits(routes: Iterable[Route]) -> BacklogLimits:
    """Return the limits that follow from the routes of a deployment."""
    targets: dict[ServiceId, dict[int, Milliseconds]] = {}
    for route in routes:
        for share in route.shares:
            by_priority = targets.setdefault(share.service, {})
            known = by_priority.get(route.priority, route.latency_target)
            by_priority[route.priority] = min(
                known, route.latency_target, key=_with_target_first
            )
    return BacklogLimits(
        {
            service: tuple(_Rank(*item) for item in sorted(by_priority.items()))
            for service, by_priority in targets.items()
        }
    )


def _with_target_first(target: Milliseconds) -> float:
    """Order targets by length; 0, which stands for none, is the longest."""
    return target or math.inf
