"""What an entry spends without any request, by the size of the deployment."""

import asyncio
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from benches._large_declaration import declare_large
from benches._processes import (
    entry_child,
    platform_child,
    store_configuration,
    wait_until_ready,
)
from fuchsiaroute.declaration import encode

TARGET_VERSIONS = 35
ORGANISATIONS = 200
SETTLE_SECONDS = 6.0
WATCHED_SECONDS = 10.0


@dataclass(frozen=True, kw_only=True)
class ControlCost:
    """What one idle entry spends."""

    endpoints: int
    configuration_bytes: int
    #: Share of a core.
    cpu_share: float
    resident_bytes: int


async def measure_control(*, endpoints: Sequence[int]) -> list[ControlCost]:
    """Start an entry for each size and watch it while it has no requests."""
    return [await _watch(count) for count in endpoints]


async def _watch(endpoints: int) -> ControlCost:
    declared = declare_large(
        endpoints=endpoints, versions=TARGET_VERSIONS, organisations=ORGANISATIONS
    )
    platform = platform_child()
    with tempfile.TemporaryDirectory() as directory:
        entry = entry_child(
            number=0,
            failure_domain=declared.failure_domains[0].id,
            platform_url=platform.url,
            directory=Path(directory),
        )
        try:
            for child in (platform, entry):
                child.start()
                wait_until_ready(child.url)
            await store_configuration(platform.url, declared)
            await asyncio.sleep(SETTLE_SECONDS)
            before = entry.cpu_seconds()
            await asyncio.sleep(WATCHED_SECONDS)
            return ControlCost(
                endpoints=endpoints,
                configuration_bytes=len(encode(declared)),
                cpu_share=(entry.cpu_seconds() - before) / WATCHED_SECONDS,
                resident_bytes=entry.resident_bytes(),
            )
        finally:
            entry.stop()
            platform.stop()
