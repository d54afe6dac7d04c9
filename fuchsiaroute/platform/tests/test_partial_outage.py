"""
A store that turns one instance away and serves the others.

Guards against an instance that goes on using an endpoint, a key or a failure domain
because only its peers could read that it is gone.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.node import _table_readers
from fuchsiaroute.platform.tests.node_harness import CONFIGURATION, NodeHarness
from fuchsiaroute.platform.tests.standin import Endpoint, StoreView

#: ``Bounds.DrainMs`` and ``ConfigApplyMs`` of the harness's settings, which state none.
BOUND = Milliseconds(2_000)
#: ``Bounds.ContactMs`` of the small deployments.
CONTACT = Milliseconds(3_000)
#: Time in which calls in progress fail, so that the instance has lost the store.
OUTAGE_START_S = 1.2
NEW_KEY = {
    **CONFIGURATION,
    "Version": 2,
    "Tenants": [{"Name": "org", "ApiKeys": ["new"]}],
}


@dataclass
class Pair:
    """An instance that the store serves and one that it may turn away."""

    served: NodeHarness
    refused: NodeHarness
    view: StoreView
    endpoints: tuple[Endpoint, ...]

    def turn_away(self, how: str) -> None:
        self.view.is_silent = how == "silent"
        self.view.is_down = how == "busy"
        for connection in list(self.view.connections):
            connection.close()

    async def within_bound(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(BOUND / 1_000):
            await self.refused.until(condition)

    def usable(self) -> set[str]:
        return {
            member.endpoint.id
            for member in self.refused.node._parts.pool.members("app")
            if member.is_usable
        }


@asynccontextmanager
async def pair(*endpoints: Endpoint) -> AsyncIterator[Pair]:
    async with NodeHarness(*endpoints, name="a-served") as served:
        view = StoreView(served.store)
        async with NodeHarness(name="b-refused", store=view) as refused:
            parts = (served.node._parts, refused.node._parts)
            await served.until(
                lambda: all(len(item.instances()) == 2 for item in parts)
            )
            await served.until(lambda: len(refused.node._parts.pool) == len(endpoints))
            # A new process waits for gossip before its first watch.
            await served.until(
                lambda: refused.node._parts.store.calls["watch endpoints"]
            )
            yield Pair(served, refused, view, endpoints)


LEAVING = {"removed": None, "draining": "draining"}


@pytest.mark.parametrize("relay", ["none", "lost"])
@pytest.mark.parametrize("how", ["silent", "busy"])
@pytest.mark.parametrize("state", LEAVING.values(), ids=LEAVING)
async def test_leaving_endpoint_is_not_used_by_an_instance_that_is_turned_away(
    how: str, state: str | None, relay: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With a relay, the datagram with an earlier change is lost."""
    if relay == "lost":
        monkeypatch.setattr(_table_readers, "MIN_FOR_RELAY", 2)
    leaving, staying = Endpoint(), Endpoint()
    async with pair(leaving, staying) as instances:
        instances.turn_away(how)
        await asyncio.sleep(OUTAGE_START_S)
        store = instances.served.store
        if relay == "lost":
            monkeypatch.setattr(
                instances.served.node._parts.gossip, "relay", lambda update: None
            )
            store.put("servers", "other", Endpoint().announcement(Service="other"))
            await asyncio.sleep(0.6)
            monkeypatch.undo()
            monkeypatch.setattr(_table_readers, "MIN_FOR_RELAY", 2)
        row = None if state is None else leaving.announcement(State=state)
        store.put("servers", leaving.id, row)
        await instances.within_bound(lambda: instances.usable() == {staying.id})
        for number in range(4):
            await instances.refused.caller().ask("/read/", request_id=f"q{number}")
        assert (len(leaving.requests), len(staying.requests)) == (0, 4)


@pytest.mark.parametrize("how", ["silent", "busy"])
async def test_order_reaches_an_instance_that_is_turned_away(how: str) -> None:
    one, other = Endpoint(), Endpoint(Zone="z2")
    async with pair(one, other) as instances:
        instances.turn_away(how)
        await asyncio.sleep(OUTAGE_START_S)
        instances.served.store.put("op", "config", NEW_KEY)
        instances.served.store.put("op", "evacuate/z1", {})
        await instances.within_bound(lambda: instances.usable() == {other.id})
        catalog = instances.refused.node._parts.catalog
        await instances.within_bound(lambda: catalog.deployment.version == 2)
        assert (await instances.refused.caller().ask("/read/", key="new")).status == 200


@pytest.mark.parametrize("table", ["endpoints", "orders"])
async def test_instance_is_up_to_date_once_it_is_in_touch_again(
    table: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """
    Guards against a late notice of the store's return and a removal deferred after it.

    Peers were served all along, but what they send of the tables does not arrive.
    """
    leaving, staying = Endpoint(), Endpoint(Zone="z2")
    async with pair(leaving, staying) as instances:
        parts = instances.refused.node._parts
        for feed in (parts.endpoints_feed, parts.orders_feed):
            monkeypatch.setattr(feed, "apply_relayed", lambda rows, **details: False)
        instances.turn_away("silent")
        await asyncio.sleep(OUTAGE_START_S)
        if table == "endpoints":
            instances.served.store.put("servers", leaving.id, None)
        else:
            instances.served.store.put("op", "evacuate/z1", {})
        await asyncio.sleep(4)
        instances.view.is_silent = False
        async with asyncio.timeout(CONTACT / 1_000):
            await instances.refused.until(lambda: instances.usable() == {staying.id})
