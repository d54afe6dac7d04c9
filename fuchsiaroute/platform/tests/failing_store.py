"""Stand-in of the platform's store with injected faults."""

import asyncio
from enum import Enum
from typing import Any

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.http1 import InboundRequest, Responder
from fuchsiaroute.platform.tests.recording_endpoint import RecordingEndpoint
from fuchsiaroute.platform.tests.soak_platform import configuration
from fuchsiaroute.platform.tests.standin import Store


class StoreMode(Enum):
    """How the store handles calls."""

    SOUND = "sound"
    DOWN = "down"
    SILENT = "silent"
    SLOW = "slow"
    #: Applies a change and drops the response.
    LOSES_ANSWERS = "loses-answers"
    #: Drops the response and applies a change ``_LATE_SECONDS`` later, if its
    #: preconditions still hold.
    LATE = "late"


#: Values, None if removed, and versions of rows by table and key.
ForeignRows = dict[tuple[str, str], tuple[bytes | None, int]]
#: Tables that operators and endpoints write.
_FOREIGN_TABLES = ("op", "servers")
_SLOW_SECONDS, _LATE_SECONDS = 0.7, 1.5


class FailingStore(Store):
    """A store in one of several modes that can discard its change history."""

    def __init__(self) -> None:
        super().__init__()
        self.mode = StoreMode.SOUND
        self._dropped_before = 0
        self._late: set[asyncio.Task[None]] = set()

    def declare(self, version: int, *, added: int, has_second_key: bool) -> None:
        """Write the declaration as operators do."""
        value = configuration(version, added=added, has_second_key=has_second_key)
        self.put("op", "config", value)

    def evacuate(self, domain: str) -> None:
        """Write the order that a failure domain receives no new requests."""
        self.put("op", f"evacuate/{domain}", {})

    def end_evacuation(self, domain: str) -> None:
        """Remove the evacuation order."""
        self.put("op", f"evacuate/{domain}", None)

    def roll_out(self, service: str, target: str, within: Milliseconds) -> None:
        """Write the order that a service moves to another version."""
        order = {"Service": service, "To": target, "DurationS": within / 1_000}
        self.put("op", f"rollout/{service}", order)

    def announce(
        self,
        endpoint: "RecordingEndpoint",
        address: str,
        *,
        is_draining: bool = False,
        cold_for: Milliseconds = Milliseconds(0),
    ) -> None:
        """Write an endpoint's announcement."""
        value = endpoint.announcement(
            Address=address,
            State="draining" if is_draining else "ready",
            ColdLeftMs=cold_for,
        )
        self.put("servers", endpoint.id, value)

    def withdraw(self, endpoint: "RecordingEndpoint") -> None:
        """Remove an endpoint's announcement."""
        self.put("servers", endpoint.id, None)

    def operators_and_endpoints_rows(self) -> ForeignRows:
        """Return values and versions of the rows that the system does not write."""
        return {key: row for key, row in self.rows.items() if key[0] in _FOREIGN_TABLES}

    def write_again(self, lost: ForeignRows, restored: ForeignRows) -> None:
        """Write what a restore has undone, unless it was written anew since."""
        present = self.operators_and_endpoints_rows()
        absent = (None, 0)
        for key in lost.keys() | restored.keys():
            former = restored.get(key, absent)
            value, _ = lost.get(key, absent)
            if present.get(key, absent) == former and value != former[0]:
                self.put_bytes(*key, value)

    def restore(
        self, copy: tuple[dict[tuple[str, str], tuple[bytes | None, int]], int]
    ) -> None:
        super().restore(copy)
        self._dropped_before = min(self._dropped_before, self.counter)

    def drop_history(self) -> None:
        self.counter += 1
        self._dropped_before = self.counter

    async def handle(self, request: InboundRequest, responder: Responder) -> None:
        is_change = request.path.endswith(b"rows-tx")
        if self.mode is StoreMode.DOWN:
            responder.send(503, [], b"")
        elif self.mode is StoreMode.SILENT:
            await asyncio.Event().wait()
        elif self.mode is StoreMode.LOSES_ANSWERS:
            if is_change:
                await self._change({}, request.body)
            responder.abort()
        elif self.mode is StoreMode.LATE and is_change:
            late = asyncio.create_task(self._change_late(request.body))
            self._late.add(late)
            late.add_done_callback(self._late.discard)
            responder.abort()
        else:
            if self.mode is StoreMode.SLOW:
                await asyncio.sleep(_SLOW_SECONDS)
            await super().handle(request, responder)

    async def _change_late(self, body: bytes) -> None:
        await asyncio.sleep(_LATE_SECONDS)
        await self._change({}, body)

    async def _feed(
        self, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        if int(query["After"]) < self._dropped_before:
            return 410, {}
        return await super()._feed(query, body)
