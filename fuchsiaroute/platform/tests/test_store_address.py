"""Calls to the store around a change of its address by SIGHUP."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from fuchsiaroute.clock import Milliseconds, SystemClock
from fuchsiaroute.platform import Address, PlatformStore, Rows, Table
from fuchsiaroute.platform.tests.standin import Store
from fuchsiaroute.store import StorePosition


@pytest.fixture
async def stores() -> AsyncIterator[tuple[Store, Store]]:
    former, latter = Store(), Store()
    for store in (former, latter):
        await store.listen()
        store.put("op", "config", store.port)
    yield former, latter
    former.close()
    latter.close()


def _address(store: Store) -> Address:
    return Address(host="127.0.0.1", port=store.port)


async def test_call_in_progress_ends_and_its_connection_is_not_used_again(
    stores: tuple[Store, Store],
) -> None:
    """A watch is always in progress; later calls went on to the former address."""
    former, latter = stores
    client = PlatformStore(_address(former), clock=SystemClock())
    position: StorePosition = (await client.read_table(Table.ORDERS)).unwrap().revision
    watch = asyncio.create_task(
        client.watch(Table.ORDERS, after=position, wait=Milliseconds(10_000))
    )
    while former.calls.count("rows-feed") == 0:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    client.set_address(_address(latter))
    former.put("op", "config", "changed")
    changes = (await watch).unwrap()
    assert isinstance(changes, Rows)
    assert [row.value for row in changes.rows] == [b'"changed"']
    later = (await client.read_table(Table.ORDERS)).unwrap()
    assert [row.value for row in later.rows] == [str(latter.port).encode()]
    assert former.calls.count("rows-get") == 1
    client.close()
