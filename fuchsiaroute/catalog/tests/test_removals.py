"""Announcements that are gone: withdrawn, or expired during a store outage."""

from collections import Counter

import pytest

from fuchsiaroute.catalog import PendingRemovals
from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.ids import EndpointId, ServiceId

SERVICE = ServiceId("s")
DRAIN = Milliseconds(2_000)


def gone(*names: str) -> dict[EndpointId, ServiceId]:
    return {EndpointId(name): SERVICE for name in names}


@pytest.mark.parametrize(
    ("names", "regained", "waits"),
    [
        # One of ten leaves while the store is reachable.
        (("a",), None, 0),
        # Announcements expired during an outage; endpoints have 2 s to renew them.
        (("a",), 0, 2_000),
        (("a",), 1_500, 500),
        (("a",), 3_000, 0),
        # Half of a service is removed at once: deferred, within the drain bound.
        (("a", "b", "c", "d", "e"), None, 800),
    ],
)
def test_time_until_an_endpoint_is_removed(
    names: tuple[str, ...], regained: int | None, waits: int
) -> None:
    clock = ManualClock()
    removals = PendingRemovals(clock=clock, drain=DRAIN)
    if regained is not None:
        removals.store_recovered()
        clock.tick(Milliseconds(regained))
    removals.removed(gone(*names), sizes=Counter({SERVICE: 10}))
    if waits:
        clock.tick(Milliseconds(waits - 1))
        assert list(removals.due()) == []
        clock.tick(Milliseconds(1))
    assert sorted(removals.due()) == sorted(names)
    assert list(removals.due()) == []


def test_endpoint_that_announces_itself_again_is_kept() -> None:
    clock = ManualClock()
    removals = PendingRemovals(clock=clock, drain=DRAIN)
    removals.store_recovered()
    removals.removed(gone("a", "b"), sizes=Counter({SERVICE: 2}))
    removals.announced(EndpointId("a"))
    clock.tick(Milliseconds(2_000))
    assert list(removals.due()) == ["b"]
