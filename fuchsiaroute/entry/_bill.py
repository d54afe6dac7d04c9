"""Billing: one ledger record for each answered request."""

from returns.result import Failure, Result, Success

from fuchsiaroute.billing import AttemptCost, Ledger, LedgerRecord
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.entry._call import AttemptRecord, Bill, NoVersion
from fuchsiaroute.ids import InstanceId, VersionId
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

#: Retry delay sent to callers while the ledger is full.
LEDGER_FULL_RETRY_DELAY = Milliseconds(1_000)


class LedgerBillStep:
    """Appends bills to the ledger; implements ``BillStep``."""

    def __init__(self, *, ledger: Ledger, clock: Clock, instance: InstanceId) -> None:
        self._ledger = ledger
        self._clock = clock
        self._instance = instance

    def check_capacity(self) -> Result[None, Refusal]:
        """Refuse new requests while the ledger is full."""
        if not self._ledger.is_full:
            return Success(None)
        refusal = Refusal(
            reason=RefusalReason.STORE_UNAVAILABLE,
            verdict=Verdict.NOT_RUN,
            message="the ledger is full; another entry may have room",
            retry_after=LEDGER_FULL_RETRY_DELAY,
        )
        return Failure(refusal)

    async def bill(self, bill: Bill) -> None:
        """Record the cost of one answered request, unless it is already recorded."""
        record = LedgerRecord(
            organisation=bill.request.organisation,
            request=bill.request.id,
            product=bill.request.product,
            request_class=bill.request.request_class,
            attempts=tuple(_attempt_cost(item) for item in bill.attempts),
            instance=self._instance,
            ended_at=self._clock.wall(),
        )
        await self._ledger.append(record)


def _attempt_cost(attempt: AttemptRecord) -> AttemptCost:
    version = attempt.version
    if isinstance(version, NoVersion):
        version = VersionId("")
    return AttemptCost(version=version, endpoint=attempt.endpoint, cost=attempt.cost)
