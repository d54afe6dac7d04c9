"""Processor time of an entry per streamed token, on real sockets."""

import asyncio
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import httpx
import msgspec

from benches._processes import (
    Child,
    endpoint_child,
    entry_child,
    platform_child,
    store_configuration,
    wait_until_ready,
    with_endpoint_urls,
)
from examples import timberline

ENDPOINT_COUNT = 5
ORGANISATION = "county-00"
TIMEOUT_SECONDS = 60.0
FIRST_TOKEN_MILLISECONDS = 20
#: Half the target's time between tokens, so that streams overlap.
BETWEEN_TOKENS_MILLISECONDS = 25
SETTLE_SECONDS = 1.5


class _Message(msgspec.Struct, frozen=True):
    role: str = "user"
    content: str = "which stands are open"


class _Body(msgspec.Struct):
    max_tokens: int
    messages: tuple[_Message, ...] = (_Message(),)
    model: str = "auto"
    stream: bool = True


@dataclass(frozen=True, kw_only=True)
class RelayCost:
    """Resource use of the entry while forwarding streams."""

    streams: int
    tokens: int
    #: Processor time of the entry, in seconds.
    cpu_seconds: float
    resident_bytes: int

    @property
    def microseconds_per_token(self) -> float:
        """Return the entry's processor time per token."""
        return self.cpu_seconds / self.tokens * 1e6


async def measure_relay(
    *, streams: Sequence[int], tokens_per_stream: int
) -> list[RelayCost]:
    """Measure the entry with each number of concurrent streams in ``streams``."""
    children = [platform_child()]
    endpoints = [
        endpoint_child(
            first_token=FIRST_TOKEN_MILLISECONDS,
            between_tokens=BETWEEN_TOKENS_MILLISECONDS,
        )
        for _ in range(ENDPOINT_COUNT)
    ]
    with tempfile.TemporaryDirectory() as directory:
        entry = entry_child(
            number=0,
            failure_domain="lakes-a",
            platform_url=children[0].url,
            directory=Path(directory),
        )
        children += [*endpoints, entry]
        try:
            for child in children:
                child.start()
            for child in children:
                wait_until_ready(child.url)
            declared = with_endpoint_urls(
                timberline.declare(), [child.url for child in endpoints]
            )
            await store_configuration(children[0].url, declared)
            await asyncio.sleep(SETTLE_SECONDS)
            return [
                await _relay(entry, streams=count, tokens=tokens_per_stream)
                for count in streams
            ]
        finally:
            for child in children:
                child.stop()


async def _relay(entry: Child, *, streams: int, tokens: int) -> RelayCost:
    limits = httpx.Limits(max_connections=None)
    async with httpx.AsyncClient(
        base_url=entry.url, timeout=TIMEOUT_SECONDS, limits=limits, trust_env=False
    ) as client:
        before = entry.cpu_seconds()
        await asyncio.gather(*(_stream(client, tokens) for _ in range(streams)))
        return RelayCost(
            streams=streams,
            tokens=streams * tokens,
            cpu_seconds=entry.cpu_seconds() - before,
            resident_bytes=entry.resident_bytes(),
        )


async def _stream(client: httpx.AsyncClient, tokens: int) -> None:
    headers = {
        "authorization": f"Bearer {timberline.example_key(ORGANISATION)}",
        "x-request-class": "stand-lookup",
    }
    response = await client.post(
        "/v1/chat/completions",
        headers=headers,
        content=msgspec.json.encode(_Body(max_tokens=tokens)),
    )
    response.raise_for_status()
    events = response.content.count(b"data: ")
    if events != tokens + 1:
        raise RuntimeError(f"got {events} events, expected {tokens + 1}")
