"""Which instances read the store's tables themselves."""

import pytest

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import InstanceId
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


def all_readers(count: int, *, answer_age: int | None) -> list[TableReaders]:
    """Return the views of ``count`` instances in the order of their names."""
    names = tuple(InstanceId(f"n{number:03}") for number in range(count))
    age = None if answer_age is None else Milliseconds(answer_age)
    return [
        TableReaders(
            instance=name,
            instances=lambda: names,
            answer_age=lambda table: age,
            drain=lambda: DRAIN,
        )
        for name in names
    ]


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
