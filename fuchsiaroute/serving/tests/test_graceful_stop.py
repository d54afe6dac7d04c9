"""The order of a graceful stop, with an entry that serves on a real socket."""

import asyncio

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


class HeldClock(SystemClock):
    """Clock on which the advice runs out when the test says so."""

    def __init__(self) -> None:
        self.is_waiting = asyncio.Event()
        self.has_run_out = asyncio.Event()

    async def sleep(self, duration: Milliseconds) -> None:
        """Wait for the test in place of the advice's lifetime."""
        if duration != ADVICE_LIFETIME or self.has_run_out.is_set():
            await super().sleep(duration)
            return
        self.is_waiting.set()
        await self.has_run_out.wait()


async def test_a_stopping_entry_serves_until_its_advice_has_run_out() -> None:
    platform = HttpServer(app=build_platform_app(), host="127.0.0.1", port=0)
    await platform.start()
    clock = HeldClock()
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
    async with httpx.AsyncClient(base_url=process.url, trust_env=False) as client:
        before = (await client.get("/v1/entries")).json()
        assert len(before["entries"]) == 1
        stopping = asyncio.create_task(process.stop())
        await clock.is_waiting.wait()
        during = await client.get("/v1/entries")
        assert during.status_code == 200
        assert during.json()["entries"] == []
        clock.has_run_out.set()
        await stopping
        with pytest.raises(httpx.ConnectError):
            await client.get("/v1/entries")
    await platform.stop()
