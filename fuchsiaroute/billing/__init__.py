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
from fuchsiaroute.billing._peers import (
    Adoption,
    CopyPeer,
    CopyPeers,
    HeldRecords,
    RecordCopies,
)
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
    "Adoption",
    "AttemptCost",
    "BatchNumber",
    "CopyHolder",
    "CopyPeer",
    "CopyPeers",
    "HeldRecords",
    "HolderId",
    "Ledger",
    "LedgerRecord",
    "NoCopies",
    "Origin",
    "PeerCopies",
    "RecordCopies",
    "decode_batch",
    "decode_record",
    "encode_batch",
    "encode_record",
]
