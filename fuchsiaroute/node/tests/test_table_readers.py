"""Which instances read the store's tables themselves."""

from collections.abc import Container, Sequence

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.gossip import Heartbeat, Liveness, MemberInfo
from fuchsiaroute.ids import FailureDomainId, InstanceId
from fuchsiaroute.node._table_readers import (
    LONG_WATCH,
    MAX_READER_RETRY_DELAY,
    MAX_RETRY_DELAY,
    MIN_FOR_RELAY,
    READER_COUNT,
    READER_WATCH,
    SHORT_WATCH,
    TableReaders,
)
from fuchsiaroute.platform import Table

DRAIN = Milliseconds(2_000)


def liveness_of(
    name: InstanceId, names: tuple[InstanceId, ...], links: Sequence[int]
) -> Liveness:
    """Return what an instance knows of the others; link 0 is not known."""
    known = Liveness(instance=name, clock=ManualClock(), dead_after=Milliseconds(2_000))
    for other, link in zip(names, links, strict=True):
        known.update_member(
            MemberInfo(
                instance=other,
                host="",
                port=1,
                frontend="",
                failure_domain=FailureDomainId("z"),
            )
        )
        known.merge(Heartbeat(other, 5, True, 0, link))
    return known


def all_readers(
    count: int,
    *,
    answer_age: int | None,
    links: Sequence[int] | None = None,
    unknown: Container[int] = (),
) -> list[TableReaders]:
    """
    Return the views of ``count`` instances in the order of their names.

    Others do not know the links of the instances with an ``unknown`` number.
    """
    links = links or [10] * count
    told = [0 if number in unknown else link for number, link in enumerate(links)]
    names = tuple(InstanceId(f"n{number:03}") for number in range(count))
    age = None if answer_age is None else Milliseconds(answer_age)
    return [
        TableReaders(
            instance=name,
            instances=lambda: names,
            answer_age=lambda table: age,
            drain=lambda: DRAIN,
            liveness=liveness_of(name, names, told),
            link_mbps=link,
        )
        for name, link in zip(names, links, strict=True)
    ]


def readers(views: list[TableReaders], table: Table) -> list[int]:
    return [
        number
        for number, view in enumerate(views)
        if view.watch_duration(table) == READER_WATCH
    ]


@pytest.mark.parametrize("table", [Table.ORDERS, Table.ENDPOINTS])
@pytest.mark.parametrize("wide", [(3, 9), (0, 1, 2, 17, 30), (5, 6, 7, 8)])
def test_readers_have_wide_links(wide: tuple[int, ...], table: Table) -> None:
    """Guards against all instances that wait for two with narrow links."""
    links = [200 if number in wide else 10 for number in range(40)]
    links[4] = 25
    found = readers(all_readers(40, answer_age=500, links=links), table)
    assert len(found) == READER_COUNT
    assert set(found) <= set(wide)


@pytest.mark.parametrize("table", [Table.ORDERS, Table.ENDPOINTS])
def test_one_wide_link_leaves_a_second_reader(table: Table) -> None:
    links = [200 if number == 7 else 10 for number in range(40)]
    found = readers(all_readers(40, answer_age=500, links=links), table)
    assert len(found) == READER_COUNT and 7 in found


@pytest.mark.parametrize("table", [Table.ORDERS, Table.ENDPOINTS])
def test_unknown_links_leave_the_order_by_hash(table: Table) -> None:
    """All instances of a large fleet start at once and know no links yet."""
    links = [200 if number % 10 == 0 else 10 for number in range(40)]
    unknown = all_readers(40, answer_age=500, links=links, unknown=range(40))
    same = all_readers(40, answer_age=500)
    assert readers(unknown, table) == readers(same, table)


def test_readers_follow_a_link_that_becomes_known() -> None:
    view = all_readers(20, answer_age=500, unknown=range(20))[0]
    for number in range(1, 20):
        view._liveness.merge(Heartbeat(f"n{number:03}", 6, True, 0, 1))
    assert not view.is_relayed(Table.ORDERS)
    for number in range(1, 20):
        view._liveness.merge(Heartbeat(f"n{number:03}", 7, True, 0, 100))
    assert view.is_relayed(Table.ORDERS)


@pytest.mark.parametrize("table", [Table.ORDERS, Table.ENDPOINTS])
def test_few_instances_read_the_tables_of_a_large_fleet(table: Table) -> None:
    views = all_readers(MIN_FOR_RELAY, answer_age=500)
    watches = [view.watch_duration(table) for view in views]
    assert watches.count(READER_WATCH) == READER_COUNT
    assert [view.is_relayed(table) for view in views].count(False) == READER_COUNT
    delays = [view.max_retry_delay(table) for view in views]
    assert delays.count(MAX_READER_RETRY_DELAY) == READER_COUNT
    assert delays.count(MAX_RETRY_DELAY) == MIN_FOR_RELAY - READER_COUNT


@pytest.mark.parametrize("answer_age", [None, 1_200])
def test_instances_read_themselves_without_recent_answers_of_readers(
    answer_age: int | None,
) -> None:
    views = all_readers(MIN_FOR_RELAY, answer_age=answer_age)
    assert not any(view.is_relayed(Table.ORDERS) for view in views)


def test_all_instances_of_a_small_fleet_read_one_with_short_watches() -> None:
    views = all_readers(MIN_FOR_RELAY - 1, answer_age=500)
    assert not any(view.is_relayed(Table.ORDERS) for view in views)
    watches = [view.watch_duration(Table.ORDERS) for view in views]
    assert watches == [SHORT_WATCH, *[LONG_WATCH] * (MIN_FOR_RELAY - 2)]
