from random import Random

from examples import timberline
from fuchsiaroute.admission import Admission, AdmissionGate
from fuchsiaroute.balancing import (
    ColdSlotOwnership,
    Departures,
    EndpointChooser,
    SlotOwner,
    WarmthStore,
)
from fuchsiaroute.clock import ManualClock
from fuchsiaroute.endpoints import EndpointState
from fuchsiaroute.entry import CurrentConfiguration, EndpointMaintenance
from fuchsiaroute.ids import Incarnation, InstanceId, Revision
from fuchsiaroute.store import (
    InstanceRecord,
    InstanceState,
    MemoryInstanceList,
    MemoryTableStore,
    StoreFault,
)

CONFIGURATION = timberline.declare()
ENDPOINT = CONFIGURATION.endpoints[0]


def record(name: str, state: InstanceState = InstanceState.LIVE) -> InstanceRecord:
    return InstanceRecord(
        id=InstanceId(name),
        address="127.0.0.1:9000",
        failure_domain=ENDPOINT.failure_domain,
        state=state,
    )


class Harness:
    def __init__(self) -> None:
        clock, store = ManualClock(), MemoryTableStore()
        own = InstanceId("entry-0")
        owner = SlotOwner(instance=own, incarnation=Incarnation(1))
        self.chooser = EndpointChooser(entry=own, clock=clock, random=Random(1))
        self.instances = MemoryInstanceList()
        self.entries: list[InstanceRecord] = []
        departures = Departures(owner=owner, clock=clock)
        current = CurrentConfiguration()
        current.apply(Revision(1), CONFIGURATION)
        self.chooser.update_configuration(CONFIGURATION)
        self.maintenance = EndpointMaintenance(
            chooser=self.chooser,
            ownership=ColdSlotOwnership(
                owner=owner,
                store=store,
                slots=self.chooser.cold_slots,
                departures=departures,
                clock=clock,
            ),
            departures=departures,
            warmth=WarmthStore(store=store, chooser=self.chooser, clock=clock),
            gate=AdmissionGate(Admission(clock=clock, random=Random(1))),
            instances=self.instances,
            current=current,
            clock=clock,
            own_id=own,
            on_entries=self.entries.extend,
        )


async def test_endpoint_listed_as_leaving_is_leaving_after_one_read() -> None:
    harness = Harness()
    leaving = record(ENDPOINT.id, InstanceState.LEAVING)
    harness.instances.records = (record("entry-0"), leaving)
    await harness.maintenance.read_instance_list()
    assert harness.chooser.table[ENDPOINT.id].state is EndpointState.LEAVING
    assert [item.id for item in harness.entries] == ["entry-0"]


async def test_failed_read_keeps_the_previous_list() -> None:
    harness = Harness()
    harness.instances.records = (record(ENDPOINT.id, InstanceState.LEAVING),)
    await harness.maintenance.read_instance_list()
    harness.instances.injector.fault = StoreFault.DOWN
    harness.instances.records = ()
    await harness.maintenance.read_instance_list()
    assert harness.chooser.table[ENDPOINT.id].state is EndpointState.LEAVING


async def test_single_entry_owns_every_cold_slot() -> None:
    harness = Harness()
    await harness.maintenance.update_cold_slots()
    owned = harness.chooser.cold_slots.endpoints
    assert owned == {endpoint.id for endpoint in CONFIGURATION.endpoints}
