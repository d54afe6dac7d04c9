"""Entries on loopback that run only the peer protocol."""

import asyncio
import contextlib
import itertools
import os
import socket
import stat
import struct
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass

from fuchsiaroute.clock import SystemClock
from fuchsiaroute.configuration import (
    ConfigurationInForce,
    ConfigurationPoller,
    ConfigurationReader,
    poll_interval,
)
from fuchsiaroute.ids import FailureDomainId, Incarnation, InstanceId, Revision
from fuchsiaroute.membership import Announcement, Membership
from fuchsiaroute.peer import (
    NoTls,
    NullRecordHolder,
    PeerIdentity,
    PeerKeys,
    PeerNode,
    PeerServer,
)
from fuchsiaroute.store import TableStore

HOST = "127.0.0.1"
FIRST_PORT = 21_000
LAST_PORT = 30_000
KEYS = PeerKeys(["a-key-for-benches-only"])
#: Size of the IP and TCP headers of a segment, including TCP timestamps.
SEGMENT_HEADER_BYTES = 52
#: Size of the kernel's ``struct tcp_info`` and offsets of the counters in it.
TCP_INFO_BYTES = 192
BYTES_OFFSET, SEGMENTS_OFFSET = 120, 136
POLL_SECONDS = 0.001


@dataclass(frozen=True, kw_only=True)
class TrafficCounters:
    """Counters of all TCP sockets of this process, which has both ends of each."""

    payload_bytes: int
    segments: int
    processor_seconds: float
    measured_at: float

    @property
    def total_bytes(self) -> int:
        """Return the bytes sent and received, including IP and TCP headers."""
        return self.payload_bytes + SEGMENT_HEADER_BYTES * self.segments


class BenchEntry:
    """The configuration, membership and peer connections of one entry."""

    def __init__(self, number: int, store: TableStore, port: int, count: int) -> None:
        clock = SystemClock()
        self._clock = clock
        self._count = count
        self.announcement = Announcement(
            instance=InstanceId(f"entry-{number:03}"),
            incarnation=Incarnation(clock.wall()),
            sequence=0,
            is_leaving=False,
            address=f"{HOST}:{port}",
            failure_domain=FailureDomainId(f"domain-{number % 8}"),
        )
        self._port = port
        self.in_force = ConfigurationInForce(clock)
        reader = ConfigurationReader(store, clock)
        self._poller = ConfigurationPoller(reader, self.in_force, clock)
        self.membership = Membership(self.announcement, clock)
        self._node = PeerNode(
            membership=self.membership,
            in_force=self.in_force,
            poller=self._poller,
            identity=PeerIdentity(
                instance=self.announcement.instance, keys=KEYS, tls=NoTls.TOKEN
            ),
            clock=clock,
        )
        self._server = PeerServer(
            self._node, keys=KEYS, tls=NoTls.TOKEN, holder=NullRecordHolder()
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def start(
        self, announcements: tuple[Announcement, ...], delay: float
    ) -> None:
        """Listen, and start heartbeats and polling after ``delay`` seconds."""
        self.membership.apply_listed(announcements)
        await self._server.start(HOST, self._port)
        self._tasks.append(asyncio.create_task(self._poll(delay)))
        self._tasks.append(asyncio.create_task(self._run_node(delay)))

    async def stop(self) -> None:
        """Cancel the tasks and close the connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._server.stop()

    async def _run_node(self, delay: float) -> None:
        await asyncio.sleep(delay)
        await self._node.run()

    async def _poll(self, delay: float) -> None:
        await asyncio.sleep(delay)
        while True:
            await self._poller.poll()
            await self._clock.sleep(poll_interval(self._count))


@contextlib.asynccontextmanager
async def running_entries(
    count: int, store: TableStore
) -> AsyncIterator[list[BenchEntry]]:
    """Run ``count`` entries with start times spread over one second."""
    ports = _free_ports(count)
    entries = [BenchEntry(n, store, port, count) for n, port in enumerate(ports)]
    announcements = tuple(entry.announcement for entry in entries)
    for number, entry in enumerate(entries):
        await entry.start(announcements, number / count)
    try:
        yield entries
    finally:
        for entry in entries:
            await entry.stop()


def read_counters() -> TrafficCounters:
    """Return the current counters of this process."""
    payload_bytes = segments = 0
    for name in os.listdir("/proc/self/fd"):
        if not _is_socket(name):
            continue
        with contextlib.suppress(OSError, struct.error), _duplicate(name) as sock:
            if sock.type != socket.SOCK_STREAM or not sock.getpeername():
                continue
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
            payload_bytes += sum(struct.unpack_from("=QQ", info, BYTES_OFFSET))
            segments += sum(struct.unpack_from("=II", info, SEGMENTS_OFFSET))
    return TrafficCounters(
        payload_bytes=payload_bytes,
        segments=segments,
        processor_seconds=time.process_time(),
        measured_at=time.monotonic(),
    )


async def wait_until_in_force(entries: list[BenchEntry], revision: Revision) -> float:
    """Return the seconds until every entry has ``revision`` in force."""
    started = time.monotonic()
    lowest_revision = min(entry.in_force.revision for entry in entries)
    while lowest_revision < revision:  # noqa: ASYNC110
        await asyncio.sleep(POLL_SECONDS)
        lowest_revision = min(entry.in_force.revision for entry in entries)
    return time.monotonic() - started


def _is_socket(descriptor: str) -> bool:
    with contextlib.suppress(OSError):
        return stat.S_ISSOCK(os.fstat(int(descriptor)).st_mode)
    return False


def _duplicate(descriptor: str) -> socket.socket:
    return socket.socket(fileno=os.dup(int(descriptor)))


def _free_ports(count: int) -> list[int]:
    """
    Return ``count`` free ports below the ephemeral port range.

    An outgoing connection could otherwise occupy a port before its entry listens.
    """
    free = (port for port in range(FIRST_PORT, LAST_PORT) if _is_free(port))
    return list(itertools.islice(free, count))


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
