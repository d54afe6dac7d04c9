"""An instance in a process of its own, with a store and an endpoint on loopback."""

import asyncio
import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import psutil

from fuchsiaroute.platform.tests.node_harness import (
    CONFIGURATION,
    Caller,
    Reply,
    free_port_pair,
    free_ports,
)
from fuchsiaroute.platform.tests.standin import Endpoint, Store

_MB = 1_000_000
_KIB = 1_024
#: Time for which the process may be busy with what it was sent before.
PATIENCE_SECONDS = 60
#: Started without the site module, as on the platform.
_COMMAND = [sys.executable, "-S", "-m", "fuchsiaroute", "node"]
_MODULE_PATH = os.pathsep.join(
    [
        str(Path(__file__).parents[3]),
        *(path for path in sys.path if path.endswith("-packages")),
    ]
)


class NodeProcess:
    """
    Starts the node program with limits that are lower than a machine's.

    ``others`` are announced beside the endpoint that serves ordinary callers.
    """

    def __init__(
        self,
        folder: Path,
        *,
        memory_mb: int,
        max_descriptors: int,
        others: Sequence[Endpoint] = (),
        configuration: dict[str, Any] = CONFIGURATION,
    ) -> None:
        self.store = Store()
        self.endpoint = Endpoint()
        self._others = others
        self._configuration = configuration
        self._folder = folder
        self._memory_mb = memory_mb
        self._max_descriptors = max_descriptors

    async def __aenter__(self) -> "NodeProcess":
        await self.store.listen()
        for endpoint in (self.endpoint, *self._others):
            await endpoint.listen()
            self.store.put("servers", endpoint.id, endpoint.announcement())
        self.store.put("op", "config", self._configuration)
        self.frontend, self.control = free_ports(2)
        self.metrics = free_port_pair()
        path = self._folder / "node.conf"
        path.write_text(
            f"NodeName=me\nZone=z1\nIp=127.0.0.1\n"
            f"Listen.Frontend=127.0.0.1:{self.frontend}\n"
            f"Listen.Readiness=127.0.0.1:{self.control}\n"
            f"Listen.Directory=127.0.0.1:{self.control}\n"
            f"PortRange={self.metrics},{self.metrics + 1}\n"
            f"Platform.Address=127.0.0.1:{self.store.port}\n"
            f"Limits.MemoryMb={self._memory_mb}\n"
            f"Limits.MaxFds={self._max_descriptors}\n"
        )
        self._start(path)
        async with asyncio.timeout(PATIENCE_SECONDS):
            while (await self._try_ask()) != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        return self

    async def __aexit__(self, *details: object) -> None:
        self._process.send_signal(signal.SIGKILL)
        self._process.wait()
        for endpoint in (self.endpoint, *self._others):
            endpoint.close()
        self.store.close()

    @property
    def is_alive(self) -> bool:
        return self._process.poll() is None

    @property
    def peak_memory_mb(self) -> float:
        """Return the largest resident size that the process has had."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        line = next(item for item in status.splitlines() if item.startswith("VmHWM:"))
        return int(line.split()[1]) * _KIB / _MB

    @property
    def descriptors(self) -> int:
        return psutil.Process(self._process.pid).num_fds()

    def log_text(self) -> str:
        return (self._folder / "node.log").read_text(errors="replace")

    async def ask(self, request_id: str, *, body: bytes = b"body") -> Reply:
        """Send one ordinary request on a new connection."""
        caller = Caller(self.frontend)
        try:
            async with asyncio.timeout(PATIENCE_SECONDS):
                await caller.send(
                    "/read/x", request_id=request_id, deadline=30_000, body=body
                )
                return await caller.receive()
        finally:
            caller.close()

    def _start(self, settings: Path) -> None:
        with (self._folder / "node.log").open("wb") as output:
            self._process = subprocess.Popen(
                [*_COMMAND, str(settings)],
                env=os.environ | {"PYTHONPATH": _MODULE_PATH},
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    async def _try_ask(self) -> int:
        try:
            return (await self.ask("ready")).status
        except (OSError, asyncio.IncompleteReadError):
            return 0
