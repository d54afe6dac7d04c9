"""Endpoint announcements read from the store."""

import json
from random import Random

import pytest

from fuchsiaroute.catalog import Catalog
from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.ids import InstanceId, ServiceId
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.platform import Row, Rows, Table
from fuchsiaroute.platform.tests.standin import Endpoint
from fuchsiaroute.pool import EndpointPool
from fuchsiaroute.store import store_position

DRAIN = Milliseconds(2_000)
#: Time after which a removal has taken effect, even if it was deferred.
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
        # The announcement was removed and written again between two store responses.
        ([removed(5), announced(6)], True),
        ([removed(5), announced(6), removed(7)], False),
        ([announced(5), removed(6)], False),
        ([announced(5)], True),
    ],
)
@pytest.mark.parametrize("is_after_outage", [True, False])
def test_last_row_of_a_store_response_decides(
    rows: list[Row], is_kept: bool, is_after_outage: bool
) -> None:
    """
    A removal and a newer announcement of an endpoint can come in one response.

    All endpoints were removed then (seed 1059948882352 on grown hanbit-handbook).
    """
    clock = ManualClock()
    pool = EndpointPool(instance=InstanceId("me"), clock=clock, random=Random(1))
    log = LineLog(clock=clock, instance="me", write=len)
    catalog = Catalog(pool=pool, clock=clock, log=log, drain=DRAIN)
    catalog.apply_endpoints(Rows(rows=(announced(1),), revision=1), is_whole=True)
    if is_after_outage:
        catalog.store_recovered(clock.now())
    catalog.apply_endpoints(Rows(rows=tuple(rows), revision=9), is_whole=False)
    clock.tick(LONG)
    catalog.remove_due()
    assert len(pool) == int(is_kept)


@pytest.mark.parametrize(
    "value",
    [
        b"{",
        b'{"Unknown":' + b"[" * 5_000 + b"]" * 5_000 + b"}",
        json.dumps(Endpoint().announcement(Address="10.0.0.2:\u00b2")).encode(),
        json.dumps(Endpoint().announcement(Address="10.0.0.2:70000")).encode(),
    ],
)
def test_unreadable_announcement_leaves_the_others_in_force(value: bytes) -> None:
    """Guards against a row that stops the list of endpoints for good (review/1)."""
    clock = ManualClock()
    pool = EndpointPool(instance=InstanceId("me"), clock=clock, random=Random(1))
    log = LineLog(clock=clock, instance="me", write=len)
    catalog = Catalog(pool=pool, clock=clock, log=log, drain=DRAIN)
    other = Row(key="0-other", value=value, revision=1)
    catalog.apply_endpoints(Rows(rows=(other, announced(2)), revision=2), is_whole=True)
    assert [item.id for item in pool.endpoints()] == ["a"]
    changes = (Row(key="0-other", value=value, revision=3), removed(4))
    catalog.apply_endpoints(Rows(rows=changes, revision=4), is_whole=False)
    clock.tick(LONG)
    catalog.remove_due()
    assert len(pool) == 0


def test_row_that_fails_in_any_way_leaves_the_others_in_force(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a fault of this build that one row brings out in all instances."""
    clock = ManualClock()
    pool = EndpointPool(instance=InstanceId("me"), clock=clock, random=Random(1))
    lines: list[bytes] = []
    log = LineLog(
        clock=clock, instance="me", write=lambda data: lines.append(data) or len(data)
    )
    catalog = Catalog(pool=pool, clock=clock, log=log, drain=DRAIN)
    announce = pool.announce

    def failing(endpoint):  # type: ignore[no-untyped-def]
        if endpoint.id == "b":
            raise ZeroDivisionError
        announce(endpoint)

    monkeypatch.setattr(pool, "announce", failing)
    bad = Row(key="b", value=announced(1).value, revision=1)
    catalog.apply_endpoints(Rows(rows=(bad, announced(2)), revision=2), is_whole=True)
    assert [item.id for item in pool.endpoints()] == ["a"]
    assert b"ZeroDivisionError" in b"".join(lines)


@pytest.mark.parametrize("is_whole", [True, False])
def test_rollout_order_whose_row_becomes_unreadable_stays_in_force(
    is_whole: bool,
) -> None:
    """Guards against instances that differ, by how they read the row."""
    clock = ManualClock()
    pool = EndpointPool(instance=InstanceId("me"), clock=clock, random=Random(1))
    log = LineLog(clock=clock, instance="me", write=len)
    catalog = Catalog(pool=pool, clock=clock, log=log, drain=DRAIN)
    value = b'{"Service": "s", "To": "v2", "DurationS": 12}'
    order = Row(key="rollout/s", value=value, revision=1)
    catalog.apply_orders(Rows(rows=(order,), revision=1), is_whole=True)
    unreadable = Row(key="rollout/s", value=b"[[", revision=2)
    catalog.apply_orders(Rows(rows=(unreadable,), revision=2), is_whole=is_whole)
    assert catalog.rollout_orders[ServiceId("s")].target == "v2"


@pytest.mark.parametrize(
    ("target", "version", "is_continued"),
    [("v2", 5, True), ("v2", 6, False), ("v3", 5, False)],
)
def test_order_that_was_removed_is_continued_only_if_the_copy_brings_it_back(
    target: str, version: int, is_continued: bool
) -> None:
    """Guards against a version that is never tried again after a restore."""
    clock = ManualClock()
    pool = EndpointPool(instance=InstanceId("me"), clock=clock, random=Random(1))
    log = LineLog(clock=clock, instance="me", write=len)
    catalog = Catalog(pool=pool, clock=clock, log=log, drain=DRAIN)
    found = []
    catalog.on_order_continued = lambda former, order: found.append("continued")
    catalog.on_order_begun = lambda order: found.append("begun")

    def ordered(target: str, revision: int) -> Rows:
        value = {"Service": "s", "To": target, "DurationS": 12}
        row = Row(key="rollout/s", value=json.dumps(value).encode(), revision=revision)
        return Rows(rows=(row,), revision=revision)

    catalog.apply_orders(ordered("v2", 5), is_whole=False)
    catalog.apply_orders(
        Rows(rows=(Row(key="rollout/s", value=None, revision=7),), revision=7),
        is_whole=False,
    )
    assert not catalog.rollout_orders
    catalog.apply_orders(ordered(target, store_position(1, version)), is_whole=False)
    assert found == ["continued" if is_continued else "begun"]


def test_order_that_a_copy_lacks_holds_until_it_may_be_written_again() -> None:
    """The whole table is read a second time right after the restore."""
    clock = ManualClock()
    pool = EndpointPool(instance=InstanceId("me"), clock=clock, random=Random(1))
    log = LineLog(clock=clock, instance="me", write=len)
    catalog = Catalog(pool=pool, clock=clock, log=log, drain=DRAIN)
    catalog.apply_endpoints(Rows(rows=(announced(1),), revision=1), is_whole=True)
    order = Row(key="evacuate/z1", value=b"{}", revision=2)
    catalog.apply_orders(Rows(rows=(order,), revision=2), is_whole=True)
    catalog.store_restored(Table.ORDERS)
    for _ in range(2):
        catalog.apply_orders(Rows(rows=(), revision=1 << 48), is_whole=True)
        clock.tick(Milliseconds(4_000))
        catalog.remove_due()
        assert catalog._evacuated == {"z1"}
    clock.tick(Milliseconds(4_000))
    catalog.remove_due()
    assert not catalog._evacuated
