"""One ledger record for each billed request."""

from fuchsiaroute.billing._copies import (
    NO_HOLDER,
    BatchNumber,
    CopyHolder,
    HolderId,
    NoCopies,
    Origin,
    PeerCopies,
)
from fuchsiaroute.billing._ledger import Ledger
from fuchsiaroute.billing._record import (
    KEY_PREFIX,
    AttemptCost,
    LedgerRecord,
    decode_batch,
    decode_record,
    encode_batch,
    encode_record,
)

__all__ = [
    "KEY_PREFIX",
    "NO_HOLDER",
    "AttemptCost",
    "BatchNumber",
    "CopyHolder",
    "HolderId",
    "Ledger",
    "LedgerRecord",
    "NoCopies",
    "Origin",
    "PeerCopies",
    "decode_batch",
    "decode_record",
    "encode_batch",
    "encode_record",
]
