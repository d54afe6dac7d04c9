"""Composition of the parts that select endpoints and limit load."""

from dataclasses import dataclass, replace
from random import Random

from fuchsiaroute.admission import Admission, AdmissionGate
from fuchsiaroute.advice import CandidateEntry, EntryAdvice, EntryState
from fuchsiaroute.balancing import (
    ColdSlotOwnership,
    Departures,
    EndpointChooser,
    SlotOwner,
    WarmthStore,
)
from fuchsiaroute.clock import Clock
from fuchsiaroute.configuration import Configuration
from fuchsiaroute.dispatch import Connections, Dispatcher
from fuchsiaroute.entry import (
    BalancedAttemptStep,
    CurrentConfiguration,
    DispatchCheck,
    EndpointMaintenance,
    EntriesListener,
    GatedAdmitStep,
    StatusPoll,
)
from fuchsiaroute.ids import Incarnation, InstanceId, Revision
from fuchsiaroute.retry import RetryBudget, RetryPolicy
from fuchsiaroute.store import (
    InstanceList,
    InstanceRecord,
    InstanceState,
    TableStore,
)


@dataclass(frozen=True, kw_only=True)
class BalancingParts:
    """The admission and attempt steps, and the parts that they use."""

    chooser: EndpointChooser
    admission: Admission
    admit: GatedAdmitStep
    attempt: BalancedAttemptStep
    cold_slot_ownership: ColdSlotOwnership
    maintenance: EndpointMaintenance
    dispatcher: Dispatcher
    status: StatusPoll


def compose_balancing(
    *,
    current: CurrentConfiguration,
    store: TableStore,
    instances: InstanceList,
    connections: Connections,
    check: DispatchCheck,
    on_entries: EntriesListener,
    instance: InstanceId,
    incarnation: Incarnation,
    clock: Clock,
    random: Random,
) -> BalancingParts:
    """Return the parts of one entry."""
    chooser = EndpointChooser(entry=instance, clock=clock, random=random)
    admission = Admission(clock=clock, random=random)
    gate = AdmissionGate(admission)
    admit = GatedAdmitStep(admission=admission, gate=gate)
    dispatcher = Dispatcher(connections=connections, clock=clock)
    attempt = BalancedAttemptStep(
        chooser=chooser,
        admission=admit,
        gate=gate,
        retries=RetryPolicy(clock=clock, budget=RetryBudget(clock=clock)),
        dispatcher=dispatcher,
        check=check,
        clock=clock,
        random=random,
    )
    owner = SlotOwner(instance=instance, incarnation=incarnation)
    departures = Departures(owner=owner, clock=clock)
    cold_slot_ownership = ColdSlotOwnership(
        owner=owner,
        store=store,
        slots=chooser.cold_slots,
        departures=departures,
        clock=clock,
    )
    maintenance = EndpointMaintenance(
        chooser=chooser,
        ownership=cold_slot_ownership,
        departures=departures,
        warmth=WarmthStore(store=store, chooser=chooser, clock=clock),
        gate=gate,
        instances=instances,
        current=current,
        clock=clock,
        own_id=instance,
        on_entries=on_entries,
    )

    def update(revision: Revision, configuration: Configuration) -> None:
        chooser.update_configuration(configuration)
        admission.update_configuration(configuration)

    current.subscribe(update)
    return BalancingParts(
        chooser=chooser,
        admission=admission,
        admit=admit,
        attempt=attempt,
        cold_slot_ownership=cold_slot_ownership,
        maintenance=maintenance,
        dispatcher=dispatcher,
        status=StatusPoll(
            chooser=chooser, connections=connections, current=current, clock=clock
        ),
    )


def advise_listed_entries(
    advice: EntryAdvice, listed: tuple[InstanceRecord, ...]
) -> None:
    """
    Update ``advice`` from the platform's instance list.

    An entry that is leaving stays so, even if the list still shows it as live.
    """
    states = {
        InstanceState.LIVE: EntryState.HEALTHY,
        InstanceState.LEAVING: EntryState.LEAVING,
    }
    entries = {entry.instance: entry for entry in advice.entries}
    for record in listed:
        instance = InstanceId(record.id)
        previous = entries.get(instance)
        if previous is not None and previous.state is EntryState.LEAVING:
            continue
        if previous is not None and previous.is_self:
            entries[instance] = replace(previous, state=states[record.state])
            continue
        entries[instance] = CandidateEntry(
            instance=instance,
            url=f"http://{record.address}",
            failure_domain=record.failure_domain,
            state=states[record.state],
        )
    listed_ids = {InstanceId(record.id) for record in listed}
    advice.update(
        entry
        for entry in entries.values()
        if entry.instance in listed_ids or entry.is_self
    )
