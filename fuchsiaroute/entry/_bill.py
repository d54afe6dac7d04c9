"""Billing: one ledger record for each answered request."""

import msgspec

from fuchsiaroute.entry._call import Bill
from fuchsiaroute.platform import ABSENT, Check, Put, TableStore, Transaction


class StoredLedger:
    """Writes each bill to the table service at once; implements ``BillStep``."""

    def __init__(self, *, store: TableStore) -> None:
        self._store = store

    async def bill(self, bill: Bill) -> None:
        """Record the cost of one answered request, unless it has been recorded."""
        key = f"ledger/{bill.request.organisation}/{bill.request.id}"
        transaction = Transaction(
            checks=(Check(key=key, version=ABSENT),),
            puts=(Put(key=key, value=msgspec.json.encode(bill.cost)),),
        )
        await self._store.commit(transaction)
