from collections import Counter
from random import Random

import pytest

from examples import timberline
from fuchsiaroute.balancing._interpretation import interpret
from fuchsiaroute.balancing._loaded import LoadedEndpoint
from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.endpoints import EndpointRecord

MEAN_SERVICE = Milliseconds(4_000)
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
        interpret(
            candidates, mean_service=MEAN_SERVICE, random=random
        ).record.endpoint.id
        for _ in range(DRAWS)
    )
    return [drawn[item.record.endpoint.id] / DRAWS for item in candidates]


@pytest.mark.parametrize(
    ("loads", "age", "expected"),
    [
        # A fresh report: the idle endpoint is filled first.
        ([0, 30, 30], 1, [1.0, 0.0, 0.0]),
        # Half a service time old: 45 ended, which levels 15, 15 and 15 again.
        ([30, 30, 30], 2_000, [1 / 3, 1 / 3, 1 / 3]),
        # 30 ended, and 30 level 0, 15 and 15 at 20.
        ([0, 30, 30], 2_000, [2 / 3, 1 / 6, 1 / 6]),
    ],
)
def test_draws_level_the_load(
    loads: list[float], age: int, expected: list[float]
) -> None:
    assert shares(loads, age=age) == pytest.approx(expected, abs=0.03)
