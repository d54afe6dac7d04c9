"""Processes of a deployment on loopback that a bench starts and stops."""

import signal
import socket
import subprocess
import sys
import time
import uuid
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from functools import cache
from pathlib import Path

import httpx
import msgspec
import psutil

from fuchsiaroute.balancing import warmth_put
from fuchsiaroute.clock import Milliseconds, SystemClock
from fuchsiaroute.configuration import (
    Configuration,
    ConfigurationLog,
    ConfigurationReader,
    Snapshot,
    accept_first_configuration,
)
from fuchsiaroute.endpoints import Warmth, WarmthFact
from fuchsiaroute.ids import ChangeId, InstanceId
from fuchsiaroute.standin import FIRST_INCARNATION
from fuchsiaroute.store import InstanceRecord, Transaction
from fuchsiaroute.store_http import HttpTableStore

HOST = "127.0.0.1"
READY_TIMEOUT_SECONDS = 20.0
READY_POLL_SECONDS = 0.05
#: Key for operators, peers and session pins on loopback only.
SHARED_KEY = "bench-key-of-at-least-thirty-two-characters"


def free_port() -> int:
    """Return a TCP port that is free when it is checked."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


@dataclass(frozen=True, kw_only=True)
class EntryPorts:
    """Ports on which all entries of a run listen, each on its own address."""

    callers: int
    operators: int
    peers: int


@cache
def entry_ports() -> EntryPorts:
    """Return the ports of this run's entries."""
    return EntryPorts(callers=free_port(), operators=free_port(), peers=free_port())


@dataclass(kw_only=True)
class Child:
    """A child process that runs the program."""

    arguments: Sequence[str]
    url: str
    process: subprocess.Popen[bytes] = field(init=False)

    def start(self) -> None:
        """Start the process."""
        self.process = subprocess.Popen(
            [sys.executable, "-m", "fuchsiaroute", *self.arguments],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def stop(self) -> int:
        """Send SIGTERM, wait for the process and return its exit status."""
        if self.process.poll() is None:
            self.process.terminate()
        return self.process.wait(timeout=READY_TIMEOUT_SECONDS)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.process.kill()
        self.process.wait()

    def cpu_seconds(self) -> float:
        """Return the processor time used by the process."""
        times = psutil.Process(self.process.pid).cpu_times()
        return float(times.user + times.system)

    def resident_bytes(self) -> int:
        """Return the resident memory of the process."""
        return int(psutil.Process(self.process.pid).memory_info().rss)


def platform_child() -> Child:
    """Return a stand-in platform on a free port."""
    port = free_port()
    return Child(
        arguments=("standin", "platform", "--port", str(port)),
        url=f"http://{HOST}:{port}",
    )


def endpoint_child(*, first_token: int = 20, between_tokens: int = 2) -> Child:
    """Return a stand-in endpoint on a free port; times in milliseconds."""
    port = free_port()
    return Child(
        arguments=(
            "standin",
            "endpoint",
            "--port",
            str(port),
            "--first-token",
            str(first_token),
            "--between-tokens",
            str(between_tokens),
        ),
        url=f"http://{HOST}:{port}",
    )


def entry_child(
    *, number: int, failure_domain: str, platform_url: str, directory: Path
) -> Child:
    """
    Return an entry whose settings file is in ``directory``.

    Each entry has its own loopback address, and all use the same ports, as entries on
    separate machines do.
    """
    host = f"127.0.1.{number + 1}"
    ports = entry_ports()
    key = directory / "shared.key"
    key.write_text(SHARED_KEY)
    path = directory / f"entry-{number}.ini"
    path.write_text(
        f"[instance]\nid = entry-{number}\nfailure_domain = {failure_domain}\n"
        f"[callers]\nhost = {host}\nport = {ports.callers}\n"
        f"[operators]\nhost = {host}\nport = {ports.operators}\nkey_files = {key}\n"
        f"[peers]\nhost = {host}\nport = {ports.peers}\nkey_files = {key}\n"
        f"[session]\npin_key_files = {key}\n"
        f"[platform]\ntable_url = {platform_url}\n"
        f"[log]\npath = {directory / f'entry-{number}.log'}\n"
    )
    url = f"http://{host}:{ports.callers}"
    return Child(arguments=("serve", str(path)), url=url)


async def list_instances(
    platform_url: str, *, entries: Sequence[Child], declared: Configuration
) -> None:
    """Write entries and endpoints to the platform's instance list."""
    domains = declared.failure_domains
    listed = [
        InstanceRecord(
            id=InstanceId(f"entry-{number}"),
            address=entry.url.removeprefix("http://"),
            failure_domain=domains[number % len(domains)].id,
        )
        for number, entry in enumerate(entries)
    ]
    listed += [
        InstanceRecord(
            id=InstanceId(endpoint.id),
            address=endpoint.url.removeprefix("http://"),
            failure_domain=endpoint.failure_domain,
        )
        for endpoint in declared.endpoints
    ]
    async with httpx.AsyncClient(base_url=platform_url, trust_env=False) as client:
        body = msgspec.json.encode({"instances": listed})
        reply = await client.put("/instances", content=body)
        reply.raise_for_status()


def wait_until_ready(url: str) -> None:
    """Wait for any HTTP response from ``url``; raise ``TimeoutError`` if none comes."""
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        try:
            httpx.get(f"{url}/v1/entries", trust_env=False)
        except httpx.HTTPError:
            time.sleep(READY_POLL_SECONDS)
        else:
            return
    raise TimeoutError(f"no HTTP response from {url}")


def with_endpoint_urls(declared: Configuration, urls: Sequence[str]) -> Configuration:
    """
    Return ``declared`` with ``urls`` for its first endpoints and without the others.

    Stand-ins are always warm, so the declared warm-up time is 0.
    """
    endpoints = tuple(
        replace(endpoint, url=url, warm_up=Milliseconds(0))
        for endpoint, url in zip(declared.endpoints, urls, strict=False)
    )
    return replace(declared, endpoints=endpoints)


async def store_configuration(platform_url: str, declared: Configuration) -> None:
    """
    Write the first configuration as the operators' ``apply`` does.

    All endpoints are recorded as warm first, as running entries would have done.
    """
    warmth = Warmth(incarnation=FIRST_INCARNATION, is_warm=True)
    facts = [
        WarmthFact(endpoint=endpoint.id, warmth=warmth)
        for endpoint in declared.endpoints
    ]
    warm = Transaction(puts=tuple(warmth_put(fact) for fact in facts))
    async with httpx.AsyncClient(base_url=platform_url, trust_env=False) as client:
        store = HttpTableStore(client)
        (await store.commit(warm)).unwrap()
        outcome = await accept_first_configuration(
            store, SystemClock(), declared, author="bench"
        )
    outcome.unwrap()


async def change_configuration(
    platform_url: str, change: Callable[[Configuration], Configuration]
) -> None:
    """Write a changed configuration as an operator does."""
    async with httpx.AsyncClient(base_url=platform_url, trust_env=False) as client:
        store = HttpTableStore(client)
        held = (await ConfigurationReader(store, SystemClock()).latest()).unwrap()
        if not isinstance(held, Snapshot):
            raise RuntimeError("no configuration has been accepted")
        outcome = await ConfigurationLog(store, SystemClock()).accept(
            change(held.configuration),
            change_id=ChangeId(uuid.uuid4().hex),
            expected_revision=held.change.revision,
            author="bench",
            summary="change of a bench",
        )
    outcome.unwrap()
