"""One entry on real sockets: latency, throughput, memory and graceful stop."""

import asyncio
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
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
TOKENS = 8
ROUNDS = 300
CONCURRENCY = 20
LOADED_REQUESTS = 1_500
SETTLE_SECONDS = 2.5
TIMEOUT_SECONDS = 30.0
#: Time under load before SIGTERM, and maximum time until the process ends.
STOP_AFTER_SECONDS = 2.0
STOP_LIMIT_SECONDS = 40.0
LONG_ANSWER_TOKENS = 200
COMPLETIONS = "/v1/chat/completions"


class _Message(msgspec.Struct, frozen=True):
    role: str = "user"
    content: str = "which stands are open"


class _Body(msgspec.Struct):
    model: str
    max_tokens: int = TOKENS
    messages: tuple[_Message, ...] = (_Message(),)
    stream: bool = True


@dataclass(frozen=True, kw_only=True)
class SocketFigures:
    """Results of one entry compared with direct requests to a stand-in."""

    #: Time to a complete streamed answer with one request at a time, in milliseconds.
    direct_p50: float
    routed_p50: float
    routed_p95: float
    direct_p95: float
    #: Requests per second with ``CONCURRENCY`` concurrent requests.
    direct_rate: float
    routed_rate: float
    #: Requests per second of processor time of the entry.
    rate_per_core: float
    idle_bytes: int
    loaded_bytes: int


@dataclass(frozen=True, kw_only=True)
class StopFigures:
    """Results of a graceful stop under load."""

    #: Requests in flight or started while the entry was stopping.
    requests: int
    cut: int
    #: Requests refused because the port was closed, after the advice had expired.
    refused_connections: int
    seconds: float
    exit_status: int


@asynccontextmanager
async def _deployment() -> AsyncIterator[tuple[Child, list[Child]]]:
    platform = platform_child()
    endpoints = [
        endpoint_child(first_token=5, between_tokens=1) for _ in range(ENDPOINT_COUNT)
    ]
    with tempfile.TemporaryDirectory() as directory:
        entry = entry_child(
            number=0,
            failure_domain="lakes-a",
            platform_url=platform.url,
            directory=Path(directory),
        )
        children = [platform, *endpoints, entry]
        try:
            for child in children:
                child.start()
            for child in children:
                wait_until_ready(child.url)
            urls = [child.url for child in endpoints]
            declared = with_endpoint_urls(timberline.declare(), urls)
            await store_configuration(platform.url, declared)
            await asyncio.sleep(SETTLE_SECONDS)
            yield entry, endpoints
        finally:
            for child in children:
                child.stop()


def _client(url: str) -> httpx.AsyncClient:
    key = timberline.example_key("county-00")
    return httpx.AsyncClient(
        base_url=url,
        timeout=TIMEOUT_SECONDS,
        trust_env=False,
        limits=httpx.Limits(max_connections=None),
        headers={
            "authorization": f"Bearer {key}",
            "x-request-class": "stand-lookup",
        },
    )


async def _request(client: httpx.AsyncClient, model: str, tokens: int = TOKENS) -> bool:
    """Return whether a complete answer arrived."""
    body = msgspec.json.encode(_Body(model=model, max_tokens=tokens))
    response = await client.post(COMPLETIONS, content=body)
    return response.status_code < 300 and b"[DONE]" in response.content[-32:]


async def _latencies(client: httpx.AsyncClient, model: str) -> list[float]:
    latencies = []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        if not await _request(client, model):
            raise RuntimeError("a request got no complete answer")
        latencies.append((time.perf_counter() - started) * 1e3)
    return sorted(latencies)


async def _rate(client: httpx.AsyncClient, model: str) -> float:
    left = iter(range(LOADED_REQUESTS))

    async def work() -> None:
        for _ in left:
            if not await _request(client, model):
                raise RuntimeError("a request got no complete answer")

    started = time.perf_counter()
    await asyncio.gather(*(work() for _ in range(CONCURRENCY)))
    return LOADED_REQUESTS / (time.perf_counter() - started)


async def measure_sockets() -> SocketFigures:
    """Measure routed and direct requests in the same run."""
    async with _deployment() as (entry, endpoints):
        idle_bytes = entry.resident_bytes()
        async with _client(endpoints[0].url) as direct, _client(entry.url) as routed:
            await _latencies(routed, "auto")
            direct_latencies = await _latencies(direct, "sapling-1")
            routed_latencies = await _latencies(routed, "auto")
            direct_rate = await _rate(direct, "sapling-1")
            before = entry.cpu_seconds()
            routed_rate = await _rate(routed, "auto")
            spent = entry.cpu_seconds() - before
        return SocketFigures(
            direct_p50=direct_latencies[ROUNDS // 2],
            routed_p50=routed_latencies[ROUNDS // 2],
            direct_p95=direct_latencies[ROUNDS * 95 // 100],
            routed_p95=routed_latencies[ROUNDS * 95 // 100],
            direct_rate=direct_rate,
            routed_rate=routed_rate,
            rate_per_core=LOADED_REQUESTS / spent,
            idle_bytes=idle_bytes,
            loaded_bytes=entry.resident_bytes(),
        )


async def measure_stop() -> StopFigures:
    """Stop the entry while callers continue to send requests."""
    async with _deployment() as (entry, _):
        outcomes: list[bool] = []
        refused = 0
        is_over = asyncio.Event()

        async def work() -> None:
            nonlocal refused
            while not is_over.is_set():
                async with _client(entry.url) as client:
                    try:
                        whole = await _request(client, "auto", LONG_ANSWER_TOKENS)
                    except httpx.ConnectError:
                        refused += 1
                        return
                    except httpx.HTTPError:
                        outcomes.append(False)
                        return
                    outcomes.append(whole)

        workers = [asyncio.create_task(work()) for _ in range(CONCURRENCY)]
        await asyncio.sleep(STOP_AFTER_SECONDS)
        before = len(outcomes)
        started = time.monotonic()
        entry.process.terminate()
        await asyncio.wait_for(
            asyncio.to_thread(entry.process.wait), timeout=STOP_LIMIT_SECONDS
        )
        seconds = time.monotonic() - started
        is_over.set()
        await asyncio.gather(*workers)
        return StopFigures(
            requests=len(outcomes) - before,
            cut=outcomes[before:].count(False),
            refused_connections=refused,
            seconds=seconds,
            exit_status=entry.process.returncode,
        )
