"""Periodic updates of instance list, cold slots, warmth and waiting requests."""

from collections.abc import Callable, Sequence

from returns.result import Result, Success

from fuchsiaroute.admission import AdmissionGate
from fuchsiaroute.balancing import (
    ColdSlotOwnership,
    Departures,
    EndpointChooser,
    WarmthStore,
)
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.entry._current import CurrentConfiguration
from fuchsiaroute.ids import InstanceId
from fuchsiaroute.store import (
    InstanceList,
    InstanceRecord,
    InstanceState,
    StoreError,
)

#: Interval between checks of the waiting requests.
WAKE_INTERVAL = Milliseconds(100)
#: Interval between updates of cold slots and warmth.
COLD_SLOT_INTERVAL = Milliseconds(500)
#: Interval between reads of the platform's instance list. A leaving endpoint must get
#: no new requests from 3 s after it is listed as leaving.
INSTANCE_LIST_INTERVAL = Milliseconds(2_000)

#: Called with the entries of each instance list that the platform returns.
EntriesListener = Callable[[Sequence[InstanceRecord]], None]


class EndpointMaintenance:
    """Keeps the instances, cold slots and warmth of an endpoint chooser up to date."""

    def __init__(
        self,
        *,
        chooser: EndpointChooser,
        ownership: ColdSlotOwnership,
        departures: Departures,
        warmth: WarmthStore,
        gate: AdmissionGate,
        instances: InstanceList,
        current: CurrentConfiguration,
        clock: Clock,
        own_id: InstanceId,
        on_entries: EntriesListener,
    ) -> None:
        self._chooser = chooser
        self._ownership = ownership
        self._departures = departures
        self._warmth = warmth
        self._gate = gate
        self._instances = instances
        self._current = current
        self._clock = clock
        self._own_id = own_id
        self._on_entries = on_entries
        self._members: tuple[InstanceId, ...] = (own_id,)

    async def run_admission_loop(self) -> None:
        """Start or expire waiting requests periodically, until cancelled."""
        while True:
            # Cold slots tick here, because the other loops may block on the store.
            self._chooser.cold_slots.tick()
            self._gate.wake()
            await self._clock.sleep(WAKE_INTERVAL)

    async def run_cold_slot_loop(self) -> None:
        """Update cold slots and exchange warmth periodically, until cancelled."""
        while True:
            await self.update_cold_slots()
            await self._clock.sleep(COLD_SLOT_INTERVAL)

    async def run_instance_list_loop(self) -> None:
        """Read the platform's instance list periodically, until cancelled."""
        while True:
            await self.read_instance_list()
            await self._clock.sleep(INSTANCE_LIST_INTERVAL)

    async def update_cold_slots(self) -> Result[None, StoreError]:
        """Update cold slots and warmth once; the next update repeats what failed."""
        endpoints = self._current.configuration.endpoints
        slots_updated = await self._ownership.step(endpoints, self._members)
        warmth_exchanged = await self._warmth.step()
        return slots_updated.bind(lambda _: warmth_exchanged)

    async def read_instance_list(self) -> None:
        """Read the instance list once; if that fails, the previous one is kept."""
        answer = await self._instances.instances()
        if not isinstance(answer, Success):
            return
        listed = answer.unwrap()
        self._chooser.update_instances(listed)
        self._departures.update_instances(listed)
        endpoints = {item.id for item in self._current.configuration.endpoints}
        entries = [record for record in listed if record.id not in endpoints]
        self._update_members(entries)
        if entries:
            self._on_entries(entries)

    def _update_members(self, entries: Sequence[InstanceRecord]) -> None:
        live = {
            InstanceId(record.id)
            for record in entries
            if record.state is InstanceState.LIVE
        }
        self._members = tuple(sorted(live | {self._own_id}))
        self._chooser.update_members(self._members)
