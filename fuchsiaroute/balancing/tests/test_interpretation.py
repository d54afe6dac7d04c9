from collections import Counter
from random import Random

import pytest

from examples import timberline
from fuchsiaroute.balancing._interpretation import select_by_stale_load
from fuchsiaroute.balancing._loaded import LoadedEndpoint
from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.endpoints import EndpointRecord

MEAN_SERVICE_TIME = Milliseconds(4_000)
DRAWS = 4_000


def shares(loads: list[float], *, age: int) -> list[float]:
    candidates = [
        LoadedEndpoint(
            record=EndpointRecord(endpoint=endpoint, changed_at=Milliseconds(0)),
            load=load,
            capacity=32.0,
            report_age=Milliseconds(age),
        )
        for endpoint, load in zip(timberline.declare().endpoints, loads, strict=False)
    ]
    random = Random(1)
    drawn = Counter(
        select_by_stale_load(
            candidates, mean_service_time=MEAN_SERVICE_TIME, random=random
        ).record.endpoint.id
        for _ in range(DRAWS)
    )
    return [drawn[item.record.endpoint.id] / DRAWS for item in candidates]


@pytest.mark.parametrize(
    ("loads", "age", "expected"),
    [
        # Fresh report: the idle endpoint is filled first.
        ([0, 30, 30], 1, [1.0, 0.0, 0.0]),
        # Report half a service time old: 45 requests have ended, and 45 new ones are
        # assumed to have raised 15, 15 and 15 to 30 each.
        ([30, 30, 30], 2_000, [1 / 3, 1 / 3, 1 / 3]),
        # 30 requests have ended, and 30 new ones raise 0, 15 and 15 to 20 each.
        ([0, 30, 30], 2_000, [2 / 3, 1 / 6, 1 / 6]),
    ],
)
def test_draws_compensate_for_the_age_of_the_report(
    loads: list[float], age: int, expected: list[float]
) -> None:
    assert shares(loads, age=age) == pytest.approx(expected, abs=0.03)
