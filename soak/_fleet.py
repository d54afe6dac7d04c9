"""Instances, endpoints, the store and the links that connect them."""

import asyncio
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.platform.tests.failing_store import FailingStore
from fuchsiaroute.platform.tests.recording_endpoint import RecordingEndpoint
from fuchsiaroute.platform.tests.soak_platform import (
    APP,
    GRACE,
    POOL,
    is_ready,
    list_addresses,
    settings_text,
)
from soak._checks import MAX_MEMORY_MB
from soak._instances import Instance
from soak._proxy import Link
from soak._record import Record

_PORTS = {"callers": 18_227, "control": 18_224, "peers": 17_340}
_DOMAINS = ("z0", "z1", "z2")
_ENDPOINTS_PER_SERVICE = 3
#: Slots of an endpoint, few enough that bursts use all of them.
_SLOTS = {APP: 6, POOL: 16}
FIRST_VERSION = "v1"
_POLL_INTERVAL = Milliseconds(50)
#: Sufficient for all instances to become ready on a busy machine.
MAX_START_TIME = Milliseconds(60_000)


@dataclass
class Node:
    """An instance with the links to its listeners and from it to the store."""

    instance: Instance
    callers: Link
    control: Link
    store: Link
    address: str
    settings: dict[str, object] = field(default_factory=dict)


class Fleet:
    """System under test of one run; its instances are in 127.0.``network``.0/24."""

    def __init__(
        self, *, count: int, network: int, folder: Path, clock: Clock, random: Random
    ) -> None:
        self.clock = clock
        self.random = random
        self.record = Record()
        self.store = FailingStore()
        self.nodes: list[Node] = []
        #: Endpoints listed in the store with their links, by id.
        self.endpoints: dict[str, tuple[RecordingEndpoint, Link]] = {}
        #: Every endpoint of the run, including those removed.
        self.all_endpoints: list[RecordingEndpoint] = []
        self.configuration_version = 1
        self.added_route_count = 0
        self.has_second_key = True
        self._count = count
        self._network = network
        self._folder = folder
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def instances(self) -> list[Instance]:
        """Instances in the order of ``nodes``."""
        return [node.instance for node in self.nodes]

    def domain(self, index: int) -> str:
        """Return the failure domain at ``index``, modulo their number."""
        return _DOMAINS[index % len(_DOMAINS)]

    async def start(self) -> None:
        """
        Start the whole system and wait until all instances are ready.

        Raises
        ------
        TimeoutError
            Not all instances are ready within ``MAX_START_TIME``.

        """
        await self.store.listen()
        self.declare()
        for service in (APP, POOL):
            for number in range(_ENDPOINTS_PER_SERVICE):
                await self.add_endpoint(service, self.domain(number))
        for number in range(self._count):
            self.nodes.append(await self._build_node(number))
        for node in self.nodes:
            node.instance.start()
            self.spawn(node.instance.supervise())
        deadline = self.clock.now() + MAX_START_TIME
        while not all([await self.is_ready(node) for node in self.nodes]):
            if self.clock.now() > deadline:
                raise TimeoutError(
                    "the instances were not ready before the start timeout"
                )
            await self.clock.sleep(_POLL_INTERVAL)

    async def close(self) -> None:
        """Stop all processes, servers and tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for node in self.nodes:
            node.instance.close()
            for link in (node.callers, node.control, node.store):
                await link.close()
        for endpoint in self.all_endpoints:
            endpoint.close()
        for _, link in self.endpoints.values():
            await link.close()
        self.store.close()

    def spawn(self, work) -> None:  # type: ignore[no-untyped-def]
        """Run a coroutine as a task that ``close`` cancels."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def declare(self) -> None:
        """Write the current configuration to the store."""
        self.store.declare(
            self.configuration_version,
            added=self.added_route_count,
            has_second_key=self.has_second_key,
        )

    async def add_endpoint(
        self, service: str, domain: str, *, version: str = FIRST_VERSION
    ) -> RecordingEndpoint:
        """Start an endpoint and write its record to the store."""
        endpoint = RecordingEndpoint(
            service=service,
            domain=domain,
            version=version,
            slots=_SLOTS[service],
            random=self.random,
        )
        await endpoint.listen()
        link = Link("127.0.0.1", endpoint.port)
        await link.listen()
        self.endpoints[endpoint.id] = (endpoint, link)
        self.all_endpoints.append(endpoint)
        self.announce(endpoint)
        return endpoint

    def announce(
        self,
        endpoint: RecordingEndpoint,
        *,
        is_draining: bool = False,
        cold_for: Milliseconds = Milliseconds(0),
    ) -> None:
        """Write an endpoint's record to the store."""
        _, link = self.endpoints[endpoint.id]
        address = f"127.0.0.1:{link.port}"
        self.store.announce(
            endpoint, address, is_draining=is_draining, cold_for=cold_for
        )

    def remove(self, endpoint: RecordingEndpoint) -> Link:
        """Remove an endpoint's record from the store; return its link."""
        self.store.withdraw(endpoint)
        return self.endpoints.pop(endpoint.id)[1]

    def write_settings(self, node: Node) -> None:
        """Write an instance's settings file."""
        node.instance.write_settings(settings_text(**node.settings))  # type: ignore[arg-type]

    async def is_ready(self, node: Node) -> bool:
        """Return whether an instance's readiness check succeeds."""
        try:
            return await is_ready(node.control.port)
        except (OSError, EOFError, TimeoutError):
            # The platform counts an instance without an answer as not ready.
            return False

    async def query_directory(self, node: Node) -> list[Node] | None:
        """Return the instances in a directory response; None without a response."""
        try:
            addresses = await list_addresses(node.control.port)
        except (OSError, EOFError, TimeoutError):
            # The caller then queries another instance.
            return None
        if addresses is None:
            return None
        listed = [item for item in self.nodes if item.address in addresses]
        names = tuple(item.instance.name for item in listed)
        now = self.clock.now()
        self.record.directory_answers.append((now, node.instance.name, names))
        return listed

    async def _build_node(self, number: int) -> Node:
        name, ip = f"n{number}", f"127.0.{self._network}.{number + 1}"
        callers = Link(ip, _PORTS["callers"], is_narrow=True)
        control = Link(ip, _PORTS["control"])
        store = Link("127.0.0.1", self.store.port)
        for link in (callers, control, store):
            await link.listen()
        node = Node(
            instance=Instance(name, folder=self._folder, clock=self.clock, grace=GRACE),
            callers=callers,
            control=control,
            store=store,
            address=f"{ip}:{_PORTS['callers']}",
            settings={
                "name": name,
                "domain": self.domain(number),
                "ip": ip,
                "ports": _PORTS,
                "store": f"127.0.0.1:{store.port}",
                "memory": MAX_MEMORY_MB,
            },
        )
        self.write_settings(node)
        return node
