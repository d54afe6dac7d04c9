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


class Scene:
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
        self.upkeep = EndpointMaintenance(
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


async def test_a_leaving_endpoint_is_known_after_one_reading() -> None:
    scene = Scene()
    leaving = record(ENDPOINT.id, InstanceState.LEAVING)
    scene.instances.records = (record("entry-0"), leaving)
    await scene.upkeep.read_instance_list()
    assert scene.chooser.table[ENDPOINT.id].state is EndpointState.LEAVING
    assert [item.id for item in scene.entries] == ["entry-0"]


async def test_without_an_answer_the_former_list_stays_in_force() -> None:
    scene = Scene()
    scene.instances.records = (record(ENDPOINT.id, InstanceState.LEAVING),)
    await scene.upkeep.read_instance_list()
    scene.instances.switch.fault = StoreFault.DOWN
    scene.instances.records = ()
    await scene.upkeep.read_instance_list()
    assert scene.chooser.table[ENDPOINT.id].state is EndpointState.LEAVING


async def test_a_lone_entry_owns_every_slot() -> None:
    scene = Scene()
    await scene.upkeep.update_cold_slots()
    owned = scene.chooser.cold_slots.endpoints
    assert owned == {endpoint.id for endpoint in CONFIGURATION.endpoints}
