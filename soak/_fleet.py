"""Instances, endpoints, the store and the links between them."""

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
from soak._checks import MEMORY_LIMIT_MB
from soak._instances import Instance
from soak._proxy import Link
from soak._record import Record

_PORTS = {"callers": 18_227, "control": 18_224, "peers": 17_340}
_DOMAINS = ("z0", "z1", "z2")
_ENDPOINTS_PER_SERVICE = 3
#: Places of a endpoint; few enough that bursts fill them.
_SLOTS = {APP: 6, POOL: 16}
FIRST_VERSION = "v1"
#: Pause between two looks at whether all instances are ready.
_LOOK = Milliseconds(50)
#: Time for all instances to become ready, also on a busy machine.
START_LIMIT = Milliseconds(60_000)


@dataclass
class Place:
    """An instance and the links that callers and the instance use."""

    instance: Instance
    callers: Link
    control: Link
    store: Link
    address: str
    settings: dict[str, object] = field(default_factory=dict)


class Fleet:
    """All that one run consists of; ``network`` keeps parallel runs apart."""

    def __init__(
        self, *, count: int, network: int, folder: Path, clock: Clock, random: Random
    ) -> None:
        self.clock = clock
        self.random = random
        self.record = Record()
        self.store = FailingStore()
        self.places: list[Place] = []
        #: Endpoints that are in the store, with their links.
        self.endpoints: dict[str, tuple[RecordingEndpoint, Link]] = {}
        #: Every endpoint there ever was.
        self.all_endpoints: list[RecordingEndpoint] = []
        self.configuration_version = 1
        self.added_routes = 0
        self.has_second_key = True
        self._count = count
        self._network = network
        self._folder = folder
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def instances(self) -> list[Instance]:
        """The instances, in order."""
        return [place.instance for place in self.places]

    def domain(self, index: int) -> str:
        """Return the failure domain at a place in their order."""
        return _DOMAINS[index % len(_DOMAINS)]

    async def start(self) -> None:
        """Start everything, and wait until all instances are ready."""
        await self.store.listen()
        self.declare()
        for service in (APP, POOL):
            for number in range(_ENDPOINTS_PER_SERVICE):
                await self.add_endpoint(service, self.domain(number))
        for number in range(self._count):
            self.places.append(await self._place(number))
        for place in self.places:
            place.instance.start()
            self.spawn(place.instance.keep_running())
        deadline = self.clock.now() + START_LIMIT
        while not all([await self.is_ready(place) for place in self.places]):
            if self.clock.now() > deadline:
                raise TimeoutError("the instances did not become ready")
            await self.clock.sleep(_LOOK)

    async def close(self) -> None:
        """End all that was started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for place in self.places:
            place.instance.close()
            for link in (place.callers, place.control, place.store):
                await link.close()
        for endpoint in self.all_endpoints:
            endpoint.close()
        for _, link in self.endpoints.values():
            await link.close()
        self.store.close()

    def spawn(self, work) -> None:  # type: ignore[no-untyped-def]
        """Run a coroutine until the fleet closes."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def declare(self) -> None:
        """Write the declaration in force."""
        self.store.declare(
            self.configuration_version,
            added=self.added_routes,
            has_second_key=self.has_second_key,
        )

    async def add_endpoint(
        self, service: str, domain: str, *, version: str = FIRST_VERSION
    ) -> RecordingEndpoint:
        """Start an endpoint and list it in the store."""
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
        """Write an endpoint's entry as it is now."""
        _, link = self.endpoints[endpoint.id]
        address = f"127.0.0.1:{link.port}"
        self.store.announce(
            endpoint, address, is_draining=is_draining, cold_for=cold_for
        )

    def remove(self, endpoint: RecordingEndpoint) -> Link:
        """Remove an endpoint's entry; returns its link."""
        self.store.withdraw(endpoint)
        return self.endpoints.pop(endpoint.id)[1]

    def write_settings(self, place: Place) -> None:
        """Write an instance's settings file."""
        place.instance.write_settings(settings_text(**place.settings))  # type: ignore[arg-type]

    async def is_ready(self, place: Place) -> bool:
        """Return whether an instance says that it is ready."""
        try:
            return await is_ready(place.control.port)
        except (OSError, EOFError, TimeoutError):
            # Not listening, or disturbed: not ready, as the platform counts it.
            return False

    async def ask_directory(self, place: Place) -> list[Place] | None:
        """Return the instances that one of them names; None without an answer."""
        try:
            addresses = await list_addresses(place.control.port)
        except (OSError, EOFError, TimeoutError):
            # A caller asks another instance then.
            return None
        if addresses is None:
            return None
        named = [item for item in self.places if item.address in addresses]
        names = tuple(item.instance.name for item in named)
        now = self.clock.now()
        self.record.listings.append((now, place.instance.name, names))
        return named

    async def _place(self, number: int) -> Place:
        name, ip = f"n{number}", f"127.0.{self._network}.{number + 1}"
        callers = Link(ip, _PORTS["callers"])
        control = Link(ip, _PORTS["control"])
        store = Link("127.0.0.1", self.store.port)
        for link in (callers, control, store):
            await link.listen()
        place = Place(
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
                "memory": MEMORY_LIMIT_MB,
            },
        )
        self.write_settings(place)
        return place
