"""Planned stops of instances, alone, in turn and at overlapping times."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from dataclasses import replace

from fuchsiaroute.clock import Milliseconds
from soak._fleet import Fleet, Node
from soak._instances import RESTART_DELAY
from soak._schedule import Fault, FaultKind

#: Time after its start for which a process counts as disturbed.
START_TIME = Milliseconds(1_000)
#: Maximum time between SIGHUP and a SIGTERM that follows it.
_MAX_RELOAD_TIME = Milliseconds(100)
#: What happens beside a series of stops, by its variant: kinds with their variants.
_BESIDE_STOPS: dict[str, tuple[tuple[FaultKind, str], ...]] = {
    "store-away": ((FaultKind.STORE, "down"),),
    "reconfigured": ((FaultKind.ROUTES, ""), (FaultKind.EVACUATE, "")),
}


class Stops:
    """Stops and reloads instances; calls for several faults may overlap."""

    def __init__(
        self, fleet: Fleet, inject: Callable[[Fault], Awaitable[None]]
    ) -> None:
        self._fleet = fleet
        self._clock = fleet.clock
        self._inject = inject

    async def stop(self, fault: Fault) -> None:
        """Stop one instance."""
        await self._stop_instance(self._node(fault.target))

    async def stop_in_turn(self, fault: Fault) -> None:
        """Stop each instance once the one before it has ended."""
        for node in self._fleet.nodes:
            await self._stop_instance(node)

    async def stop_series(self, fault: Fault) -> None:
        """Stop some instances, each while the ones before it may still stop."""
        size = len(self._fleet.nodes)
        # At least one instance serves all the while.
        count = 1 + fault.target // size % max(size - 1, 1)
        gap = 0 if fault.variant == "at-once" else fault.lasts // count
        async with asyncio.TaskGroup() as group:
            for kind, variant in _BESIDE_STOPS.get(fault.variant, ()):
                group.create_task(self._beside(fault, kind, variant))
            for number in range(count):
                node = self._node(fault.target + number)
                group.create_task(self._stop_in_manner(node, fault))
                await self._clock.sleep(Milliseconds(gap))

    async def reload(self, fault: Fault) -> None:
        """Change the settings of one instance and send SIGHUP."""
        self._reload_instance(self._node(fault.target), fault.target)

    def _node(self, number: int) -> Node:
        return self._fleet.nodes[number % len(self._fleet.nodes)]

    async def _beside(self, fault: Fault, kind: FaultKind, variant: str) -> None:
        await self._inject(replace(fault, kind=kind, variant=variant))

    async def _stop_instance(self, node: Node) -> None:
        begin = self._clock.now()
        # A suspended process does not handle SIGTERM, so the time until it has ended is
        # known only afterwards.
        await node.instance.stop()
        end = Milliseconds(self._clock.now() + RESTART_DELAY + START_TIME)
        self._fleet.record.disturbances.add(
            node.instance.name, begin, end, is_planned=True
        )

    async def _stop_in_manner(self, node: Node, fault: Fault) -> None:
        """Stop an instance in the manner of a variant of ``STOP_SERIES``."""
        instance = node.instance
        if fault.variant == "reloaded":
            self._reload_instance(node, fault.target)
            await self._clock.sleep(Milliseconds(fault.lasts % _MAX_RELOAD_TIME))
        process_index = instance.process_index
        async with asyncio.TaskGroup() as group:
            group.create_task(self._stop_instance(node))
            if fault.variant == "repeated":
                await self._clock.sleep(fault.lasts)
                if instance.process_index == process_index:
                    instance.signal(signal.SIGTERM)
        if fault.variant == "just-started":
            await self._clock.sleep(Milliseconds(RESTART_DELAY + fault.lasts))
            await self._stop_instance(node)

    def _reload_instance(self, node: Node, number: int) -> None:
        node.settings["memory"] = 250 + number % 50
        self._fleet.write_settings(node)
        node.instance.signal(signal.SIGHUP)
