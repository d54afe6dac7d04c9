"""
A burst of less urgent requests beside more urgent ones.

Guards against engines whose queues are kept full by less urgent requests with a long
latency target, so that more urgent ones with a shorter target are late.
"""

import math

import pytest

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.contention import BACKLOG_SHARE, backlog_limits
from fuchsiaroute.deployment import RequestKind, Route, ServiceShare
from fuchsiaroute.ids import ServiceId

MODELS, LEDGER, OTHER = ServiceId("models"), ServiceId("ledger"), ServiceId("other")


def route(priority: int, target: int, *services: ServiceId) -> Route:
    return Route(
        name=f"{priority}-{target}",
        host="front.example",
        prefix=f"/{priority}-{target}/",
        kind=RequestKind.STREAMING,
        timeout=Milliseconds(20_000),
        latency_target=Milliseconds(target),
        priority=priority,
        models=(),
        shares=tuple(ServiceShare(service=item, weight=1.0) for item in services),
        max_attempts=3,
        is_public=False,
        is_resumable=True,
        max_event_gap=Milliseconds(2_000),
    )


#: An urgent kind with a short target beside two less urgent ones with longer targets.
INVERTED = (
    route(0, 1_500, MODELS),
    route(1, 2_000, MODELS),
    route(2, 4_000, MODELS, OTHER),
    route(2, 150, LEDGER),
)


@pytest.mark.parametrize(
    ("service", "priority", "target", "expected"),
    [
        (MODELS, 0, 1_500, 1_500),
        (MODELS, 1, 2_000, 1_500),
        (MODELS, 2, 4_000, 1_500),
        # Routes of other services do not count.
        (OTHER, 2, 4_000, 4_000),
        (LEDGER, 2, 150, 150),
        # An organisation's priority that no route has.
        (MODELS, 9, 4_000, 1_500),
        (OTHER, 0, 4_000, 4_000),
        # A target that is shorter than those of more urgent requests stays.
        (MODELS, 2, 500, 500),
        # A service that the deployment does not declare, and requests without a target.
        (ServiceId("new"), 2, 800, 800),
        (MODELS, 2, 0, 1_500),
        (ServiceId("new"), 2, 0, math.inf),
    ],
)
def test_limit_follows_the_shortest_target_of_the_urgent(
    service: ServiceId, priority: int, target: int, expected: float
) -> None:
    limits = backlog_limits(INVERTED)
    found = limits.limit(service, priority, Milliseconds(target))
    assert found == expected * BACKLOG_SHARE


@pytest.mark.parametrize("backlog", range(0, 1_500, 50))
def test_room_for_a_less_urgent_request_is_room_for_an_urgent_one(
    backlog: int,
) -> None:
    limits = backlog_limits(INVERTED)
    has_room = [
        backlog <= limits.limit(MODELS, item.priority, item.latency_target)
        for item in INVERTED[:3]
    ]
    assert has_room == sorted(has_room, reverse=True)


def test_equal_targets_are_left_as_they_are() -> None:
    """Guards against a change for deployments whose targets agree with their ranks."""
    routes = (route(0, 1_500, MODELS), route(1, 1_500, MODELS), route(2, 1_000, MODELS))
    limits = backlog_limits(routes)
    for item in routes:
        found = limits.limit(MODELS, item.priority, item.latency_target)
        assert found == item.latency_target * BACKLOG_SHARE


def test_route_without_a_target_does_not_lift_the_limit() -> None:
    limits = backlog_limits((route(0, 0, MODELS), route(1, 2_000, MODELS)))
    assert limits.limit(MODELS, 1, Milliseconds(2_000)) == 2_000 * BACKLOG_SHARE
