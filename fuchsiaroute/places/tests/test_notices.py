"""What instances know of brittle endpoints, from answers and from each other."""

from dataclasses import replace

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.ids import EndpointId, FailureDomainId, ServiceId, VersionId
from fuchsiaroute.places import BrittleNotice, BrittleNotices
from fuchsiaroute.places._notices import NOTICE_TIME

ENDPOINT = Endpoint(
    id=EndpointId("e"),
    service=ServiceId("s"),
    host="10.0.0.1",
    port=80,
    failure_domain=FailureDomainId("z1"),
    version=VersionId("v1"),
    slots=4,
    is_draining=False,
    cold_remaining=Milliseconds(0),
    started_at=Milliseconds(1),
)
OTHER = replace(ENDPOINT, id=EndpointId("other"))
STRANGER = replace(OTHER, service=ServiceId("another"))


def notice(at: int, tolerance: float | None, *, started_at: int = 1) -> BrittleNotice:
    return BrittleNotice(
        endpoint=ENDPOINT.id,
        service=ENDPOINT.service,
        started_at=started_at,
        tolerance=tolerance,
        at=Milliseconds(at),
    )


@pytest.mark.parametrize(
    ("notices", "expected"),
    [
        ([], None),
        ([notice(5, None)], None),
        ([notice(5, 4.0)], 4.0),
        ([notice(5, 4.0), notice(6, 2.0)], 2.0),
        ([notice(5, 4.0), notice(6, None)], None),
        ([notice(6, None), notice(5, 4.0)], 4.0),
        ([notice(5, 4.0), notice(7, None), notice(6, 4.0)], None),
        # The former process of the endpoint is no longer of interest.
        ([notice(5, 4.0, started_at=1), notice(6, 2.0, started_at=0)], 4.0),
    ],
)
def test_latest_notice_counts(
    notices: list[BrittleNotice], expected: float | None
) -> None:
    held = BrittleNotices(clock=ManualClock())
    for item in notices:
        held.apply(item)
    assert held.tolerance(ENDPOINT) == expected
    assert held.has_brittle is (expected is not None)


def test_endpoint_that_has_not_answered_counts_as_its_service() -> None:
    held = BrittleNotices(clock=ManualClock())
    assert held.record(ENDPOINT, 4.0)
    assert held.tolerance(OTHER) == 4.0
    assert held.tolerance(STRANGER) is None
    assert held.tolerance(replace(ENDPOINT, started_at=Milliseconds(2))) == 4.0
    held.record(OTHER, None)
    assert held.tolerance(OTHER) is None


def test_no_notice_is_held_where_no_endpoint_is_brittle() -> None:
    held = BrittleNotices(clock=ManualClock())
    assert not held.record(ENDPOINT, None)
    assert held.notices() == []


def test_notices_of_endpoints_that_are_gone_are_forgotten() -> None:
    clock = ManualClock()
    held = BrittleNotices(clock=clock)
    held.record(ENDPOINT, 4.0)
    held.record(OTHER, None)
    clock.tick(Milliseconds(NOTICE_TIME + 1))
    held.forget(is_announced=lambda name: True)
    assert [item.endpoint for item in held.notices()] == [ENDPOINT.id]
    held.forget(is_announced=lambda name: False)
    assert held.notices() == []
    assert not held.has_brittle
