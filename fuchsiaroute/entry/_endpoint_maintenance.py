"""The periodic work around endpoints: lists, cold slots, warmth, waiting requests."""

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

#: Time between two passes over the waiting requests.
WAKE_INTERVAL = Milliseconds(100)
#: Time between two looks at cold slots and warmth.
SLOT_INTERVAL = Milliseconds(500)
#: Time between two readings of the platform's list: leaving endpoints get no new
#: work within 3 s of being listed.
LIST_INTERVAL = Milliseconds(2_000)

#: Told of the entries in each list that the platform answers with.
EntriesListener = Callable[[Sequence[InstanceRecord]], None]


class EndpointMaintenance:
    """Keeps the chooser's knowledge up to date."""

    def __init__(
        self,
        *,
        chooser: EndpointChooser,
        keeper: ColdSlotOwnership,
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
        self._keeper = keeper
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
        """Let waiting requests start or expire, until cancelled."""
        while True:
            # A tick here, because the store may keep the other tasks waiting.
            self._chooser.cold_slots.tick()
            self._gate.wake()
            await self._clock.sleep(WAKE_INTERVAL)

    async def run_cold_slot_loop(self) -> None:
        """Claim and confirm cold slots and exchange warmth, until cancelled."""
        while True:
            await self.update_cold_slots()
            await self._clock.sleep(SLOT_INTERVAL)

    async def run_instance_list_loop(self) -> None:
        """Read the platform's list, until cancelled."""
        while True:
            await self.read_instance_list()
            await self._clock.sleep(LIST_INTERVAL)

    async def update_cold_slots(self) -> Result[None, StoreError]:
        """Look once at cold slots and warmth; a failure is made up for later."""
        endpoints = self._current.configuration.endpoints
        kept = await self._keeper.step(endpoints, self._members)
        merged = await self._warmth.step()
        return kept.bind(lambda _: merged)

    async def read_instance_list(self) -> None:
        """Read the list once; without an answer the former one stays in force."""
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
