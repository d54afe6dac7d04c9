"""Order of the steps of a graceful stop, with an entry on a real socket."""

import asyncio
import json
from collections.abc import AsyncIterator
from pathlib import Path

import httpx
import pytest

from fuchsiaroute.advice import ADVICE_LIFETIME
from fuchsiaroute.billing import LedgerRecord
from fuchsiaroute.clock import Milliseconds, SystemClock
from fuchsiaroute.ids import (
    FailureDomainId,
    InstanceId,
    OrganisationId,
    ProductId,
    RequestClass,
    RequestId,
)
from fuchsiaroute.logs import open_log
from fuchsiaroute.serving import EntryProcess, HttpServer
from fuchsiaroute.serving._run import DRAIN_TIMEOUT
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
SHORT_DRAIN_TIMEOUT = Milliseconds(300)
RECORD = LedgerRecord(
    organisation=OrganisationId("county-01"),
    request=RequestId("r-1"),
    product=ProductId("permit-desk"),
    request_class=RequestClass("stand-lookup"),
    attempts=(),
    instance=InstanceId("entry-0"),
    ended_at=Milliseconds(1),
)


class AdviceClock(SystemClock):
    """
    Clock that ends the sleep of ``ADVICE_LIFETIME`` when the test sets an event.

    It shortens ``DRAIN_TIMEOUT``.
    """

    def __init__(self) -> None:
        self.is_waiting = asyncio.Event()
        self.has_expired = asyncio.Event()

    async def sleep(self, duration: Milliseconds) -> None:
        """Wait for ``has_expired`` in place of the lifetime of advice."""
        if duration == DRAIN_TIMEOUT:
            duration = SHORT_DRAIN_TIMEOUT
        if duration != ADVICE_LIFETIME or self.has_expired.is_set():
            await super().sleep(duration)
            return
        self.is_waiting.set()
        await self.has_expired.wait()


@pytest.fixture
async def platform() -> AsyncIterator[HttpServer]:
    server = HttpServer(app=build_platform_app(), host="127.0.0.1", port=0)
    await server.start()
    yield server
    await server.stop()


@pytest.fixture
async def running(
    platform: HttpServer,
) -> AsyncIterator[tuple[EntryProcess, AdviceClock]]:
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


@pytest.mark.parametrize("is_store_up", [True, False])
async def test_records_that_a_stop_cannot_write_are_logged(
    running: tuple[EntryProcess, AdviceClock],
    platform: HttpServer,
    tmp_path: Path,
    is_store_up: bool,
) -> None:
    """The stop gave up after a time limit, and nothing showed that bills were lost."""
    process, clock = running
    clock.has_expired.set()
    if not is_store_up:
        await platform.stop()
    with open_log(tmp_path / "log"):
        await process.entry.durable.ledger.append(RECORD)
        await process.stop()
    lines = map(json.loads, (tmp_path / "log").read_text().splitlines())
    failed = [line for line in lines if line["message_type"] == "stop:unwritten"]
    expected = [] if is_store_up else [("ledger", 1)]
    assert [(line["what"], line["records"]) for line in failed] == expected
