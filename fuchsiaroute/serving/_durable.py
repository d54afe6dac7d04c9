"""Composition of the parts with durable state: claims, ledger and placement."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random, SystemRandom

from fuchsiaroute.billing import CopyHolder, CopySender, Ledger
from fuchsiaroute.clock import Clock
from fuchsiaroute.configuration import Configuration
from fuchsiaroute.entry import ClaimTableStep, LedgerBillStep
from fuchsiaroute.idempotency import ClaimTable
from fuchsiaroute.ids import Incarnation, InstanceId
from fuchsiaroute.placement import PlacementSupervisor
from fuchsiaroute.store import EngineOrders, StoreClient, StoreFunction


@dataclass(frozen=True, kw_only=True)
class DurableParts:
    """The claim and billing steps, placement, and the parts that they use."""

    client: StoreClient
    claim_table: ClaimTable
    claims: ClaimTableStep
    ledger: Ledger
    bills: LedgerBillStep
    #: Copies of the ledger records of other entries.
    copy_holder: CopyHolder
    placement: PlacementSupervisor


def compose_durable(
    *,
    client: StoreClient,
    clock: Clock,
    instance: InstanceId,
    incarnation: Incarnation,
    entry_count: Callable[[], int],
    configuration: Callable[[], Configuration],
    orders: EngineOrders,
    copy_sender: CopySender | None = None,
    copy_holder: CopyHolder | None = None,
    random: Random | None = None,
) -> DurableParts:
    """Return the parts of one entry; ``copy_sender`` sends ledger records to a peer."""
    # Claim tokens must differ between processes, even if their entries have the same
    # seed.
    random = random or SystemRandom()
    claim_table = ClaimTable(
        store=client.view(StoreFunction.CLAIMS),
        clock=clock,
        instance=instance,
        incarnation=incarnation,
        random=random,
    )
    ledger = Ledger(
        store=client.view(StoreFunction.LEDGER), clock=clock, copies=copy_sender
    )
    return DurableParts(
        client=client,
        claim_table=claim_table,
        claims=ClaimTableStep(table=claim_table, clock=clock),
        ledger=ledger,
        bills=LedgerBillStep(ledger=ledger, clock=clock, instance=instance),
        copy_holder=copy_holder or CopyHolder(),
        placement=PlacementSupervisor(
            store=client.view(StoreFunction.PLACEMENT),
            orders=orders,
            configuration=configuration,
            clock=clock,
            instance=instance,
            incarnation=incarnation,
            random=random,
            entry_count=entry_count,
        ),
    )
