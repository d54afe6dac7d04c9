"""Order of the steps of a graceful stop, with an entry on a real socket."""

import asyncio
from collections.abc import AsyncIterator

import httpx
import pytest

from fuchsiaroute.advice import ADVICE_LIFETIME
from fuchsiaroute.clock import Milliseconds, SystemClock
from fuchsiaroute.ids import FailureDomainId, InstanceId
from fuchsiaroute.serving import EntryProcess, HttpServer
from fuchsiaroute.settings import (
    CallerSettings,
    InstanceSettings,
    OperatorSettings,
    PlatformSettings,
    Port,
    Settings,
    Url,
)
from fuchsiaroute.standin import build_platform_app

ANY_PORT = Port(0)


class AdviceClock(SystemClock):
    """Clock that ends the sleep of ``ADVICE_LIFETIME`` when the test sets an event."""

    def __init__(self) -> None:
        self.is_waiting = asyncio.Event()
        self.has_expired = asyncio.Event()

    async def sleep(self, duration: Milliseconds) -> None:
        """Wait for ``has_expired`` in place of the lifetime of advice."""
        if duration != ADVICE_LIFETIME or self.has_expired.is_set():
            await super().sleep(duration)
            return
        self.is_waiting.set()
        await self.has_expired.wait()


@pytest.fixture
async def running() -> AsyncIterator[tuple[EntryProcess, AdviceClock]]:
    platform = HttpServer(app=build_platform_app(), host="127.0.0.1", port=0)
    await platform.start()
    clock = AdviceClock()
    settings = Settings(
        instance=InstanceSettings(
            id=InstanceId("entry-0"), failure_domain=FailureDomainId("lakes-a")
        ),
        platform=PlatformSettings(table_url=Url(platform.url)),
        callers=CallerSettings(port=ANY_PORT),
        operators=OperatorSettings(port=ANY_PORT),
    )
    process = EntryProcess(settings=settings, clock=clock)
    await process.start()
    yield process, clock
    await platform.stop()


async def test_stopping_entry_serves_until_its_advice_has_expired(
    running: tuple[EntryProcess, AdviceClock],
) -> None:
    process, clock = running
    async with httpx.AsyncClient(base_url=process.url, trust_env=False) as client:
        before = (await client.get("/v1/entries")).json()
        assert len(before["entries"]) == 1
        stopping = asyncio.create_task(process.stop())
        await clock.is_waiting.wait()
        during = await client.get("/v1/entries")
        assert during.status_code == 200
        assert during.json()["entries"] == []
        clock.has_expired.set()
        await stopping
        with pytest.raises(httpx.ConnectError):
            await client.get("/v1/entries")


async def test_stopping_entry_announces_the_close_of_open_connections(
    running: tuple[EntryProcess, AdviceClock],
) -> None:
    """A request crossed the close of a connection that the caller had kept."""
    process, clock = running
    async with httpx.AsyncClient(base_url=process.url, trust_env=False) as client:
        before = await client.get("/v1/entries")
        stopping = asyncio.create_task(process.stop())
        await clock.is_waiting.wait()
        during = await client.get("/v1/entries")
        clock.has_expired.set()
        await stopping
    assert "connection" not in before.headers
    assert (during.status_code, during.headers["connection"]) == (200, "close")
