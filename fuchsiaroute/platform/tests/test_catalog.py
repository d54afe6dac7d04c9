"""Announcements of endpoints as the store tells them."""

import json
from random import Random

import pytest

from fuchsiaroute.catalog import Catalog
from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.ids import InstanceId
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.platform import Row, Rows
from fuchsiaroute.platform.tests.standin import Endpoint
from fuchsiaroute.pool import EndpointPool

DRAIN = Milliseconds(2_000)
#: Time after which a removal has taken effect, whatever put it off.
LONG = Milliseconds(5_000)


def announced(revision: int) -> Row:
    value = Endpoint().announcement(Address="10.0.0.1:80")
    return Row(key="a", value=json.dumps(value).encode(), revision=revision)


def removed(revision: int) -> Row:
    return Row(key="a", value=None, revision=revision)


@pytest.mark.parametrize(
    ("rows", "is_kept"),
    [
        ([removed(5)], False),
        # The announcement lapsed and came back between two answers of the store.
        ([removed(5), announced(6)], True),
        ([removed(5), announced(6), removed(7)], False),
        ([announced(5), removed(6)], False),
        ([announced(5)], True),
    ],
)
@pytest.mark.parametrize("is_after_outage", [True, False])
def test_last_row_of_an_answer_decides(
    rows: list[Row], is_kept: bool, is_after_outage: bool
) -> None:
    """Seed 1059948882352 on grown hanbit-handbook: all endpoints were removed."""
    clock = ManualClock()
    pool = EndpointPool(instance=InstanceId("me"), clock=clock, random=Random(1))
    log = LineLog(clock=clock, instance="me", write=len)
    catalog = Catalog(pool=pool, clock=clock, log=log, drain=DRAIN)
    catalog.apply_endpoints(Rows(rows=(announced(1),), revision=1), is_whole=True)
    if is_after_outage:
        catalog.store_recovered()
    catalog.apply_endpoints(Rows(rows=tuple(rows), revision=9), is_whole=False)
    clock.tick(LONG)
    catalog.remove_due()
    assert len(pool) == int(is_kept)
