"""The billing ledger: one record for each billed request."""

from fuchsiaroute.billing._copies import (
    NO_HOLDER,
    BatchNumber,
    CopyHolder,
    CopySender,
    HolderId,
    NullCopySender,
    Origin,
)
from fuchsiaroute.billing._ledger import Ledger
from fuchsiaroute.billing._record import (
    LEDGER_KEY_PREFIX,
    AttemptCost,
    LedgerRecord,
    decode_batch,
    decode_record,
    encode_batch,
    encode_record,
)

__all__ = [
    "LEDGER_KEY_PREFIX",
    "NO_HOLDER",
    "AttemptCost",
    "BatchNumber",
    "CopyHolder",
    "CopySender",
    "HolderId",
    "Ledger",
    "LedgerRecord",
    "NullCopySender",
    "Origin",
    "decode_batch",
    "decode_record",
    "encode_batch",
    "encode_record",
]
