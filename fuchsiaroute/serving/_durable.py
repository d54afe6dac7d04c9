"""The parts of an entry that keep what must last: claims, ledger, placement."""

import random
from collections.abc import Callable
from dataclasses import dataclass

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
    """The claim and billing steps, orders to engines, and what they rest on."""

    client: StoreClient
    claim_table: ClaimTable
    claims: ClaimTableStep
    ledger: Ledger
    bills: LedgerBillStep
    #: Copies of other entries' records.
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
    copies: CopySender | None = None,
    copy_holder: CopyHolder | None = None,
    rng: random.Random | None = None,
) -> DurableParts:
    """Return the parts for one entry; ``copies`` sends ledger records to a peer."""
    # Tokens of claims must differ between processes, whatever the entry's seed.
    rng = rng or random.SystemRandom()
    claim_table = ClaimTable(
        store=client.view(StoreFunction.CLAIMS),
        clock=clock,
        instance=instance,
        incarnation=incarnation,
        rng=rng,
    )
    ledger = Ledger(store=client.view(StoreFunction.LEDGER), clock=clock, copies=copies)
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
            rng=rng,
            entry_count=entry_count,
        ),
    )
