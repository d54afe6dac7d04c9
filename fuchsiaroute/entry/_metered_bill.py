"""Billing that also counts towards the cost limits of organisations."""

from returns.result import Result

from fuchsiaroute.costlimit import Allowances
from fuchsiaroute.entry._call import Bill
from fuchsiaroute.entry._steps import BillStep
from fuchsiaroute.verdict import Refusal


class MeteredBillStep:
    """Counts bills against the cost limit before another step records them."""

    def __init__(self, *, bill: BillStep, allowances: Allowances) -> None:
        self._bill = bill
        self._allowances = allowances

    def check_capacity(self) -> Result[None, Refusal]:
        """Refuse new requests that could not be billed."""
        return self._bill.check_capacity()

    async def bill(self, bill: Bill) -> None:
        """Count and record the actual cost of one answered request."""
        request = bill.request
        self._allowances.settle(request.organisation, request.id, cost=bill.cost)
        await self._bill.bill(bill)
