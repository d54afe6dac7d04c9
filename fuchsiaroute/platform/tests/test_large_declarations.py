"""
Declarations of thousands of routes, on narrow links and beside a store that is away.

Guards against an instance that goes on using a dropped key or route because a large
declaration reaches it late or never.
"""

import asyncio
import random
import string
from dataclasses import replace
from typing import Any

import pytest
from returns.result import Failure, Success

from fuchsiaroute.clock import Milliseconds, SystemClock
from fuchsiaroute.gossip import MemberInfo
from fuchsiaroute.ids import FailureDomainId, InstanceId
from fuchsiaroute.node import _table_readers
from fuchsiaroute.platform import Address, PlatformStore, Rows, Table
from fuchsiaroute.platform._store import STALL_TIMEOUT
from fuchsiaroute.platform.tests.narrow_link import narrow_link
from fuchsiaroute.platform.tests.node_harness import CONFIGURATION, ROUTES, NodeHarness
from fuchsiaroute.platform.tests.standin import Endpoint, Store, StoreView
from fuchsiaroute.store import StorePosition

#: ``Bounds.ConfigApplyMs`` of the harness's settings, which state none.
BOUND = Milliseconds(2_000)
#: Routes whose compressed declaration does not fit into a datagram.
ROUTE_COUNT = 4_000


def declaration(version: int, **changes: Any) -> dict[str, Any]:
    """Return a large declaration; its routes are the same in all versions."""
    letters = random.Random(1)
    routes = [
        {**ROUTES[0], "Name": f"extra-{name}", "Prefix": f"/{name}/"}
        for name in (
            "".join(letters.choices(string.ascii_lowercase + string.digits, k=12))
            for _ in range(ROUTE_COUNT)
        )
    ]
    return {
        **CONFIGURATION,
        "Version": version,
        "Routes": [*ROUTES, *routes],
        **changes,
    }


NEW_KEY = {"Tenants": [{"Name": "org", "ApiKeys": ["new"]}]}


async def test_response_that_keeps_arriving_is_not_cut_off() -> None:
    """Guards against a table that is read again and again, and never whole."""
    store = Store()
    store.era = None
    await store.listen()
    store.put("op", "config", declaration(1))
    async with narrow_link(store.port, bytes_per_second=1_000_000) as link:
        client = PlatformStore(
            Address(host="127.0.0.1", port=link.port), clock=SystemClock()
        )
        found = await client.watch(
            Table.ORDERS,
            after=StorePosition(0),
            wait=Milliseconds(0),
            within=Milliseconds(300),
        )
        client.close()
    store.close()
    match found:
        case Success(Rows(rows=(row,))):
            assert row.key == "config"
        case _:
            pytest.fail(str(found))


async def test_head_that_comes_before_the_wait_does_not_end_a_watch() -> None:
    """Guards against watches that end early at a store that answers in two steps."""
    body = b'{"Rows":[],"SchemaVersion":7}'

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        await asyncio.sleep(STALL_TIMEOUT / 1_000 + 0.3)
        writer.write(body)

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = PlatformStore(Address(host="127.0.0.1", port=port), clock=SystemClock())
    found = await client.watch(
        Table.ORDERS, after=StorePosition(7), wait=Milliseconds(2_000)
    )
    client.close()
    server.close()
    assert isinstance(found, Success)


async def test_response_that_stops_arriving_is_given_up() -> None:
    """Guards against a feed that waits for a dead connection for ever."""
    store = Store()
    store.era = None
    await store.listen()
    store.put("op", "config", declaration(1))
    async with narrow_link(store.port, bytes_per_second=1_000_000) as link:
        client = PlatformStore(
            Address(host="127.0.0.1", port=link.port), clock=SystemClock()
        )
        reading = asyncio.create_task(
            client.watch(
                Table.ORDERS,
                after=StorePosition(0),
                wait=Milliseconds(0),
                within=Milliseconds(300),
            )
        )
        await asyncio.sleep(0.2)
        link.fall_silent()
        async with asyncio.timeout(3):
            found = await reading
        client.close()
    store.close()
    assert isinstance(found, Failure)
    assert "incomplete response" in found.failure().message


async def test_hint_does_not_end_a_read_whose_response_is_arriving() -> None:
    """Guards against changes in quick succession that keep each other from arriving."""
    store = Store()
    async with (
        NodeHarness(Endpoint(), store=store) as near,
        narrow_link(store.port, bytes_per_second=1_000_000) as link,
        NodeHarness(name="far", store=StoreView(store)) as far,
    ):
        parts = far.node._parts
        parts.store.set_address(Address(host="127.0.0.1", port=link.port))
        parts.orders_feed.restart_watch("the store has another address")
        await asyncio.sleep(0.2)
        store.put("op", "config", declaration(2))
        await asyncio.sleep(0.6)
        store.put("op", "config", declaration(3, **NEW_KEY))
        async with asyncio.timeout(3):
            await far.until(lambda: parts.catalog.deployment.version == 3)
        assert near.node._parts.catalog.deployment.version == 3


@pytest.mark.parametrize("is_started_away", [False, True])
async def test_large_declaration_reaches_an_instance_that_is_turned_away(
    is_started_away: bool,
) -> None:
    """
    One that starts while it is turned away has no former declaration.

    Its peers know its address from its former process.
    """
    async with NodeHarness(Endpoint(), configuration=declaration(1)) as served:
        view = StoreView(served.store)
        view.is_down = is_started_away
        async with NodeHarness(
            name="refused", store=view, configuration=None
        ) as refused:
            catalog = refused.node._parts.catalog
            if is_started_away:
                served.node._parts.liveness.update_member(
                    MemberInfo(
                        instance=InstanceId("refused"),
                        host="127.0.0.1",
                        port=refused.node._parts.exchange.compose().port,
                        frontend="",
                        failure_domain=FailureDomainId("z1"),
                    )
                )
            else:
                await refused.until(lambda: catalog.deployment is not None)
            view.is_down = True
            for connection in list(view.connections):
                connection.close()
            await asyncio.sleep(0.5)
            served.store.put("op", "config", declaration(2, **NEW_KEY))
            async with asyncio.timeout(BOUND / 1_000):
                await refused.until(
                    lambda: catalog.deployment and catalog.deployment.version == 2
                )


async def test_instance_whose_row_fits_no_patch_gets_the_row() -> None:
    """
    Guards against an instance that asks for ever.

    It has read a version that its peers have skipped, so that each of their patches
    begins with another one.
    """
    async with NodeHarness(Endpoint(), configuration=declaration(1)) as served:
        view = StoreView(served.store)
        async with NodeHarness(
            name="refused", store=view, configuration=None
        ) as refused:
            parts = refused.node._parts
            await refused.until(lambda: parts.catalog.deployment is not None)
            view.is_down = True
            for connection in list(view.connections):
                connection.close()
            await asyncio.sleep(0.5)
            served.store.put("op", "config", declaration(2))
            own = served.node._parts.catalog
            await served.until(lambda: own.deployment.version == 2)
            # Its row is one of a revision between those of the patch.
            held = parts.orders_feed._held
            held._rows["config"] = replace(
                held._rows["config"], revision=StorePosition(2**40)
            )
            served.store.put("op", "config", declaration(3, **NEW_KEY))
            async with asyncio.timeout(BOUND / 1_000):
                await refused.until(lambda: parts.catalog.deployment.version == 3)
            assert b"feed:patch-failed" in b"".join(refused.lines)


async def test_change_of_a_large_declaration_is_relayed_in_few_bytes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against changes in quick succession that use up narrow links."""
    monkeypatch.setattr(_table_readers, "MIN_FOR_RELAY", 2)
    store = Store()
    async with (
        NodeHarness(Endpoint(), configuration=declaration(1), store=store) as one,
        NodeHarness(name="other", store=StoreView(store), configuration=None) as other,
    ):
        nodes = [one.node._parts, other.node._parts]
        await one.until(lambda: all(len(item.instances()) == 2 for item in nodes))
        await one.until(lambda: all(item.catalog.deployment for item in nodes))
        # A new process waits for gossip before its first watch.
        await one.until(lambda: all(item.store.calls["watch orders"] for item in nodes))
        sent: list[int] = []
        for item in nodes:
            send = item.gossip._send_to

            def record(data: bytes, *rest: Any, send: Any = send, **kw: Any) -> None:
                sent.append(len(data))
                send(data, *rest, **kw)

            monkeypatch.setattr(item.gossip, "_send_to", record)
        store.put("op", "config", declaration(2, **NEW_KEY))
        async with asyncio.timeout(BOUND / 1_000):
            await one.until(
                lambda: all(item.catalog.deployment.version == 2 for item in nodes)
            )
        await asyncio.sleep(0.3)
        assert max(sent) < 4_000
        assert b"update-too-large" not in b"".join([*one.lines, *other.lines])
